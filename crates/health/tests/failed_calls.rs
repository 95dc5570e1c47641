//! Errors of a backend server whose own calls failed.

use health::FailedCalls;
use ids::MonoTime;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn overloaded_dependency_excuses_errors() {
    // Pattern: one service is overloaded and sheds the calls of another, whose
    // servers are sound and answer with errors. Each failed call explains one
    // error of a request that ran when it failed.
    let mut ledger = FailedCalls::default();
    ledger.record_failure(at(1_000));
    ledger.record_failure(at(1_100));
    assert!(ledger.attribute_error(at(1_150), at(700)));
    assert!(ledger.attribute_error(at(1_200), at(900)));
    assert!(!ledger.attribute_error(at(1_250), at(900)));
}

#[test]
fn own_error_counts() {
    let mut ledger = FailedCalls::default();
    assert!(!ledger.attribute_error(at(1_000), at(900)));
    // The call failed before the request began.
    ledger.record_failure(at(1_000));
    assert!(!ledger.attribute_error(at(1_500), at(1_200)));
}

#[test]
fn latest_begun_takes_latest_failure() {
    // A request that began late must not use up the failure of one that began
    // early, and the other way round.
    let mut ledger = FailedCalls::default();
    ledger.record_failure(at(1_000));
    ledger.record_failure(at(2_000));
    assert!(ledger.attribute_error(at(2_050), at(1_500)));
    assert!(ledger.attribute_error(at(2_100), at(500)));
}

#[test]
fn ledger_stays_small() {
    let mut ledger = FailedCalls::default();
    (0..10_000).for_each(|millis| ledger.record_failure(at(millis)));
    assert!(ledger.len() <= 256, "{}", ledger.len());
    assert!(ledger.attribute_error(at(10_000), at(9_900)));
    // Nothing of long ago explains an error.
    assert!(!ledger.attribute_error(at(60_000), at(9_000)));
}
