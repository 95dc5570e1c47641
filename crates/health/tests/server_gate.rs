//! The gate of the egress: closed fast, opened by trials.

use health::{GateDecision, Outcome, ServerGate};
use ids::MonoTime;
use test_case::test_case;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// A gate that saw good answers for a while.
fn known_gate() -> ServerGate {
    let mut gate = ServerGate::default();
    (0..20).for_each(|number| gate.record(at(1_000 + number * 100), Outcome::Good));
    gate
}

#[test_case(&[Outcome::Lost], true; "one lost connection")]
#[test_case(&[Outcome::Error], false; "one error")]
#[test_case(&[Outcome::Error, Outcome::Error], true; "two errors")]
#[test_case(&[Outcome::Error, Outcome::Good, Outcome::Good, Outcome::Good], false; "an error among good ones")]
#[test_case(&[Outcome::Broken], false; "one answer that broke off")]
#[test_case(&[Outcome::Rejected, Outcome::Rejected], true; "two rejections")]
#[test_case(&[Outcome::Overdue, Outcome::Overdue, Outcome::Overdue], true; "three late answers")]
#[test_case(&[Outcome::Overdue, Outcome::Good], false; "one late answer")]
fn closes_on_evidence(outcomes: &[Outcome], closed: bool) {
    let mut gate = known_gate();
    for (place, outcome) in outcomes.iter().enumerate() {
        gate.record(at(3_000 + 10 * place as u64), *outcome);
    }
    assert_eq!(gate.is_closed(at(3_100)), closed);
    let verdict = gate.decide(at(3_100), false);
    assert_eq!(verdict == GateDecision::Closed, closed);
}

#[test]
fn one_trial_at_a_time() {
    let mut gate = known_gate();
    gate.record(at(3_000), Outcome::Lost);
    assert_eq!(gate.decide(at(3_010), true), GateDecision::Closed);
    assert_eq!(gate.decide(at(3_200), true), GateDecision::Trial);
    assert_eq!(gate.decide(at(3_210), true), GateDecision::Closed);
    gate.record(at(3_220), Outcome::Lost);
    gate.end_trial(at(3_220), false);
    // Twice the gap after a failure.
    assert_eq!(gate.decide(at(3_400), true), GateDecision::Closed);
    assert_eq!(gate.decide(at(3_600), true), GateDecision::Trial);
}

#[test]
fn good_trials_open() {
    let mut gate = known_gate();
    gate.record(at(3_000), Outcome::Lost);
    let mut now = 3_000;
    let mut trials = 0;
    while gate.is_closed(at(now)) {
        now += 10;
        if gate.decide(at(now), true) == GateDecision::Trial {
            trials += 1;
            gate.record(at(now), Outcome::Good);
            gate.end_trial(at(now), true);
        }
    }
    assert!(trials <= 3, "{trials}");
    assert!(now < 4_000, "{now}");
}

#[test]
fn failing_server_gets_few() {
    let mut gate = known_gate();
    gate.record(at(3_000), Outcome::Lost);
    let mut trials = 0;
    for now in (3_000..13_000).step_by(5) {
        if gate.decide(at(now), true) == GateDecision::Trial {
            trials += 1;
            gate.record(at(now), Outcome::Lost);
            gate.end_trial(at(now), false);
        }
    }
    assert!((8..15).contains(&trials), "{trials} in 10 s");
}

#[test]
fn lonely_server_is_tried() {
    let mut gate = known_gate();
    gate.record(at(3_000), Outcome::Lost);
    gate.record(at(3_001), Outcome::Lost);
    assert_eq!(gate.decide(at(4_000), false), GateDecision::Closed);
    assert_eq!(gate.decide(at(5_600), false), GateDecision::Trial);
    assert_eq!(gate.decide(at(5_700), false), GateDecision::Closed);
}

#[test]
fn evidence_is_forgotten() {
    let mut gate = known_gate();
    gate.record(at(3_000), Outcome::Lost);
    assert!(gate.is_closed(at(3_000)));
    assert!(!gate.is_closed(at(13_000)));
}

#[test]
fn lost_trial_is_followed() {
    // A trial whose end is never told must not close the gate for good.
    let mut gate = known_gate();
    gate.record(at(3_000), Outcome::Lost);
    assert_eq!(gate.decide(at(3_200), true), GateDecision::Trial);
    gate.record(at(5_000), Outcome::Lost);
    assert_eq!(gate.decide(at(5_800), true), GateDecision::Trial);
}

#[test]
fn earlier_requests_prove_nothing() {
    // Pattern: a busy server begins to fail. Requests that it took before still
    // end well, and would open the gate again at once.
    let mut gate = known_gate();
    gate.record(at(3_000), Outcome::Lost);
    for millis in [3_010, 3_100, 3_200, 3_300] {
        gate.record_good(at(millis), at(2_900));
        assert!(gate.is_closed(at(millis)), "{millis}");
    }
    let mut now = 3_400;
    while gate.is_closed(at(now)) {
        assert!(now < 4_000, "never opened");
        gate.record_good(at(now + 50), at(now));
        now += 50;
    }
}
