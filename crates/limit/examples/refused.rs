//! Measures requests refused although within the rate, and requests admitted
//! over it: leases against a fixed split over the daemons, for the same
//! requests in virtual time.
//!
//! Run with `cargo run --release -p limit --example refused`.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::Duration;

use fleet::FakeFleet;

/// Number of daemons, and the account's rate and burst.
const DAEMONS: usize = 33;
const RATE: u64 = 100;
const BURST: u64 = 100;
/// Requests sent per second, 90% of the rate.
const SENT_PER_SECOND: u64 = 90;
/// The measured time in seconds.
const SECONDS: u64 = 60;

/// One token bucket per daemon, each with a fixed part of rate and burst.
struct FixedSplit {
    levels: Vec<f64>,
}

impl FixedSplit {
    fn new() -> Self {
        Self {
            levels: vec![BURST as f64 / DAEMONS as f64; DAEMONS],
        }
    }

    /// Refills all buckets for a time.
    fn advance(&mut self, seconds: f64) {
        let capacity = BURST as f64 / DAEMONS as f64;
        for level in &mut self.levels {
            *level = (*level + seconds * RATE as f64 / DAEMONS as f64).min(capacity);
        }
    }

    /// Takes a token at a daemon.
    fn take(&mut self, daemon: usize) -> bool {
        let admitted = self.levels[daemon] >= 1.0;
        self.levels[daemon] -= f64::from(admitted);
        admitted
    }
}

/// Sends requests to daemons chosen by `pick`, and prints the percentages
/// refused.
fn measure(name: &str, pick: impl Fn(u64) -> usize) {
    let mut fleet = FakeFleet::new(DAEMONS, 3, RATE, BURST);
    fleet.advance(Duration::from_secs(12));
    let mut split = FixedSplit::new();
    let mut refused_by_split = 0;
    let gap = Duration::from_micros(1_000_000 / SENT_PER_SECOND);
    for number in 0..SENT_PER_SECOND * SECONDS {
        let daemon = pick(number);
        fleet.take(daemon, 1);
        refused_by_split += u64::from(!split.take(daemon));
        fleet.advance(gap);
        split.advance(gap.as_secs_f64());
    }
    fleet.advance(Duration::from_millis(100));
    // Panics if the fleet ever admitted more than rate and burst allow.
    fleet.assert_within_limit();
    let sent = (SENT_PER_SECOND * SECONDS) as f64;
    println!(
        "{name:<22} leases {:.3}% refused, 0 over; fixed split {:.3}% refused; {:.1} messages/s a daemon",
        100.0 * fleet.refused as f64 / sent,
        100.0 * refused_by_split as f64 / sent,
        fleet.messages as f64 / (SECONDS + 12) as f64 / DAEMONS as f64
    );
}

fn main() {
    measure("even", |number| number as usize % DAEMONS);
    measure("all through one", |_| 4);
    measure("moving every second", |number| {
        (number / SENT_PER_SECOND) as usize % DAEMONS
    });
}
