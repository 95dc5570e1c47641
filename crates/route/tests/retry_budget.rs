//! Retries of a whole fleet against what the operators grant it.

use ids::Percent;
use route::RetryBudget;
use test_case::test_case;

/// Share of requests that may be retried.
const SHARE: Percent = Percent(20);

/// Retries of a fleet that was quiet for long, when `each` requests come to
/// every daemon in one window and all of them fail.
fn retries(daemons: usize, slack: f64, each: u32) -> u32 {
    let mut taken = 0;
    for daemon in 0..daemons {
        let budget = RetryBudget::with_seed(daemon as u64);
        budget.set_capacity(slack, daemons);
        (0..100).for_each(|_| budget.deposit(SHARE));
        for _ in 0..each {
            budget.deposit(SHARE);
            taken += u32::from(budget.withdraw());
        }
    }
    taken
}

#[test_case(3, 50.0, 1; "few daemons")]
#[test_case(33, 58.0, 1; "a small installation")]
#[test_case(81, 182.0, 1; "a larger one")]
#[test_case(300, 60.0, 1; "more daemons than slack")]
#[test_case(300, 60.0, 4; "more daemons than slack, more requests")]
#[test_case(4_100, 60.0, 1; "two years hence")]
fn fleet_keeps_the_bound(daemons: usize, slack: f64, each: u32) {
    // Pattern: a quiet service of a large fleet fails at once. Every daemon has
    // saved up what it may.
    let requests = daemons as f64 * f64::from(each);
    let taken = f64::from(retries(daemons, slack, each));
    let bound = 0.2 * requests + slack;
    assert!(taken <= bound, "{taken} of {bound}");
}

#[test_case(33, 58.0; "a small installation")]
#[test_case(300, 60.0; "more daemons than slack")]
#[test_case(4_100, 60.0; "two years hence")]
fn share_is_used(daemons: usize, slack: f64) {
    // However thin the slack is spread, the share of requests is there.
    let taken = f64::from(retries(daemons, slack, 20));
    let share = 0.2 * 20.0 * daemons as f64;
    assert!(taken >= 0.9 * share, "{taken} of {share}");
}
