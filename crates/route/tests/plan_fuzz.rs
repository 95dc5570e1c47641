//! Stateful fuzzing of the attempt plan against a simple oracle.

use std::{collections::BTreeMap, time::Duration};

use ids::MonoTime;
use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use route::{
    AttemptEnd, AttemptId, AttemptPlan, FailedOutcome, PlanAction, PlanEvent, PlanOptions,
    RetryBudget,
};

/// A step of the fuzzer; attempts are named by their place, and may not exist.
#[derive(Clone, Debug)]
enum Step {
    Start,
    Answered(u32),
    Ended(u32, AttemptEnd),
    NoServer(u32),
    Pass(u64),
    CallerDisconnected,
}

/// What the oracle keeps.
#[derive(Clone, Debug)]
struct Oracle {
    options: PlanOptions,
    now: MonoTime,
}

fn any_end() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        Just(AttemptEnd::Unavailable),
        Just(AttemptEnd::NoCapacity),
        Just(AttemptEnd::Unsent),
        Just(AttemptEnd::Lost),
        Just(AttemptEnd::Truncated),
    ]
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        let options = (any::<bool>(), any::<bool>(), prop::option::of(1..50_u64));
        options
            .prop_map(|(idempotent, replayable, hedge)| Self {
                options: PlanOptions {
                    idempotent,
                    replayable,
                    deadline: MonoTime::from_millis(200),
                    max_runs: None,
                    hedge_after: hedge.map(Duration::from_millis),
                },
                now: MonoTime::ZERO,
            })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            2 => Just(Step::Start),
            2 => (0..5_u32).prop_map(Step::Answered),
            6 => (0..5_u32, any_end()).prop_map(|(id, end)| Step::Ended(id, end)),
            1 => (0..5_u32).prop_map(Step::NoServer),
            4 => (1..120_u64).prop_map(Step::Pass),
            1 => Just(Step::CallerDisconnected),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        if let Step::Pass(millis) = step {
            state.now = state.now + Duration::from_millis(*millis);
        }
        state
    }
}

/// The plan, with what was seen of it.
struct Observed {
    plan: AttemptPlan,
    budget: RetryBudget,
    /// Attempts sent: `Some(true)` if it certainly did not run.
    attempts: BTreeMap<AttemptId, Option<bool>>,
    delivered: u32,
    failed: Option<FailedOutcome>,
    left: bool,
}

impl Observed {
    /// Whether an attempt that was sent may have run.
    fn may_have_run(&self) -> bool {
        self.attempts.values().any(|not_run| *not_run != Some(true))
    }

    /// Checks one action.
    fn check(&mut self, oracle: &Oracle, action: PlanAction) {
        match action {
            PlanAction::Send(id) => {
                assert!(
                    oracle.now < oracle.options.deadline,
                    "sent after the deadline"
                );
                assert!(self.outcomes() == 0 && !self.left, "sent after the outcome");
                let twice = self.may_have_run();
                assert!(
                    !twice || oracle.options.idempotent,
                    "a second dispatch of a request that must run at most once"
                );
                assert!(
                    self.attempts.is_empty() || oracle.options.replayable,
                    "a body that is gone was sent again"
                );
                assert!(
                    self.attempts.insert(id, None).is_none(),
                    "{id} was sent twice"
                );
            }
            PlanAction::Deliver(id) => {
                assert!(self.attempts.contains_key(&id));
                self.delivered += 1;
            }
            PlanAction::Fail(outcome) => {
                assert!(self.failed.is_none(), "two outcomes");
                let not_run = outcome == FailedOutcome::NotRun;
                assert_eq!(
                    not_run,
                    !self.may_have_run(),
                    "{outcome:?} {:?}",
                    self.attempts
                );
                self.failed = Some(outcome);
            }
            PlanAction::Cancel(id) => assert!(self.attempts.contains_key(&id)),
        }
    }

    /// Outcomes given so far.
    fn outcomes(&self) -> u32 {
        self.delivered + u32::from(self.failed.is_some())
    }
}

/// The test of the plan against the oracle.
struct PlanTest;

impl StateMachineTest for PlanTest {
    type SystemUnderTest = Observed;
    type Reference = Oracle;

    fn init_test(oracle: &Oracle) -> Observed {
        Observed {
            plan: AttemptPlan::new(oracle.options),
            budget: RetryBudget::new(),
            attempts: BTreeMap::new(),
            delivered: 0,
            failed: None,
            left: false,
        }
    }

    fn apply(mut observed: Observed, oracle: &Oracle, step: Step) -> Observed {
        let event = match step {
            Step::Start => PlanEvent::Start,
            Step::Answered(id) => PlanEvent::Answered(AttemptId(id)),
            Step::Ended(id, end) => {
                let open = observed
                    .attempts
                    .get_mut(&AttemptId(id))
                    .filter(|state| state.is_none());
                if let Some(state) = open {
                    *state = Some(end.is_not_run());
                }
                PlanEvent::Ended(AttemptId(id), end)
            }
            Step::NoServer(id) => {
                let open = observed
                    .attempts
                    .get_mut(&AttemptId(id))
                    .filter(|state| state.is_none());
                if let Some(state) = open {
                    *state = Some(true);
                }
                PlanEvent::NoServer(AttemptId(id))
            }
            Step::Pass(_) => PlanEvent::Tick,
            Step::CallerDisconnected => PlanEvent::CallerDisconnected,
        };
        observed.left |= event == PlanEvent::CallerDisconnected;
        for action in observed.plan.handle(oracle.now, event, &observed.budget) {
            observed.check(oracle, action);
        }
        observed
    }

    fn check_invariants(observed: &Observed, _: &Oracle) {
        assert!(observed.outcomes() <= 1, "more than one outcome");
        assert_eq!(
            observed.plan.is_done(),
            observed.outcomes() == 1 || observed.left
        );
        assert!(observed.attempts.len() <= 4, "too many attempts");
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_262),
        ..ProptestConfig::default()
    })]

    #[test]
    fn plan_against_oracle(sequential 1..30 => PlanTest);
}
