//! Several limit machines joined by a queue that loses, duplicates, delays
//! and reorders: no window ever admits more than burst + rate x window.

mod fleet;

use std::time::Duration;

use fleet::FakeFleet;
use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// A step of the fuzzer.
#[derive(Clone, Debug)]
enum Step {
    /// Requests at one daemon.
    Take { daemon: usize, count: u8 },
    /// Time passes.
    Advance(u64),
    /// A link between two daemons loses all in one direction, or works again.
    Cut { from: usize, to: usize, cut: bool },
    /// A daemon stands still for a time; its clock goes on.
    Pause { daemon: usize, millis: u64 },
    /// A daemon loses all that it knew.
    Restart(usize),
    /// The VM list says that a daemon is dead, or live again.
    SetLive { daemon: usize, live: bool },
    /// One daemon takes in the newest VM list.
    UpdateMap(usize),
    /// A daemon is dropped from the list, or put back, and just one daemon
    /// hears of it at first.
    SetLiveLate {
        daemon: usize,
        live: bool,
        first: usize,
    },
    /// All others take in the newest list.
    UpdateAllMaps,
    /// Far more requests than the rate, at every daemon, for a time: whatever
    /// is minted twice is then spent.
    Flood(u64),
    /// The network duplicates and delays more, or less.
    NetworkFaults {
        duplicate_percent: u8,
        loss_percent: u8,
        delay_ms: u64,
    },
}

/// Daemons of the fleet.
const DAEMONS: usize = 7;
/// Rate of the account.
const RATE: u64 = 20;

/// The oracle is the admission count in the fake fleet itself.
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

/// The test of the fleet.
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
