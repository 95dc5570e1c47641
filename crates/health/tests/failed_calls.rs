//! Attribution of a backend server's errors to its own failed calls.

use health::FailedCalls;
use ids::MonoTime;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn dependency_failure_explains_error() {
    // An overloaded service sheds the calls of another service, whose healthy
    // servers then answer with errors. Each failed call explains one error of a
    // request that was running when the call failed.
    let mut calls = FailedCalls::default();
    calls.record_failure(at(1_000));
    calls.record_failure(at(1_100));
    assert!(calls.attribute_error(at(1_150), at(700)));
    assert!(calls.attribute_error(at(1_200), at(900)));
    assert!(!calls.attribute_error(at(1_250), at(900)));
}

#[test]
fn own_error_unexplained() {
    let mut calls = FailedCalls::default();
    assert!(!calls.attribute_error(at(1_000), at(900)));
    // The call failed before the request began.
    calls.record_failure(at(1_000));
    assert!(!calls.attribute_error(at(1_500), at(1_200)));
}

#[test]
fn latest_failure_used_first() {
    // A request that began late must not use up the failed call of a request
    // that began early, and vice versa.
    let mut calls = FailedCalls::default();
    calls.record_failure(at(1_000));
    calls.record_failure(at(2_000));
    assert!(calls.attribute_error(at(2_050), at(1_500)));
    assert!(calls.attribute_error(at(2_100), at(500)));
}

#[test]
fn call_count_bounded() {
    let mut calls = FailedCalls::default();
    (0..10_000).for_each(|millis| calls.record_failure(at(millis)));
    assert!(calls.len() <= 256, "{}", calls.len());
    assert!(calls.attribute_error(at(10_000), at(9_900)));
    // Calls that failed long ago do not explain an error.
    assert!(!calls.attribute_error(at(60_000), at(9_000)));
}
