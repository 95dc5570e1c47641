//! Stateful fuzzing of the slot queue against a simple model.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use admit::{Job, JobId, QueueAction, QueueEvent, QueueLimits, SlotQueue, WorkKind};
use ids::{AccountId, MonoTime, Rank, Slots, Weight, WorkPriority};
use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Transition that the fuzzer generates.
#[derive(Clone, Debug)]
enum Step {
    Arrive {
        account: u8,
        internal: bool,
        bulk: bool,
        /// Time from the arrival until the target and the deadline of the job.
        timeout_ms: u64,
    },
    Finish(usize),
    Cancel(usize),
    Pass(u64),
    Drain,
    Resume,
    Backoff(u64),
    Resize(u32),
}

/// State of the model that the queue is checked against.
#[derive(Clone, Debug)]
struct QueueModel {
    now: MonoTime,
    slots: u32,
    arrived: u64,
    draining: bool,
    resume_at: MonoTime,
}

impl ReferenceStateMachine for QueueModel {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        (1..6_u32)
            .prop_map(|slots| Self {
                now: MonoTime::from_millis(1_000),
                slots,
                arrived: 0,
                draining: false,
                resume_at: MonoTime::ZERO,
            })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            12 => (0..4_u8, any::<bool>(), prop::bool::weighted(0.2), 1..400_u64).prop_map(
                |(account, internal, bulk, timeout_ms)| Step::Arrive {
                    account,
                    internal,
                    bulk,
                    timeout_ms,
                }
            ),
            8 => (0..64_usize).prop_map(Step::Finish),
            2 => (0..64_usize).prop_map(Step::Cancel),
            4 => (1..50_u64).prop_map(Step::Pass),
            1 => (1_000..60_000_u64).prop_map(Step::Pass),
            1 => Just(Step::Drain),
            1 => Just(Step::Resume),
            1 => (1..200_u64).prop_map(Step::Backoff),
            1 => (1..6_u32).prop_map(Step::Resize),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Arrive { .. } => state.arrived += 1,
            Step::Pass(millis) => state.now = state.now + Duration::from_millis(*millis),
            Step::Drain => state.draining = true,
            Step::Resume => state.draining = false,
            Step::Backoff(millis) => {
                let until = state.now + Duration::from_millis(*millis);
                state.resume_at = state.resume_at.max(until);
            }
            Step::Resize(slots) => state.slots = *slots,
            Step::Finish(_) | Step::Cancel(_) => {}
        }
        state
    }
}

/// The queue under test, and the state of each job as seen in its actions.
struct Observed {
    queue: SlotQueue,
    jobs: BTreeMap<JobId, Job>,
    waiting: BTreeSet<JobId>,
    running: BTreeSet<JobId>,
    ended: BTreeSet<JobId>,
}

impl Observed {
    /// Passes an event to the queue and checks each action against the model.
    fn step(&mut self, model: &QueueModel, event: QueueEvent) {
        let before = self.running.len();
        let actions = self.queue.handle(model.now, event);
        let mut dispatched_internal = false;
        let mut dispatched = 0;
        for action in actions {
            match action {
                QueueAction::Dispatch(id) => {
                    let job = &self.jobs[&id];
                    assert!(
                        self.waiting.remove(&id),
                        "{id} was dispatched but was not waiting"
                    );
                    assert!(
                        job.deadline > model.now,
                        "{id} was dispatched after its deadline"
                    );
                    assert!(!model.draining, "{id} was dispatched while draining");
                    assert!(
                        model.now >= model.resume_at,
                        "{id} was dispatched during a backoff"
                    );
                    dispatched_internal |= job.internal;
                    dispatched += 1;
                    self.running.insert(id);
                }
                QueueAction::Refuse(id, _) => {
                    assert!(
                        self.waiting.remove(&id),
                        "{id} was refused but was not waiting"
                    );
                    assert!(
                        !self.running.contains(&id),
                        "{id} was refused while it was running"
                    );
                    assert!(self.ended.insert(id), "{id} has two outcomes");
                }
            }
        }
        let most = (model.slots as usize).max(before);
        assert!(
            self.running.len() <= most,
            "{} jobs run, the limit is {most}",
            self.running.len()
        );
        assert!(dispatched == 0 || self.running.len() <= model.slots as usize);
        self.check_priority(model, dispatched_internal);
    }

    /// Checks that customers' short requests wait only if all slots are taken or
    /// nothing may be dispatched, and never behind internal work.
    fn check_priority(&self, model: &QueueModel, dispatched_internal: bool) {
        let open = !model.draining && model.now >= model.resume_at;
        let full = self.running.len() >= model.slots as usize;
        let is_short = |id: &&JobId| !self.jobs[*id].internal && !self.jobs[*id].bulk;
        let short_waiting = self.waiting.iter().filter(is_short).count();
        assert!(
            short_waiting == 0 || full || !open,
            "a customer's request waits although a slot is free"
        );
        assert!(
            short_waiting == 0 || !dispatched_internal,
            "internal work was dispatched while a customer's request waited"
        );
        let limit = QueueLimits::for_slots(Slots(model.slots)).waiting;
        assert!(
            self.waiting.len() <= limit,
            "{} jobs wait, the limit is {limit}",
            self.waiting.len()
        );
    }
}

/// Compares the queue with the model.
struct QueueTest;

impl StateMachineTest for QueueTest {
    type SystemUnderTest = Observed;
    type Reference = QueueModel;

    fn init_test(model: &QueueModel) -> Observed {
        Observed {
            queue: SlotQueue::new(QueueLimits::for_slots(Slots(model.slots))),
            jobs: BTreeMap::new(),
            waiting: BTreeSet::new(),
            running: BTreeSet::new(),
            ended: BTreeSet::new(),
        }
    }

    fn apply(mut observed: Observed, model: &QueueModel, step: Step) -> Observed {
        let event = match step {
            Step::Arrive {
                account,
                internal,
                bulk,
                timeout_ms,
            } => {
                let job = Job {
                    id: JobId(model.arrived),
                    rank: Rank(0),
                    work_priority: WorkPriority(0),
                    account: Some(format!("account-{account}").parse::<AccountId>().unwrap()),
                    internal,
                    kind: WorkKind::UNKNOWN,
                    first_offer: true,
                    idempotent: true,
                    bulk,
                    weight: Weight(1 + u32::from(account % 2)),
                    target: model.now + Duration::from_millis(timeout_ms),
                    deadline: model.now + Duration::from_millis(timeout_ms),
                };
                observed.jobs.insert(job.id, job.clone());
                observed.waiting.insert(job.id);
                QueueEvent::Arrive(job)
            }
            Step::Finish(place) => {
                let Some(id) = observed.running.iter().nth(place).copied() else {
                    return observed;
                };
                observed.running.remove(&id);
                observed.ended.insert(id);
                QueueEvent::Finish(id)
            }
            Step::Cancel(place) => {
                let Some(id) = observed.waiting.iter().nth(place).copied() else {
                    return observed;
                };
                observed.waiting.remove(&id);
                observed.ended.insert(id);
                QueueEvent::Cancel(id)
            }
            Step::Pass(_) => QueueEvent::Tick,
            Step::Drain => QueueEvent::Drain,
            Step::Resume => QueueEvent::Resume,
            Step::Backoff(millis) => QueueEvent::Backoff(Duration::from_millis(millis)),
            Step::Resize(slots) => QueueEvent::Resize(Slots(slots)),
        };
        observed.step(model, event);
        observed
    }

    fn check_invariants(observed: &Observed, model: &QueueModel) {
        let report = observed.queue.report(model.now);
        assert_eq!(report.running as usize, observed.running.len());
        assert_eq!(report.waiting as usize, observed.waiting.len());
        let next_tick = observed.queue.next_tick();
        assert_eq!(next_tick.is_none(), observed.waiting.is_empty());
        assert!(
            next_tick.is_none_or(|tick| tick > model.now),
            "a tick that is due now would make the caller spin"
        );
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261),
        ..ProptestConfig::default()
    })]

    #[test]
    fn queue_matches_model(sequential 1..120 => QueueTest);
}
