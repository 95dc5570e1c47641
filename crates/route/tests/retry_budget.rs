//! The retries of all daemons together stay within the share and the slack that
//! the operators configure.

use ids::{Percent, Rank};
use route::{RetryBudget, RetryUrgency};
use test_case::test_case;

/// Share of requests that may be retried.
const SHARE: Percent = Percent(20);

/// Counts the retries of a fleet whose daemons have filled their budgets, when
/// each of them then gets `each` requests and all of these fail.
fn retries(daemons: usize, slack: f64, each: u32) -> u32 {
    let mut taken = 0;
    for daemon in 0..daemons {
        let budget = RetryBudget::with_seed(daemon as u64);
        budget.set_capacity(slack, daemons);
        (0..100).for_each(|_| budget.deposit(SHARE));
        for _ in 0..each {
            budget.deposit(SHARE);
            taken += u32::from(budget.withdraw(RetryUrgency::new(Rank(0), false)));
        }
    }
    taken
}

#[test_case(3, 50.0, 1; "few daemons")]
#[test_case(33, 58.0, 1; "small fleet")]
#[test_case(81, 182.0, 1; "larger fleet")]
#[test_case(300, 60.0, 1; "more daemons than slack")]
#[test_case(300, 60.0, 4; "more daemons than slack, more requests")]
#[test_case(4_100, 60.0, 1; "fleet expected in two years")]
fn fleet_keeps_the_bound(daemons: usize, slack: f64, each: u32) {
    // A service without recent failures fails at all daemons at once, when each of
    // them has filled its retry budget.
    let requests = daemons as f64 * f64::from(each);
    let taken = f64::from(retries(daemons, slack, each));
    let bound = 0.2 * requests + slack;
    assert!(taken <= bound, "{taken} of {bound}");
}

#[test_case(33, 58.0; "small fleet")]
#[test_case(300, 60.0; "more daemons than slack")]
#[test_case(4_100, 60.0; "fleet expected in two years")]
fn share_is_used(daemons: usize, slack: f64) {
    // Each daemon's part of the slack may be less than one retry. The share of
    // requests must be retried nevertheless.
    let taken = f64::from(retries(daemons, slack, 20));
    let share = 0.2 * 20.0 * daemons as f64;
    assert!(taken >= 0.9 * share, "{taken} of {share}");
}

/// Returns the shares of the wanted retries of ranks 0 and 2 that a daemon grants when
/// each of its requests wants a retry with these probabilities, in hundredths.
fn granted(daemons: usize, wanted: [u64; 2]) -> [f64; 2] {
    let budget = RetryBudget::with_seed(9);
    budget.set_capacity(188.0, daemons);
    let mut counts = [[0_u32; 2]; 2];
    for number in 0..4_000_u64 {
        budget.deposit(SHARE);
        for (index, rank) in [Rank(0), Rank(2)].into_iter().enumerate() {
            if ids::stable_pair_hash(number, &rank.to_string()) % 100 < wanted[index] {
                counts[index][0] += 1;
                let urgency = RetryUrgency::new(rank, false);
                counts[index][1] += u32::from(budget.withdraw(urgency));
            }
        }
    }
    counts.map(|[wanted, granted]| f64::from(granted) / f64::from(wanted.max(1)))
}

// Guards against retries of low ranks that leave none for the others. A daemon among 91
// saves one retry at the most, so it cannot reserve more.
#[test]
fn urgent_ranks_draw_first() {
    let [first, last] = granted(91, [15, 40]);
    assert!(first >= last + 0.05, "{first} {last}");
    // What the urgent leave is used.
    let used = (15.0 * first + 40.0 * last) / 20.0;
    assert!(used >= 0.85, "{used}");
}

// Guards against retries that are held back although the budget covers all.
#[test]
fn few_are_granted_to_all() {
    let [first, last] = granted(20, [1, 2]);
    assert!(first >= 0.95 && last >= 0.95, "{first} {last}");
}
