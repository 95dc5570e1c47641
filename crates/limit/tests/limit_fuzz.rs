//! Fuzzes several rate limiters joined by a queue that loses, duplicates,
//! delays and reorders messages: no window may admit more than burst + rate x
//! window.

mod fleet;

use std::time::Duration;

use fleet::FakeFleet;
use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Step of the fuzzer.
#[derive(Clone, Debug)]
enum Step {
    /// One daemon receives requests.
    Take { daemon: usize, count: u8 },
    /// Time passes, in milliseconds.
    Advance(u64),
    /// A link between two daemons starts to lose all messages in one direction,
    /// or works again.
    Cut { from: usize, to: usize, cut: bool },
    /// A daemon pauses for a time while its clock goes on.
    Pause { daemon: usize, millis: u64 },
    /// A daemon restarts and loses all its state.
    Restart(usize),
    /// The VM list marks a daemon as dead, or as live again.
    SetLive { daemon: usize, live: bool },
    /// One daemon applies the newest VM list.
    UpdateMap(usize),
    /// The VM list marks a daemon as dead or live, and only one daemon applies
    /// the list at first.
    SetLiveLate {
        daemon: usize,
        live: bool,
        first: usize,
    },
    /// All daemons apply the newest VM list.
    UpdateAllMaps,
    /// Every daemon receives five times the rate for some seconds, which spends
    /// any token that was refilled twice.
    Flood(u64),
    /// The network duplicates, loses and delays more messages, or fewer.
    NetworkFaults {
        duplicate_percent: u8,
        loss_percent: u8,
        delay_ms: u64,
    },
}

/// Number of daemons of the fleet.
const DAEMONS: usize = 7;
/// Rate of the account, in requests per second.
const RATE: u64 = 20;

/// Empty reference state: the simulated fleet itself checks the admissions.
#[derive(Clone, Debug)]
struct NoReference;

impl ReferenceStateMachine for NoReference {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let daemon = 0..DAEMONS;
        prop_oneof![
            12 => (daemon.clone(), 1..12_u8).prop_map(|(daemon, count)| Step::Take { daemon, count }),
            8 => (1..500_u64).prop_map(Step::Advance),
            2 => (1_000..8_000_u64).prop_map(Step::Advance),
            2 => (daemon.clone(), daemon.clone(), any::<bool>())
                .prop_map(|(from, to, cut)| Step::Cut { from, to, cut }),
            1 => (daemon.clone(), 100..9_000_u64)
                .prop_map(|(daemon, millis)| Step::Pause { daemon, millis }),
            1 => daemon.clone().prop_map(Step::Restart),
            1 => (daemon.clone(), any::<bool>()).prop_map(|(daemon, live)| Step::SetLive { daemon, live }),
            3 => daemon.clone().prop_map(Step::UpdateMap),
            2 => (daemon.clone(), any::<bool>(), daemon)
                .prop_map(|(daemon, live, first)| Step::SetLiveLate { daemon, live, first }),
            1 => Just(Step::UpdateAllMaps),
            1 => (1..3_u64).prop_map(Step::Flood),
            1 => (0..60_u8, 0..60_u8, 0..700_u64).prop_map(|(duplicate_percent, loss_percent, delay_ms)| {
                Step::NetworkFaults { duplicate_percent, loss_percent, delay_ms }
            }),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Step) -> Self {
        state
    }
}

/// Sends five times the rate through all daemons in turn.
fn flood(fleet: &mut FakeFleet, seconds: u64) {
    for number in 0..seconds * 5 * RATE {
        fleet.take(number as usize % DAEMONS, 1);
        fleet.advance(Duration::from_micros(1_000_000 / (5 * RATE)));
    }
}

/// State machine test of the fleet.
struct LimitTest;

impl StateMachineTest for LimitTest {
    type SystemUnderTest = FakeFleet;
    type Reference = NoReference;

    fn init_test(_: &NoReference) -> FakeFleet {
        let mut fleet = FakeFleet::new(DAEMONS, 2, RATE, 10);
        fleet.advance(Duration::from_secs(8));
        fleet
    }

    fn apply(mut fleet: FakeFleet, _: &NoReference, step: Step) -> FakeFleet {
        match step {
            Step::Take { daemon, count } => fleet.take(daemon, count),
            Step::Advance(millis) => fleet.advance(Duration::from_millis(millis)),
            Step::Cut { from, to, cut } => fleet.set_cut(from, to, cut),
            Step::Pause { daemon, millis } => fleet.pause(daemon, Duration::from_millis(millis)),
            Step::Restart(daemon) => fleet.restart(daemon),
            Step::SetLive { daemon, live } => fleet.set_live(daemon, live),
            Step::UpdateMap(daemon) => fleet.update_map(daemon),
            Step::SetLiveLate {
                daemon,
                live,
                first,
            } => {
                fleet.set_live(daemon, live);
                fleet.update_map(first);
            }
            Step::UpdateAllMaps => fleet.update_all_maps(),
            Step::Flood(seconds) => flood(&mut fleet, seconds),
            Step::NetworkFaults {
                duplicate_percent,
                loss_percent,
                delay_ms,
            } => fleet.set_network_faults(
                duplicate_percent,
                loss_percent,
                Duration::from_millis(delay_ms),
            ),
        }
        fleet
    }

    fn check_invariants(fleet: &FakeFleet, _: &NoReference) {
        fleet.assert_within_limit();
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 250,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_264),
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn fleet_within_limit(sequential 1..120 => LimitTest);
}
