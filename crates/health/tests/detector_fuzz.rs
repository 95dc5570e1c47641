//! Model-based fuzzing of the detector. It checks that ejections respect the
//! floor, need evidence and end, and that the state is bounded by the members.

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

/// Largest number of servers.
const SERVERS: usize = 8;

/// A step of the fuzzer.
#[derive(Clone, Debug)]
enum Step {
    Members(Vec<Option<(u32, bool)>>),
    Observe(usize, Observation, u8),
    Report(usize, u32, u8, u8),
    Canary(usize, bool),
    Wait(u64),
    Resumed,
}

/// Test oracle: the members by number with their slots and whether they are
/// usable, and the number of bad samples of each.
#[derive(Clone, Debug)]
struct Oracle {
    now: MonoTime,
    members: BTreeMap<usize, (u32, bool)>,
    bad_samples: BTreeMap<usize, u64>,
    floor: u8,
}

fn observation_strategy() -> impl Strategy<Value = Observation> {
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
                bad_samples: BTreeMap::new(),
                floor,
            })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let member = prop::option::weighted(0.8, (1..6_u32, prop::bool::weighted(0.8)));
        prop_oneof![
            1 => prop::collection::vec(member, SERVERS).prop_map(Step::Members),
            12 => (0..SERVERS, observation_strategy(), 1..12_u8)
                .prop_map(|(server, observation, count)| Step::Observe(server, observation, count)),
            4 => (0..SERVERS, 0..2_u32, 0..20_u8, 0..20_u8)
                .prop_map(|(server, incarnation, good, bad)| {
                    Step::Report(server, incarnation, good, bad)
                }),
            4 => (0..SERVERS, any::<bool>()).prop_map(|(server, good)| Step::Canary(server, good)),
            6 => (1..400_u64).prop_map(Step::Wait),
            2 => (1_000..400_000_u64).prop_map(Step::Wait),
            1 => Just(Step::Resumed),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Members(members) => {
                let listed = members.iter().enumerate();
                state.members = listed
                    .filter_map(|(id, spec)| Some((id, (*spec)?)))
                    .collect();
                let members = state.members.clone();
                state.bad_samples.retain(|id, _| members.contains_key(id));
            }
            Step::Observe(server, observation, count) => {
                let bad = !matches!(observation, Observation::Answered(_));
                let slow =
                    matches!(observation, Observation::Answered(time) if time.as_millis() >= 5);
                if (bad || slow) && state.members.contains_key(server) {
                    *state.bad_samples.entry(*server).or_default() += u64::from(*count);
                }
            }
            Step::Report(server, _, _, bad) if state.members.contains_key(server) => {
                *state.bad_samples.entry(*server).or_default() += u64::from(*bad);
            }
            Step::Wait(millis) => state.now = state.now + Duration::from_millis(*millis),
            _ => {}
        }
        state
    }
}

/// The detector under test, with the counters of the egresses and the latest
/// weights.
struct TestSystem {
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

impl TestSystem {
    fn handle(&mut self, now: MonoTime, event: Event) {
        for action in self.detector.handle(now, event) {
            if let Action::SetWeight { server, weight, .. } = action {
                assert!((0.0..=1.0).contains(&weight));
                self.weights.insert(server.to_string(), weight);
            }
        }
    }
}

/// Test of the detector against the oracle.
struct DetectorTest;

impl StateMachineTest for DetectorTest {
    type SystemUnderTest = TestSystem;
    type Reference = Oracle;

    fn init_test(oracle: &Oracle) -> TestSystem {
        let mut system = TestSystem {
            detector: PoolDetector::new(DetectorOptions {
                false_ejection_interval: DetectorOptions::FAST,
                floor: Percent(oracle.floor),
            }),
            counts: BTreeMap::new(),
            weights: BTreeMap::new(),
        };
        system.handle(oracle.now, Event::Members(specs(&oracle.members)));
        system
    }

    fn apply(mut system: TestSystem, oracle: &Oracle, step: Step) -> TestSystem {
        let now = oracle.now;
        match step {
            Step::Members(_) => system.handle(now, Event::Members(specs(&oracle.members))),
            Step::Observe(server, observation, count) => {
                for _ in 0..count {
                    system.handle(now, Event::Observed(server_id(server), observation));
                }
            }
            Step::Report(server, incarnation, good, bad) => {
                let counts = system.counts.entry((server, incarnation)).or_default();
                counts.incarnation = incarnation;
                counts.samples += u64::from(good) + u64::from(bad);
                counts.failed += u64::from(bad);
                let counts = *counts;
                system.handle(now, Event::Reported(server_id(server), counts));
            }
            Step::Canary(server, good) => {
                system.handle(now, Event::Canary(server_id(server), good));
            }
            Step::Wait(_) => system.handle(now, Event::Tick),
            Step::Resumed => system.handle(now, Event::Resumed),
        }
        system
    }

    fn check_invariants(system: &TestSystem, oracle: &Oracle) {
        let dump = system.detector.dump();
        assert_eq!(
            dump.len(),
            oracle.members.len(),
            "the dump has an entry for each member and no other"
        );
        let total: u32 = oracle.members.values().map(|(slots, _)| slots).sum();
        let floor = (f64::from(total) * f64::from(oracle.floor) / 100.0).ceil() as u32;
        let mut live_slots = 0;
        let mut slots_in_rotation = 0;
        for (member, (server, (slots, usable))) in dump.iter().zip(&oracle.members) {
            assert_eq!(member.server, server_id(*server));
            let in_rotation = matches!(member.rotation, Rotation::In | Rotation::Ramping { .. });
            live_slots += if *usable { *slots } else { 0 };
            slots_in_rotation += if *usable && in_rotation { *slots } else { 0 };
            if let Rotation::Ejected { until } = member.rotation {
                let latest = oracle.now + Duration::from_secs(300);
                assert!(until <= latest, "{server} is ejected for more than 300 s");
                let bad_count = oracle.bad_samples.get(server).copied().unwrap_or(0);
                assert!(bad_count > 0, "{server} was ejected without bad samples");
            }
            if matches!(member.reason, Reason::Ejected(_)) {
                assert_eq!(system.weights[&member.server.to_string()], 0.0);
            }
            assert!(
                member
                    .scores
                    .iter()
                    .all(|(_, score)| score.is_finite() && *score >= 0.0)
            );
        }
        assert!(
            slots_in_rotation >= floor.min(live_slots),
            "{slots_in_rotation} slots in rotation, floor {floor}, {live_slots} slots on live VMs"
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
