//! Retries, hedging and deadline of one request.

use std::{fmt, time::Duration};

use ids::{MonoTime, Rank};

use crate::{RetryBudget, RetryUrgency};

/// Maximum number of attempts of one request, whatever the retry budget holds.
const MAX_ATTEMPTS: u32 = 4;

/// Number of an attempt within its request, from 0.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId(pub u32);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "attempt {}", self.0)
    }
}

/// Properties of the request that a plan is made for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanOptions {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the body of the request can be sent again.
    pub replayable: bool,
    /// Rank among the requests that wait for a slot.
    pub rank: Rank,
    /// Time of the target latency; a later answer is worth less to the caller.
    pub target: MonoTime,
    /// Time at which the caller gives up.
    pub deadline: MonoTime,
    /// Time that a backend server usually needs for a request; zero while unknown.
    pub expected_work: Duration,
    /// Maximum number of backend servers that may run the request.
    pub max_runs: Option<u32>,
    /// Time after which an idempotent request is hedged.
    pub hedge_after: Option<Duration>,
}

/// How an attempt ended that has no complete answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptEnd {
    /// It was refused before dispatch because the backend server is draining or
    /// unreachable. Another one can take it.
    Unavailable,
    /// It was refused before dispatch because the pool has no capacity for it.
    NoCapacity,
    /// The backend server itself rejected it without running it.
    Rejected,
    /// The connection was lost before anything of the request was sent.
    Unsent,
    /// The connection was lost after the request may have been dispatched.
    Lost,
    /// The answer broke off before any of it was passed on to the caller.
    Truncated,
    /// The backend server answered with an error.
    Failed,
}

impl AttemptEnd {
    /// Whether it is certain that the backend server did not run the request.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::Unavailable | Self::NoCapacity | Self::Rejected | Self::Unsent => true,
            Self::Lost | Self::Truncated | Self::Failed => false,
        }
    }
}

/// Input of a plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlanEvent {
    /// The request starts.
    Start,
    /// An attempt has an answer that can be delivered to the caller.
    Answered(AttemptId),
    /// An attempt ended without an answer.
    Ended(AttemptId, AttemptEnd),
    /// No backend server was found for an attempt.
    NoServer(AttemptId),
    /// The daemon that runs an attempt has been silent for a while. The attempt
    /// goes on, since the daemon may answer yet.
    Stalled(AttemptId),
    /// Time has passed.
    Tick,
    /// The caller has disconnected.
    CallerDisconnected,
}

/// Output of a plan, an action that its owner must perform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlanAction {
    /// Sends an attempt to a backend server that has not received the request
    /// before.
    Send(AttemptId),
    /// Drops an attempt and closes its connection.
    Cancel(AttemptId),
    /// Passes the answer of an attempt to the caller.
    Deliver(AttemptId),
    /// Tells the caller that there is no answer.
    Fail(FailedOutcome),
}

/// Outcome of a request without an answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailedOutcome {
    /// No backend server ran it.
    NotRun,
    /// A backend server may have run it, and the connection was lost.
    Unknown,
    /// A backend server may have run it, and the deadline passed.
    UnknownTimeout,
}

/// State of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptState {
    Open,
    NotRun,
    MaybeRun,
}

/// State machine of the attempts of one request.
#[derive(Clone, Debug)]
pub struct AttemptPlan {
    options: PlanOptions,
    attempts: Vec<AttemptState>,
    hedge_at: Option<MonoTime>,
    done: bool,
}

impl AttemptPlan {
    /// Creates a plan that has not started.
    pub fn new(options: PlanOptions) -> Self {
        Self {
            options,
            attempts: Vec::with_capacity(2),
            hedge_at: None,
            done: false,
        }
    }

    /// Handles an event that happens at `now`. Returns the actions to perform, in
    /// order.
    pub fn handle(
        &mut self,
        now: MonoTime,
        event: PlanEvent,
        budget: &RetryBudget,
    ) -> Vec<PlanAction> {
        let mut actions = Vec::new();
        match event {
            _ if self.done => {}
            PlanEvent::CallerDisconnected => self.cancel_open(&mut actions),
            PlanEvent::Answered(id) => self.deliver(id, &mut actions),
            PlanEvent::Ended(id, end) => self.end_attempt(now, id, end, budget, &mut actions),
            PlanEvent::NoServer(id) => self.abandon_attempt(id, &mut actions),
            // A process that was suspended past the deadline must not start
            // work that nobody waits for, so the deadline is checked before
            // anything is sent.
            _ if now >= self.options.deadline => self.time_out(&mut actions),
            PlanEvent::Start => self.start(now, &mut actions),
            PlanEvent::Stalled(id) => self.replace_stalled(now, id, budget, &mut actions),
            PlanEvent::Tick => self.hedge(now, budget, &mut actions),
        }
        actions
    }

    /// Time at which [`PlanEvent::Tick`] is due.
    pub fn next_tick(&self) -> MonoTime {
        match self.hedge_at {
            Some(hedge) => hedge.min(self.options.deadline),
            None => self.options.deadline,
        }
    }

    /// Number of attempts so far.
    pub fn attempts_made(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Whether the request has an outcome or its caller has disconnected.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Whether another attempt may follow one that ended with `end`. No other
    /// code decides this.
    fn may_retry(&self, now: MonoTime, end: AttemptEnd, budget: &RetryBudget) -> bool {
        let is_safe = self.options.idempotent || end.is_not_run();
        let is_in_time = now < self.options.deadline;
        let is_below_limit = (self.attempts.len() as u32) < MAX_ATTEMPTS;
        match end {
            _ if !is_safe || !is_in_time || !is_below_limit || !self.options.replayable => false,
            // A retry would add load to a pool that refuses requests.
            AttemptEnd::NoCapacity => false,
            AttemptEnd::Unavailable | AttemptEnd::Unsent => true,
            // Half of the usual time is often enough, but less would spend the budget
            // on an answer that comes after the deadline.
            AttemptEnd::Rejected
                if now + self.options.expected_work / 2 >= self.options.deadline =>
            {
                false
            }
            // The request reached a backend server, so a retry adds load and the
            // budget counts it.
            AttemptEnd::Rejected => budget.withdraw(self.urgency(now)),
            _ if !self.may_run_again() => false,
            AttemptEnd::Lost | AttemptEnd::Truncated | AttemptEnd::Failed => {
                budget.withdraw(self.urgency(now))
            }
        }
    }

    /// Returns the urgency of a retry at `now`.
    fn urgency(&self, now: MonoTime) -> RetryUrgency {
        let late = now + self.options.expected_work > self.options.target;
        RetryUrgency::new(self.options.rank, late)
    }

    /// Whether one more backend server may run the request.
    fn may_run_again(&self) -> bool {
        let may_have_run = |state: &&AttemptState| **state != AttemptState::NotRun;
        let runs = self.attempts.iter().filter(may_have_run).count() as u32;
        self.options.max_runs.is_none_or(|most| runs < most)
    }

    /// Sends the first attempt.
    fn start(&mut self, now: MonoTime, actions: &mut Vec<PlanAction>) {
        if !self.attempts.is_empty() {
            return;
        }
        let hedged = self.options.idempotent && self.options.replayable;
        self.hedge_at = match self.options.hedge_after {
            Some(after) if hedged => Some(now + after),
            _ => None,
        };
        self.send(actions);
    }

    /// Sends another attempt.
    fn send(&mut self, actions: &mut Vec<PlanAction>) {
        let id = AttemptId(self.attempts.len() as u32);
        self.attempts.push(AttemptState::Open);
        actions.push(PlanAction::Send(id));
    }

    /// Sends a second attempt in parallel to a slow first one, if a hedge is due.
    fn hedge(&mut self, now: MonoTime, budget: &RetryBudget, actions: &mut Vec<PlanAction>) {
        match self.hedge_at {
            Some(due) if due <= now => self.hedge_at = None,
            _ => return,
        }
        self.send_beside(RetryUrgency::HEDGE, budget, actions);
    }

    /// Sends a second attempt in parallel to one whose daemon is silent.
    fn replace_stalled(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        budget: &RetryBudget,
        actions: &mut Vec<PlanAction>,
    ) {
        let is_open = self.attempts.get(id.0 as usize) == Some(&AttemptState::Open);
        if is_open && self.options.idempotent && self.options.replayable {
            self.send_beside(self.urgency(now), budget, actions);
        }
    }

    /// Sends a second attempt in parallel to the only open one, if the limits and
    /// the budget allow it.
    fn send_beside(
        &mut self,
        urgency: RetryUrgency,
        budget: &RetryBudget,
        actions: &mut Vec<PlanAction>,
    ) {
        let is_below_limit = (self.attempts.len() as u32) < MAX_ATTEMPTS;
        let is_alone = self.open_count() == 1;
        if is_alone && is_below_limit && self.may_run_again() && budget.withdraw(urgency) {
            self.send(actions);
        }
    }

    /// Delivers the answer of an attempt and drops the other attempts.
    fn deliver(&mut self, id: AttemptId, actions: &mut Vec<PlanAction>) {
        match self.state_mut(id) {
            Some(state) if *state == AttemptState::Open => *state = AttemptState::MaybeRun,
            _ => return,
        }
        actions.push(PlanAction::Deliver(id));
        self.cancel_open(actions);
    }

    /// Records the end of an attempt. If no other attempt is open, sends the next
    /// one or fails the request.
    fn end_attempt(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        end: AttemptEnd,
        budget: &RetryBudget,
        actions: &mut Vec<PlanAction>,
    ) {
        let ended = match end.is_not_run() {
            true => AttemptState::NotRun,
            false => AttemptState::MaybeRun,
        };
        match self.state_mut(id) {
            Some(state) if *state == AttemptState::Open => *state = ended,
            _ => return,
        }
        match self.open_count() {
            0 if self.may_retry(now, end, budget) => self.send(actions),
            0 => self.fail(FailedOutcome::Unknown, actions),
            _ => {}
        }
    }

    /// Ends an attempt for which there was no backend server.
    fn abandon_attempt(&mut self, id: AttemptId, actions: &mut Vec<PlanAction>) {
        match self.state_mut(id) {
            Some(state) if *state == AttemptState::Open => *state = AttemptState::NotRun,
            _ => return,
        }
        if self.open_count() == 0 {
            self.fail(FailedOutcome::Unknown, actions);
        }
    }

    /// Fails the request at its deadline.
    fn time_out(&mut self, actions: &mut Vec<PlanAction>) {
        self.cancel_open(actions);
        self.fail(FailedOutcome::UnknownTimeout, actions);
    }

    /// Fails the request. The outcome is [`FailedOutcome::NotRun`] if it is certain
    /// that no attempt was run, else `otherwise`.
    fn fail(&mut self, otherwise: FailedOutcome, actions: &mut Vec<PlanAction>) {
        let not_run = |state: &AttemptState| *state == AttemptState::NotRun;
        let outcome = match self.attempts.iter().all(not_run) {
            true => FailedOutcome::NotRun,
            false => otherwise,
        };
        self.done = true;
        actions.push(PlanAction::Fail(outcome));
    }

    /// Drops all open attempts and ends the request.
    fn cancel_open(&mut self, actions: &mut Vec<PlanAction>) {
        for (index, state) in self.attempts.iter_mut().enumerate() {
            if *state == AttemptState::Open {
                *state = AttemptState::MaybeRun;
                actions.push(PlanAction::Cancel(AttemptId(index as u32)));
            }
        }
        self.done = true;
    }

    /// Number of attempts that have not ended.
    fn open_count(&self) -> usize {
        let open = |state: &&AttemptState| **state == AttemptState::Open;
        self.attempts.iter().filter(open).count()
    }

    /// Returns the state of an attempt, if it was sent.
    fn state_mut(&mut self, id: AttemptId) -> Option<&mut AttemptState> {
        self.attempts.get_mut(id.0 as usize)
    }
}
