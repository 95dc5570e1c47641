//! The monotonic clock of the process.
//!
//! It counts the time for which the machine was suspended, which
//! [`std::time::Instant`] does not: leases and loans run out meanwhile.

use std::time::Duration;

use ids::MonoTime;
use rustix::time::{ClockId, clock_gettime};

/// Monotonic time since the daemon was made, suspensions included.
#[derive(Clone, Copy, Debug)]
pub struct MonoClock {
    origin: Duration,
}

impl Default for MonoClock {
    fn default() -> Self {
        Self {
            origin: since_boot(),
        }
    }
}

impl MonoClock {
    /// Time since the origin.
    pub fn now(&self) -> MonoTime {
        MonoTime::ZERO + since_boot().saturating_sub(self.origin)
    }

    /// Time left until `time`, zero if it has passed.
    pub fn until(&self, time: MonoTime) -> Duration {
        time.since(self.now())
    }

    /// The instant of a time, for timers; after a suspension they are late.
    pub fn instant(&self, time: MonoTime) -> tokio::time::Instant {
        let far = Duration::from_secs(86_400 * 365);
        tokio::time::Instant::now() + self.until(time).min(far)
    }
}

/// Time since the machine started, suspensions included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
