//! The gate of the egress closes on evidence of a failing server and opens
//! again after good trials.

use health::{GateDecision, Outcome, ServerGate};
use ids::MonoTime;
use test_case::test_case;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Returns a gate that has recorded good answers for two seconds.
fn open_gate() -> ServerGate {
    let mut gate = ServerGate::default();
    (0..20).for_each(|number| gate.record(at(1_000 + number * 100), Outcome::Good));
    gate
}

#[test_case(&[Outcome::Lost], true; "one lost connection")]
#[test_case(&[Outcome::Error], false; "one error")]
#[test_case(&[Outcome::Error, Outcome::Error], true; "two errors")]
#[test_case(&[Outcome::Error, Outcome::Good, Outcome::Good, Outcome::Good], false; "an error among good ones")]
#[test_case(&[Outcome::Broken], false; "one answer that broke off")]
#[test_case(&[Outcome::Rejected; 20], false; "only rejections")]
#[test_case(&[Outcome::Rejected, Outcome::Lost, Outcome::Rejected], true; "a lost connection among rejections")]
#[test_case(&[Outcome::Overdue, Outcome::Overdue, Outcome::Overdue], true; "three late answers")]
#[test_case(&[Outcome::Overdue, Outcome::Good], false; "one late answer")]
fn closes_on_evidence(outcomes: &[Outcome], closed: bool) {
    let mut gate = open_gate();
    for (index, outcome) in outcomes.iter().enumerate() {
        gate.record(at(3_000 + 10 * index as u64), *outcome);
    }
    assert_eq!(gate.is_closed(at(3_100)), closed);
    let decision = gate.decide(at(3_100), false);
    assert_eq!(decision == GateDecision::Closed, closed);
}

#[test]
fn one_trial_at_a_time() {
    let mut gate = open_gate();
    gate.record(at(3_000), Outcome::Lost);
    assert_eq!(gate.decide(at(3_010), true), GateDecision::Closed);
    assert_eq!(gate.decide(at(3_200), true), GateDecision::Trial);
    assert_eq!(gate.decide(at(3_210), true), GateDecision::Closed);
    gate.record(at(3_220), Outcome::Lost);
    gate.end_trial(at(3_220), false);
    // A failed trial doubles the time until the next one.
    assert_eq!(gate.decide(at(3_400), true), GateDecision::Closed);
    assert_eq!(gate.decide(at(3_600), true), GateDecision::Trial);
}

#[test]
fn good_trials_reopen() {
    let mut gate = open_gate();
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
fn few_trials_while_failing() {
    let mut gate = open_gate();
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
fn non_idempotent_trial() {
    let mut gate = open_gate();
    gate.record(at(3_000), Outcome::Lost);
    gate.record(at(3_001), Outcome::Lost);
    assert_eq!(gate.decide(at(4_000), false), GateDecision::Closed);
    assert_eq!(gate.decide(at(5_600), false), GateDecision::Trial);
    assert_eq!(gate.decide(at(5_700), false), GateDecision::Closed);
}

#[test]
fn evidence_decays() {
    let mut gate = open_gate();
    gate.record(at(3_000), Outcome::Lost);
    assert!(gate.is_closed(at(3_000)));
    assert!(!gate.is_closed(at(13_000)));
}

#[test]
fn lost_trial_replaced() {
    // A trial whose end is never reported must not keep the gate closed
    // forever.
    let mut gate = open_gate();
    gate.record(at(3_000), Outcome::Lost);
    assert_eq!(gate.decide(at(3_200), true), GateDecision::Trial);
    gate.record(at(5_000), Outcome::Lost);
    assert_eq!(gate.decide(at(5_800), true), GateDecision::Trial);
}

#[test]
fn earlier_requests_ignored() {
    // A busy server begins to fail. Requests that were sent to it before still
    // get good answers, which must not open the gate again at once.
    let mut gate = open_gate();
    gate.record(at(3_000), Outcome::Lost);
    for millis in [3_010, 3_100, 3_200, 3_300] {
        gate.record_good(at(millis), at(2_900));
        assert!(gate.is_closed(at(millis)), "{millis}");
    }
    let mut now = 3_400;
    while gate.is_closed(at(now)) {
        assert!(now < 4_000, "good answers did not open the gate");
        gate.record_good(at(now + 50), at(now));
        now += 50;
    }
}
