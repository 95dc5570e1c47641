//! The attempts of one request.

use std::{fmt, time::Duration};

use ids::MonoTime;

use crate::RetryBudget;

/// Most attempts of one request, whatever the budget holds.
const MAX_ATTEMPTS: u32 = 4;

/// Number of an attempt, from 0.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId(pub u32);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "attempt {}", self.0)
    }
}

/// What a plan is made for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanOptions {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request's body can be sent again.
    pub replayable: bool,
    /// When the caller's time is up.
    pub deadline: MonoTime,
    /// Most backend servers that may run it.
    pub max_runs: Option<u32>,
    /// Time after which an idempotent request is hedged.
    pub hedge_after: Option<Duration>,
}

/// How an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptEnd {
    /// Refused before dispatch by a server that is leaving or out of reach;
    /// another one can take it.
    Unavailable,
    /// Refused before dispatch because the pool has no room.
    NoCapacity,
    /// The backend server itself rejected it.
    Rejected,
    /// The connection was lost before anything was handed to it.
    Unsent,
    /// Lost after it may have been dispatched.
    Lost,
    /// The answer broke off before anything was passed on.
    Truncated,
    /// The backend server answered with an error of its own.
    Failed,
}

impl AttemptEnd {
    /// Whether it is certain that the backend server ran nothing.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::Unavailable | Self::NoCapacity | Self::Rejected | Self::Unsent => true,
            Self::Lost | Self::Truncated | Self::Failed => false,
        }
    }
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlanEvent {
    /// The request begins.
    Start,
    /// An attempt has an answer that can be delivered.
    Answered(AttemptId),
    /// An attempt ended without one.
    Ended(AttemptId, AttemptEnd),
    /// No backend server was found for an attempt.
    NoServer(AttemptId),
    /// Time has passed.
    Tick,
    /// The caller is gone.
    CallerDisconnected,
}

/// What a plan wants done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlanAction {
    /// Send an attempt to a backend server that had none yet.
    Send(AttemptId),
    /// Drop an attempt; its connection is closed.
    Cancel(AttemptId),
    /// Pass the answer of an attempt to the caller.
    Deliver(AttemptId),
    /// Tell the caller that there is no answer.
    Fail(FailedOutcome),
}

/// Outcome of a request without an answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailedOutcome {
    /// No backend server ran it.
    NotRun,
    /// A backend server may have run it; the connection was lost.
    Unknown,
    /// A backend server may have run it; the time was up.
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
    /// A plan that has not started.
    pub fn new(options: PlanOptions) -> Self {
        Self {
            options,
            attempts: Vec::with_capacity(2),
            hedge_at: None,
            done: false,
        }
    }

    /// Takes an event at `now` and returns what to do, in order.
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
            PlanEvent::NoServer(id) => self.give_up_attempt(id, &mut actions),
            // A process that slept past the deadline must not start stale
            // work, so the deadline goes before anything is sent.
            _ if now >= self.options.deadline => self.time_out(&mut actions),
            PlanEvent::Start => self.start(now, &mut actions),
            PlanEvent::Tick => self.hedge(now, budget, &mut actions),
        }
        actions
    }

    /// When [`PlanEvent::Tick`] is due.
    pub fn next_tick(&self) -> MonoTime {
        match self.hedge_at {
            Some(hedge) => hedge.min(self.options.deadline),
            None => self.options.deadline,
        }
    }

    /// Whether the request has its outcome.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Whether an attempt that ended so may be followed by another: the one
    /// place where this is decided.
    fn may_move(&self, now: MonoTime, end: AttemptEnd, budget: &RetryBudget) -> bool {
        let safe = self.options.idempotent || end.is_not_run();
        let in_time = now < self.options.deadline;
        let room = (self.attempts.len() as u32) < MAX_ATTEMPTS;
        match end {
            _ if !safe || !in_time || !room || !self.options.replayable => false,
            // A pool that sheds gets no retry.
            AttemptEnd::NoCapacity => false,
            AttemptEnd::Unavailable | AttemptEnd::Unsent => true,
            // It reached a server, which is what the budget counts.
            AttemptEnd::Rejected => budget.withdraw(),
            _ if !self.may_run_again() => false,
            AttemptEnd::Lost | AttemptEnd::Truncated | AttemptEnd::Failed => budget.withdraw(),
        }
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

    /// Sends a second attempt beside a slow first one.
    fn hedge(&mut self, now: MonoTime, budget: &RetryBudget, actions: &mut Vec<PlanAction>) {
        match self.hedge_at {
            Some(due) if due <= now => self.hedge_at = None,
            _ => return,
        }
        if self.open_count() == 1 && self.may_run_again() && budget.withdraw() {
            self.send(actions);
        }
    }

    /// Passes on an answer and drops the other attempts.
    fn deliver(&mut self, id: AttemptId, actions: &mut Vec<PlanAction>) {
        match self.state_mut(id) {
            Some(state) if *state == AttemptState::Open => *state = AttemptState::MaybeRun,
            _ => return,
        }
        actions.push(PlanAction::Deliver(id));
        self.cancel_open(actions);
    }

    /// Notes the end of an attempt and goes on or gives up.
    fn end_attempt(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        end: AttemptEnd,
        budget: &RetryBudget,
        actions: &mut Vec<PlanAction>,
    ) {
        let after = match end.is_not_run() {
            true => AttemptState::NotRun,
            false => AttemptState::MaybeRun,
        };
        match self.state_mut(id) {
            Some(state) if *state == AttemptState::Open => *state = after,
            _ => return,
        }
        match self.open_count() {
            0 if self.may_move(now, end, budget) => self.send(actions),
            0 => self.fail(FailedOutcome::Unknown, actions),
            _ => {}
        }
    }

    /// Takes back an attempt that had nowhere to go.
    fn give_up_attempt(&mut self, id: AttemptId, actions: &mut Vec<PlanAction>) {
        match self.state_mut(id) {
            Some(state) if *state == AttemptState::Open => *state = AttemptState::NotRun,
            _ => return,
        }
        if self.open_count() == 0 {
            self.fail(FailedOutcome::Unknown, actions);
        }
    }

    /// Ends the request at its deadline.
    fn time_out(&mut self, actions: &mut Vec<PlanAction>) {
        self.cancel_open(actions);
        self.fail(FailedOutcome::UnknownTimeout, actions);
    }

    /// Ends the request without an answer: not-run if no attempt may have
    /// run, else `otherwise`.
    fn fail(&mut self, otherwise: FailedOutcome, actions: &mut Vec<PlanAction>) {
        let not_run = |state: &AttemptState| *state == AttemptState::NotRun;
        let outcome = match self.attempts.iter().all(not_run) {
            true => FailedOutcome::NotRun,
            false => otherwise,
        };
        self.done = true;
        actions.push(PlanAction::Fail(outcome));
    }

    /// Drops all open attempts and ends.
    fn cancel_open(&mut self, actions: &mut Vec<PlanAction>) {
        for (place, state) in self.attempts.iter_mut().enumerate() {
            if *state == AttemptState::Open {
                *state = AttemptState::MaybeRun;
                actions.push(PlanAction::Cancel(AttemptId(place as u32)));
            }
        }
        self.done = true;
    }

    /// Number of attempts without an end.
    fn open_count(&self) -> usize {
        let open = |state: &&AttemptState| **state == AttemptState::Open;
        self.attempts.iter().filter(open).count()
    }

    /// State of an attempt that was sent.
    fn state_mut(&mut self, id: AttemptId) -> Option<&mut AttemptState> {
        self.attempts.get_mut(id.0 as usize)
    }
}
