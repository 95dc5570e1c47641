//! Rate of requests to a backend server that is cold after its start.

use std::{collections::VecDeque, time::Duration};

use admit::{ColdDecision, ColdEvent, ColdLimit, ColdRate};
use ids::{MonoTime, RequestRate};
use proptest::{prelude::*, test_runner::RngSeed};
use test_case::test_case;

/// Time for which a server of the tests is cold after its start.
const AFTER_START: Duration = Duration::from_secs(3);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Returns a limit with the operators' bound: one and a half times the rate and eight
/// requests more in any second.
fn limit(thousandths: u64) -> ColdLimit {
    ColdLimit {
        rate: RequestRate::from_thousandths(thousandths),
        after_start: AFTER_START,
        over: 1.5,
        slack: 8.0,
    }
}

/// Returns the most requests in any second.
fn most_in_a_second(sent_ms: &[u64]) -> usize {
    let count = |start: &u64| {
        let within = sent_ms
            .iter()
            .filter(|time| (*start..*start + 1_000).contains(*time));
        within.count()
    };
    sent_ms.iter().map(count).max().unwrap_or(0)
}

/// Offers `per_ms` requests in each millisecond, each sent at once if it fits, and
/// returns the times at which requests are sent.
fn flood(rate: &mut ColdRate, from_ms: u64, to_ms: u64, per_ms: u64) -> Vec<u64> {
    let times = (from_ms..to_ms).flat_map(|millis| (0..per_ms).map(move |_| millis));
    times
        .filter(|millis| rate.send(at(*millis), false))
        .collect()
}

#[test]
fn warm_is_free() {
    let mut rate = ColdRate::new(limit(14_000));
    assert_eq!(flood(&mut rate, 0, 100, 5).len(), 500);
    assert!(!rate.handle(at(100), ColdEvent::Noticed(false)));
    assert_eq!(rate.reserve(at(100)), ColdDecision::Warm);
    assert_eq!(rate.wait(at(100)), Duration::ZERO);
}

// Guards against a rate that is used up by half only, or that passes the bound.
#[test]
fn sustained_rate() {
    let mut rate = ColdRate::new(limit(14_000));
    rate.handle(at(0), ColdEvent::Noticed(true));
    let mut sent = Vec::new();
    for second in 0..10 {
        rate.handle(at(second * 1_000), ColdEvent::Confirmed);
        sent.extend(flood(&mut rate, second * 1_000, (second + 1) * 1_000, 1));
    }
    let later = sent.iter().filter(|time| **time >= 2_000).count();
    assert!((108..=112).contains(&later), "{later} in 8 s at 14/s");
    assert!(most_in_a_second(&sent) <= 15);
    let first = sent.iter().filter(|time| **time < 500).count();
    assert!((2..=5).contains(&first), "{first} in the first half second");
}

// Guards against a burst after a time without requests.
#[test]
fn burst_after_pause() {
    let mut rate = ColdRate::new(limit(14_000));
    rate.handle(at(0), ColdEvent::Listed);
    rate.handle(at(0), ColdEvent::Noticed(true));
    let sent = flood(&mut rate, 2_000, 2_900, 50);
    let count = most_in_a_second(&sent);
    assert!((18..=21).contains(&count), "{count} of 29 in a second");
}

// Guards against grants that are given over a second and all used at once.
#[test]
fn late_grants() {
    let mut rate = ColdRate::new(limit(14_000));
    rate.handle(at(0), ColdEvent::Listed);
    let granted = (0..2_000)
        .filter(|millis| rate.reserve(at(*millis)) == ColdDecision::Reserved)
        .count();
    assert!(granted <= 8, "{granted} granted without a request sent");
    let mut sent = vec![2_000; granted];
    assert!((0..granted).all(|_| rate.send(at(2_000), true)));
    sent.extend(flood(&mut rate, 2_000, 2_900, 5));
    assert!(most_in_a_second(&sent) <= 22, "{}", sent.len());
}

#[test]
fn unused_grant_costs_nothing() {
    let mut rate = ColdRate::new(limit(14_000));
    rate.handle(at(0), ColdEvent::Listed);
    for millis in 1_000..1_100 {
        assert_eq!(rate.reserve(at(millis)), ColdDecision::Reserved);
        rate.release();
    }
    assert!(rate.send(at(1_100), false));
}

// Guards against a grant from before the spell that is used in it uncounted.
#[test]
fn grant_before_spell() {
    let mut rate = ColdRate::new(limit(14_000));
    assert_eq!(rate.reserve(at(0)), ColdDecision::Warm);
    rate.handle(at(1), ColdEvent::Noticed(true));
    assert!(!rate.send(at(2), false));
}

#[test_case(ColdEvent::Listed, 3_000; "listed without a notice")]
#[test_case(ColdEvent::Unreachable, 3_000; "no connection")]
#[test_case(ColdEvent::Started, 1_000; "daemon started")]
#[test_case(ColdEvent::Resumed, 1_000; "daemon was suspended")]
#[test_case(ColdEvent::Noticed(true), 3_000; "notice is never confirmed")]
#[test_case(ColdEvent::Answered(Duration::from_millis(700)), 700; "the server's own word")]
fn spell_ends_by_itself(event: ColdEvent, millis: u64) {
    let mut rate = ColdRate::new(limit(14_000));
    assert!(rate.handle(at(10), event));
    assert!(rate.is_cold(at(10 + millis - 1)));
    assert!(!rate.is_cold(at(10 + millis)));
}

// Guards against throttling a server that is known to be warm.
#[test]
fn warm_notice_ends_spell() {
    let mut rate = ColdRate::new(limit(14_000));
    rate.handle(at(0), ColdEvent::Started);
    rate.handle(at(0), ColdEvent::Noticed(true));
    assert!(rate.handle(at(500), ColdEvent::Noticed(false)));
    assert!(!rate.is_cold(at(1_000)));
}

// Guards against a new configuration without a word about the server that ends what
// the server said itself.
#[test]
fn repeated_warm_notice() {
    let mut rate = ColdRate::new(limit(14_000));
    rate.handle(at(0), ColdEvent::Answered(Duration::from_secs(2)));
    assert!(rate.handle(at(10), ColdEvent::Noticed(false)));
}

// Guards against a spell that ends with the first one when the server has become cold
// again meanwhile.
#[test]
fn second_spell_inside_first() {
    let mut rate = ColdRate::new(limit(14_000));
    rate.handle(at(0), ColdEvent::Listed);
    rate.handle(at(0), ColdEvent::Noticed(true));
    // The server starts again after 2.5 s. The configuration still says that it is
    // cold.
    let mut sent = flood(&mut rate, 0, 2_500, 2);
    for tenth in 25..55 {
        rate.handle(at(tenth * 100), ColdEvent::Confirmed);
        sent.extend(flood(&mut rate, tenth * 100, (tenth + 1) * 100, 2));
    }
    assert!(rate.is_cold(at(5_500)));
    let count = most_in_a_second(&sent);
    assert!(count <= 22, "{count} in a second");
    assert!(!rate.handle(at(5_500), ColdEvent::Noticed(false)));
}

// Guards against a restart under the same name that fills the bucket again.
#[test]
fn restart_inside_spell() {
    let mut rate = ColdRate::new(limit(14_000));
    rate.handle(at(0), ColdEvent::Listed);
    let mut sent = flood(&mut rate, 0, 2_000, 2);
    rate.handle(at(2_000), ColdEvent::Listed);
    sent.extend(flood(&mut rate, 2_000, 4_900, 2));
    assert!(rate.is_cold(at(4_999)));
    assert!(most_in_a_second(&sent) <= 15);
}

// Guards against two daemons in a row that each use the burst.
#[test]
fn daemon_restarts() {
    let mut first = ColdRate::new(limit(14_000));
    first.handle(at(0), ColdEvent::Listed);
    let mut sent = flood(&mut first, 1_900, 2_000, 50);
    let mut second = ColdRate::new(limit(14_000));
    second.handle(at(2_000), ColdEvent::Started);
    second.handle(at(2_000), ColdEvent::Noticed(true));
    sent.extend(flood(&mut second, 2_000, 4_000, 50));
    assert!(most_in_a_second(&sent) <= 29);
}

#[test]
fn wait_follows_rate() {
    let mut rate = ColdRate::new(limit(14_000));
    rate.handle(at(0), ColdEvent::Listed);
    flood(&mut rate, 0, 1_500, 1);
    let crowded = rate.wait(at(1_500));
    assert_eq!(crowded, Duration::from_secs(1), "a thousand were refused");
    let alone = rate.wait(at(2_950));
    assert!(alone <= Duration::from_millis(50), "{alone:?}");
}

#[test_case(1.0, 1.0; "no factor")]
#[test_case(1.0, 30.0; "slack only")]
#[test_case(3.0, 1.0; "factor only")]
fn other_bounds(over: f64, slack: f64) {
    for thousandths in [300, 1_000, 14_000, 200_000] {
        let bound = ColdLimit {
            over,
            slack,
            ..limit(thousandths)
        };
        let mut rate = ColdRate::new(bound);
        rate.handle(at(0), ColdEvent::Noticed(true));
        let mut sent = Vec::new();
        for second in 0..6 {
            rate.handle(at(second * 1_000), ColdEvent::Confirmed);
            sent.extend(flood(&mut rate, second * 1_000, (second + 1) * 1_000, 1));
        }
        let allowed = bound.rate.as_f64() * over + slack;
        let most = most_in_a_second(&sent) as f64;
        assert!(most <= allowed, "{most} of {allowed}");
        let expected = (bound.rate.as_f64() * 4.5).floor() as usize;
        assert!(sent.len() >= expected, "{} of {expected}", sent.len());
    }
}

/// A step of the fuzz test.
#[derive(Clone, Debug)]
enum Step {
    Event(ColdEvent),
    Reserve(usize),
    /// Sends granted requests, oldest first.
    Send(usize),
    /// Releases granted requests, oldest first.
    Release(usize),
    /// Sends requests without a reservation.
    Probe(usize),
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let event = prop_oneof![
        Just(ColdEvent::Started),
        Just(ColdEvent::Listed),
        Just(ColdEvent::Unreachable),
        Just(ColdEvent::Noticed(true)),
        Just(ColdEvent::Confirmed),
        Just(ColdEvent::Resumed),
        (0_u64..4_000).prop_map(|millis| ColdEvent::Answered(Duration::from_millis(millis))),
    ];
    let step = prop_oneof![
        2 => event.prop_map(Step::Event),
        4 => (1_usize..40).prop_map(Step::Reserve),
        3 => (1_usize..20).prop_map(Step::Send),
        1 => (1_usize..4).prop_map(Step::Release),
        2 => (1_usize..10).prop_map(Step::Probe),
        6 => (0_u64..200).prop_map(Step::Pass),
        1 => (200_u64..3_000).prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 1..400)
}

// Guards against any order of bursts, late grants, spells and pauses that sends more
// than the bound in a second while the server is cold all the time.
#[test]
fn every_second_bounded() {
    let config = ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    };
    proptest!(config, |(steps in steps(), thousandths in 200_u64..100_000)| {
        let mut rate = ColdRate::new(limit(thousandths));
        rate.handle(at(0), ColdEvent::Noticed(true));
        let mut now = 0;
        let mut granted = VecDeque::new();
        let mut sent = Vec::new();
        for step in steps {
            // The server stays cold, so that everything counts.
            rate.handle(at(now), ColdEvent::Confirmed);
            match step {
                Step::Event(event) => {
                    rate.handle(at(now), event);
                }
                Step::Reserve(count) => {
                    let decisions = (0..count).map(|_| rate.reserve(at(now)));
                    granted.extend(decisions.filter(|it| *it != ColdDecision::Refused));
                }
                Step::Send(count) => {
                    for decision in granted.drain(..count.min(granted.len())) {
                        let reserved = decision == ColdDecision::Reserved;
                        sent.extend(rate.send(at(now), reserved).then_some(now));
                    }
                }
                Step::Release(count) => {
                    for decision in granted.drain(..count.min(granted.len())) {
                        if decision == ColdDecision::Reserved {
                            rate.release();
                        }
                    }
                }
                Step::Probe(count) => {
                    let passed = (0..count).filter(|_| rate.send(at(now), false)).count();
                    sent.extend(std::iter::repeat_n(now, passed));
                }
                Step::Pass(millis) => {
                    // A daemon in operation confirms its configuration each 100 ms.
                    for part in 0..millis / 100 {
                        rate.handle(at(now + part * 100), ColdEvent::Confirmed);
                    }
                    now += millis;
                }
            }
        }
        let allowed = 1.5 * thousandths as f64 / 1_000.0 + 8.0;
        let most = most_in_a_second(&sent) as f64;
        prop_assert!(most <= allowed, "{} of {}", most, allowed);
    });
}
