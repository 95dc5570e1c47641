//! Stateful fuzzing of the detector: floor, evidence, return, bounds.

mod traffic;

use std::{collections::BTreeMap, time::Duration};

use health::{
    Action, DetectorOptions, Event, MemberSpec, Observation, OutcomeCounts, PoolDetector, Reason,
    Rotation,
};
use ids::{MonoTime, Percent, Slots};
use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use traffic::server_id;

/// Servers that there can be.
const SERVERS: usize = 8;

/// A step of the fuzzer.
#[derive(Clone, Debug)]
enum Step {
    Members(Vec<Option<(u32, bool)>>),
    Observe(usize, Observation, u8),
    Report(usize, u32, u8, u8),
    Canary(usize, bool),
    Pass(u64),
    Resumed,
}

/// What the oracle keeps: the members and which of them had bad evidence.
#[derive(Clone, Debug)]
struct Oracle {
    now: MonoTime,
    members: BTreeMap<usize, (u32, bool)>,
    bad: BTreeMap<usize, u64>,
    floor: u8,
}

fn any_observation() -> impl Strategy<Value = Observation> {
    prop_oneof![
        2 => (1..500_u64).prop_map(|ms| Observation::Answered(Duration::from_millis(ms))),
        3 => Just(Observation::Failed),
        1 => Just(Observation::Truncated),
        2 => Just(Observation::Overdue),
        1 => Just(Observation::Stuck),
        1 => Just(Observation::Unreachable),
    ]
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        (0..=100_u8)
            .prop_map(|floor| Self {
                now: MonoTime::from_millis(1),
                members: (0..6).map(|server| (server, (5, true))).collect(),
                bad: BTreeMap::new(),
                floor,
            })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let member = prop::option::weighted(0.8, (1..6_u32, prop::bool::weighted(0.8)));
        prop_oneof![
            1 => prop::collection::vec(member, SERVERS).prop_map(Step::Members),
            12 => (0..SERVERS, any_observation(), 1..12_u8)
                .prop_map(|(server, seen, count)| Step::Observe(server, seen, count)),
            4 => (0..SERVERS, 0..2_u32, 0..20_u8, 0..20_u8)
                .prop_map(|(server, epoch, good, bad)| Step::Report(server, epoch, good, bad)),
            4 => (0..SERVERS, any::<bool>()).prop_map(|(server, good)| Step::Canary(server, good)),
            6 => (1..400_u64).prop_map(Step::Pass),
            2 => (1_000..400_000_u64).prop_map(Step::Pass),
            1 => Just(Step::Resumed),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Members(members) => {
                let known = members.iter().enumerate();
                state.members = known
                    .filter_map(|(id, spec)| Some((id, (*spec)?)))
                    .collect();
                let members = state.members.clone();
                state.bad.retain(|id, _| members.contains_key(id));
            }
            Step::Observe(server, seen, count) => {
                let bad = !matches!(seen, Observation::Answered(_));
                let slow = matches!(seen, Observation::Answered(time) if time.as_millis() >= 5);
                if (bad || slow) && state.members.contains_key(server) {
                    *state.bad.entry(*server).or_default() += u64::from(*count);
                }
            }
            Step::Report(server, _, _, bad) if state.members.contains_key(server) => {
                *state.bad.entry(*server).or_default() += u64::from(*bad);
            }
            Step::Pass(millis) => state.now = state.now + Duration::from_millis(*millis),
            _ => {}
        }
        state
    }
}

/// The detector, with the counters that egresses would have.
struct Observed {
    detector: PoolDetector,
    counts: BTreeMap<(usize, u32), OutcomeCounts>,
    weights: BTreeMap<String, f64>,
}

fn specs(members: &BTreeMap<usize, (u32, bool)>) -> Vec<MemberSpec> {
    let spec = |(server, (slots, usable)): (&usize, &(u32, bool))| MemberSpec {
        server: server_id(*server),
        slots: Slots(*slots),
        usable: *usable,
    };
    members.iter().map(spec).collect()
}

impl Observed {
    fn take(&mut self, now: MonoTime, event: Event) {
        for action in self.detector.handle(now, event) {
            if let Action::SetWeight { server, weight, .. } = action {
                assert!((0.0..=1.0).contains(&weight));
                self.weights.insert(server.to_string(), weight);
            }
        }
    }
}

/// The test of the detector against the oracle.
struct DetectorTest;

impl StateMachineTest for DetectorTest {
    type SystemUnderTest = Observed;
    type Reference = Oracle;

    fn init_test(oracle: &Oracle) -> Observed {
        let mut observed = Observed {
            detector: PoolDetector::new(DetectorOptions {
                false_ejection_interval: DetectorOptions::FAST,
                floor: Percent(oracle.floor),
            }),
            counts: BTreeMap::new(),
            weights: BTreeMap::new(),
        };
        observed.take(oracle.now, Event::Members(specs(&oracle.members)));
        observed
    }

    fn apply(mut observed: Observed, oracle: &Oracle, step: Step) -> Observed {
        let now = oracle.now;
        match step {
            Step::Members(_) => observed.take(now, Event::Members(specs(&oracle.members))),
            Step::Observe(server, seen, count) => {
                for _ in 0..count {
                    observed.take(now, Event::Observed(server_id(server), seen));
                }
            }
            Step::Report(server, epoch, good, bad) => {
                let counts = observed.counts.entry((server, epoch)).or_default();
                counts.epoch = epoch;
                counts.samples += u64::from(good) + u64::from(bad);
                counts.failed += u64::from(bad);
                let counts = *counts;
                observed.take(now, Event::Reported(server_id(server), counts));
            }
            Step::Canary(server, good) => {
                observed.take(now, Event::Canary(server_id(server), good));
            }
            Step::Pass(_) => observed.take(now, Event::Tick),
            Step::Resumed => observed.take(now, Event::Resumed),
        }
        observed
    }

    fn check_invariants(observed: &Observed, oracle: &Oracle) {
        let dump = observed.detector.dump();
        assert_eq!(
            dump.len(),
            oracle.members.len(),
            "state is bounded by the members"
        );
        let total: u32 = oracle.members.values().map(|(slots, _)| slots).sum();
        let floor = (f64::from(total) * f64::from(oracle.floor) / 100.0).ceil() as u32;
        let mut live = 0;
        let mut rotating = 0;
        for (member, (server, (slots, usable))) in dump.iter().zip(&oracle.members) {
            assert_eq!(member.server, server_id(*server));
            let rotates = matches!(member.rotation, Rotation::In | Rotation::Ramping { .. });
            live += if *usable { *slots } else { 0 };
            rotating += if *usable && rotates { *slots } else { 0 };
            if let Rotation::Ejected { until } = member.rotation {
                let latest = oracle.now + Duration::from_secs(300);
                assert!(until <= latest, "out of rotation for ever");
                let evidence = oracle.bad.get(server).copied().unwrap_or(0);
                assert!(evidence > 0, "{server} was ejected without evidence");
            }
            if matches!(member.reason, Reason::Ejected(_)) {
                assert_eq!(observed.weights[&member.server.to_string()], 0.0);
            }
            assert!(
                member
                    .scores
                    .iter()
                    .all(|(_, score)| score.is_finite() && *score >= 0.0)
            );
        }
        assert!(
            rotating >= floor.min(live),
            "{rotating} slots rotate, floor {floor}, live {live}"
        );
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_263),
        ..ProptestConfig::default()
    })]

    #[test]
    fn detector_against_oracle(sequential 1..150 => DetectorTest);
}
