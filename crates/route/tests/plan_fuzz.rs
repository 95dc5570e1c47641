//! Stateful fuzzing of the attempt plan against a simple model.

use std::{collections::BTreeMap, time::Duration};

use ids::MonoTime;
use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use route::{
    AttemptEnd, AttemptId, AttemptPlan, FailedOutcome, PlanAction, PlanEvent, PlanOptions,
    RetryBudget,
};

/// Transition that the fuzzer generates. Attempts are given by their number, and
/// may not exist.
#[derive(Clone, Debug)]
enum Step {
    Start,
    Answered(u32),
    Ended(u32, AttemptEnd),
    NoServer(u32),
    Stalled(u32),
    Pass(u64),
    CallerDisconnected,
}

/// State of the model that the plan is checked against.
#[derive(Clone, Debug)]
struct PlanModel {
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

impl ReferenceStateMachine for PlanModel {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        let options = (any::<bool>(), any::<bool>(), prop::option::of(1..50_u64));
        options
            .prop_map(|(idempotent, replayable, hedge)| Self {
                options: PlanOptions {
                    idempotent,
                    replayable,
                    rank: ids::Rank(0),
                    target: MonoTime::from_millis(200),
                    deadline: MonoTime::from_millis(200),
                    expected_work: Duration::ZERO,
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
            2 => (0..5_u32).prop_map(Step::Stalled),
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

/// The plan under test, and its attempts and outcomes as seen in its actions.
struct Observed {
    plan: AttemptPlan,
    budget: RetryBudget,
    /// Attempts sent. The value is `None` while the attempt is open, then whether
    /// it is certain that it was not run.
    attempts: BTreeMap<AttemptId, Option<bool>>,
    delivered: u32,
    failed: Option<FailedOutcome>,
    disconnected: bool,
}

impl Observed {
    /// Whether any attempt that was sent may have been run.
    fn may_have_run(&self) -> bool {
        self.attempts.values().any(|not_run| *not_run != Some(true))
    }

    /// Checks one action against the model and the actions before it.
    fn check(&mut self, model: &PlanModel, action: PlanAction) {
        match action {
            PlanAction::Send(id) => {
                assert!(
                    model.now < model.options.deadline,
                    "sent after the deadline"
                );
                assert!(
                    self.outcomes() == 0 && !self.disconnected,
                    "sent after the outcome or after the caller disconnected"
                );
                let may_have_run = self.may_have_run();
                assert!(
                    !may_have_run || model.options.idempotent,
                    "sent again although the request must run at most once"
                );
                assert!(
                    self.attempts.is_empty() || model.options.replayable,
                    "sent again although the body can't be replayed"
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
                assert!(self.failed.is_none(), "failed twice");
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

    /// Number of outcomes so far, which are answers and failures.
    fn outcomes(&self) -> u32 {
        self.delivered + u32::from(self.failed.is_some())
    }
}

/// Compares the plan with the model.
struct PlanTest;

impl StateMachineTest for PlanTest {
    type SystemUnderTest = Observed;
    type Reference = PlanModel;

    fn init_test(model: &PlanModel) -> Observed {
        Observed {
            plan: AttemptPlan::new(model.options),
            budget: RetryBudget::new(),
            attempts: BTreeMap::new(),
            delivered: 0,
            failed: None,
            disconnected: false,
        }
    }

    fn apply(mut observed: Observed, model: &PlanModel, step: Step) -> Observed {
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
            Step::Stalled(id) => PlanEvent::Stalled(AttemptId(id)),
            Step::Pass(_) => PlanEvent::Tick,
            Step::CallerDisconnected => PlanEvent::CallerDisconnected,
        };
        observed.disconnected |= event == PlanEvent::CallerDisconnected;
        for action in observed.plan.handle(model.now, event, &observed.budget) {
            observed.check(model, action);
        }
        observed
    }

    fn check_invariants(observed: &Observed, _: &PlanModel) {
        assert!(observed.outcomes() <= 1, "more than one outcome");
        assert_eq!(
            observed.plan.is_done(),
            observed.outcomes() == 1 || observed.disconnected
        );
        assert!(observed.attempts.len() <= 4, "more than 4 attempts");
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
    fn plan_matches_model(sequential 1..30 => PlanTest);
}
