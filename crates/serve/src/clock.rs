//! Monotonic clock of the process.
//!
//! The clock includes the time for which the machine was suspended, since
//! leases and loans expire during that time as well. [`std::time::Instant`] does
//! not include it.

use std::time::Duration;

use ids::MonoTime;
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock that starts at zero when it is created, and includes
/// suspensions.
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
    /// Returns the time since the clock was created.
    pub fn now(&self) -> MonoTime {
        MonoTime::ZERO + since_boot().saturating_sub(self.origin)
    }

    /// Returns the time left until `time`, or zero if it has passed.
    pub fn until(&self, time: MonoTime) -> Duration {
        time.since(self.now())
    }

    /// Returns the instant of a time, for timers. A timer fires late if the machine
    /// is suspended while it runs.
    pub fn instant(&self, time: MonoTime) -> tokio::time::Instant {
        let longest = Duration::from_secs(86_400 * 365);
        tokio::time::Instant::now() + self.until(time).min(longest)
    }
}

/// Returns the time since the machine booted, suspensions included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
