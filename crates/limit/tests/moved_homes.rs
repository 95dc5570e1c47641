//! Tests that an account whose home moves stays within its burst while leases
//! of the earlier home are unspent.

mod fleet;

use std::time::Duration;

use fleet::FakeFleet;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const DAEMONS: usize = 9;

/// Sends `count` requests to each daemon but one, every 100 ms.
fn flood(fleet: &mut FakeFleet, span: Duration, count: u8, except: usize) {
    let step = Duration::from_millis(100);
    for _ in 0..span.as_millis() / step.as_millis() {
        let others = (0..DAEMONS).filter(|daemon| *daemon != except);
        others.for_each(|daemon| fleet.take(daemon, count));
        fleet.advance(step);
    }
}

/// Cuts one daemon off from all others, or reconnects it.
fn set_cut(fleet: &mut FakeFleet, daemon: usize, cut: bool) {
    for other in 0..DAEMONS {
        fleet.set_cut(daemon, other, cut);
        fleet.set_cut(other, daemon, cut);
    }
}

#[test]
fn both_homes_fit_burst() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = FakeFleet::new(DAEMONS, 1, 100, 20);
        fleet.advance(Duration::from_secs(12));
        for _ in 0..6 {
            // Bursts at some daemons leave unspent leases everywhere.
            for _ in 0..rng.random_range(1..30) {
                fleet.take(rng.random_range(0..DAEMONS), rng.random_range(1..12));
                fleet.advance(Duration::from_millis(rng.random_range(0..120)));
            }
            let home = fleet.home();
            fleet.set_live(home, false);
            fleet.update_all_maps();
            for _ in 0..rng.random_range(1..8) {
                fleet.advance(Duration::from_millis(rng.random_range(0..200)));
                for daemon in 0..DAEMONS {
                    fleet.take(daemon, 8);
                }
            }
            fleet.advance(Duration::from_millis(rng.random_range(0..4_000)));
            fleet.set_live(home, true);
            fleet.update_all_maps();
            fleet.advance(Duration::from_millis(rng.random_range(0..4_000)));
        }
        fleet.assert_within_limit();
    }
}

#[test]
fn no_second_burst() {
    // The home is cut off and its deputy grants a whole burst. When the home
    // returns, its bucket must not be as full as it was before.
    let mut fleet = FakeFleet::new(DAEMONS, 1, 5, 100);
    fleet.advance(Duration::from_secs(30));
    let home = fleet.home();
    set_cut(&mut fleet, home, true);
    // The deputy starts with an empty bucket, so it has a whole burst only
    // later.
    fleet.advance(Duration::from_secs(40));
    flood(&mut fleet, Duration::from_millis(500), 20, home);
    set_cut(&mut fleet, home, false);
    // No requests come until the home holds all shares again.
    fleet.advance(Duration::from_secs(4));
    flood(&mut fleet, Duration::from_secs(4), 20, home);
    fleet.assert_within_limit();
}
