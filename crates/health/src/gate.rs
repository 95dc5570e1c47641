//! Gate of the egress in front of a backend server: decides which requests the
//! server receives while it appears to be failing.
//!
//! The egress on the server's own VM decides, because it is the first to see
//! the outcomes of all of the server's traffic.
//!
//! The gate is a circuit breaker with half-open trials, driven by the odds that
//! the server is failing instead of a count of errors. One lost connection is
//! strong evidence and closes the gate at once; one error does not. While the
//! gate is closed, idempotent requests are sent to the server as trials, one at
//! a time, and other requests go to another server without having been sent.
//!
//! A closed gate blocks requests, whereas a circuit breaker that blocks them is
//! usually called open.

use std::time::Duration;

use ids::MonoTime;

/// Log-odds that a server is failing without any evidence: one in twenty.
const PRIOR_LOG_ODDS: f64 = -3.0;
/// Bounds of the log-odds, so that accumulated old evidence does not outweigh
/// the newest.
const MIN_LOG_ODDS: f64 = -4.0;
const MAX_LOG_ODDS: f64 = 3.5;
/// Time constant of the exponential decay of evidence. Episodes of failing
/// usually last seconds.
const EVIDENCE_DECAY: Duration = Duration::from_secs(4);
/// Log-odds at and above which the gate is closed.
const CLOSE_LOG_ODDS: f64 = 0.0;
/// First and longest time between trials. The time doubles with each failed
/// trial.
const FIRST_TRIAL_DELAY: Duration = Duration::from_millis(150);
const MAX_TRIAL_DELAY: Duration = Duration::from_millis(900);
/// Time without outcomes after which a server is considered healthy again even
/// if no good answer has come since the gate closed. It is longer than usual
/// episodes of failing.
const UNPROVEN_TIMEOUT: Duration = Duration::from_secs(8);
/// Time without a trial after which a request that is not idempotent is sent as
/// one, because a service may have no idempotent requests. A trial that has not
/// ended within this time is considered lost.
const MAX_TRIAL_WAIT: Duration = Duration::from_millis(2_500);

/// Outcome of a request that was sent to a server.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// A good answer within the slow limit.
    Good,
    /// An error that the server itself caused.
    Error,
    /// The connection was lost before an answer.
    Lost,
    /// The answer ended early, or did not belong to the request.
    Broken,
    /// The server rejected the request without running it. This is a statement
    /// about its capacity and no evidence that it is failing; see
    /// [`RejectionShare`](crate::RejectionShare).
    Rejected,
    /// No answer within the slow limit.
    Overdue,
    /// No answer within [`STUCK_FACTOR`](crate::STUCK_FACTOR) times the slow
    /// limit.
    Stuck,
}

impl Outcome {
    /// Log-likelihood ratio of this outcome, in nats, for a failing server
    /// against a healthy one.
    fn log_likelihood_ratio(self) -> f64 {
        match self {
            Self::Good => -0.9,
            Self::Error => 3.0,
            Self::Lost => 5.0,
            Self::Broken => 2.5,
            Self::Rejected => 0.0,
            Self::Overdue => 1.5,
            Self::Stuck => 2.5,
        }
    }
}

/// Decision on a request for the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDecision {
    /// The gate is open and the request may be sent.
    Open,
    /// The gate is closed, but the request may be sent as the one trial. The
    /// caller has to call [`ServerGate::end_trial`] when it has ended.
    Trial,
    /// The gate is closed and the request must go to another server.
    Closed,
}

/// Circuit breaker in front of one backend server.
#[derive(Clone, Debug)]
pub struct ServerGate {
    recorded_log_odds: f64,
    last_recorded: MonoTime,
    /// Start of the trial that is in progress.
    trial_since: Option<MonoTime>,
    /// Whether no good answer has come since the gate closed.
    awaits_success: bool,
    /// End of the latest trial, or the time when the gate closed.
    last_trial: MonoTime,
    trial_delay: Duration,
    /// Time when the gate last closed.
    closed_at: MonoTime,
}

impl Default for ServerGate {
    fn default() -> Self {
        Self {
            recorded_log_odds: PRIOR_LOG_ODDS,
            last_recorded: MonoTime::ZERO,
            trial_since: None,
            awaits_success: false,
            last_trial: MonoTime::ZERO,
            trial_delay: FIRST_TRIAL_DELAY,
            closed_at: MonoTime::ZERO,
        }
    }
}

impl ServerGate {
    /// Returns the log-odds at `now` that the server is failing.
    pub fn log_odds(&self, now: MonoTime) -> f64 {
        let decay_times =
            now.since(self.last_recorded).as_secs_f64() / EVIDENCE_DECAY.as_secs_f64();
        PRIOR_LOG_ODDS + (self.recorded_log_odds - PRIOR_LOG_ODDS) * (-decay_times).exp()
    }

    /// Whether requests other than trials are blocked.
    pub fn is_closed(&self, now: MonoTime) -> bool {
        let awaits_success =
            self.awaits_success && now.since(self.last_recorded) < UNPROVEN_TIMEOUT;
        awaits_success || self.log_odds(now) >= CLOSE_LOG_ODDS
    }

    /// Records an outcome.
    pub fn record(&mut self, now: MonoTime, outcome: Outcome) {
        if outcome == Outcome::Rejected {
            return;
        }
        let was_closed = self.is_closed(now);
        self.recorded_log_odds =
            (self.log_odds(now) + outcome.log_likelihood_ratio()).clamp(MIN_LOG_ODDS, MAX_LOG_ODDS);
        self.last_recorded = now;
        if outcome == Outcome::Good {
            self.awaits_success = false;
        }
        match self.is_closed(now) {
            true if !was_closed => {
                self.awaits_success = true;
                self.last_trial = now;
                self.closed_at = now;
                self.trial_delay = FIRST_TRIAL_DELAY;
            }
            true => {}
            false => self.trial_delay = FIRST_TRIAL_DELAY,
        }
    }

    /// Records a good answer to a request that was sent at `sent`. It is ignored
    /// if the request was sent before the gate closed, because it does not show
    /// that the server has recovered.
    pub fn record_good(&mut self, now: MonoTime, sent: MonoTime) {
        if !self.is_closed(now) || sent >= self.closed_at {
            self.record(now, Outcome::Good);
        }
    }

    /// Decides whether a request may be sent, and begins a trial if it is sent
    /// as one. `idempotent` tells whether the request may run twice.
    pub fn decide(&mut self, now: MonoTime, idempotent: bool) -> GateDecision {
        let waited = now.since(self.last_trial);
        match self.trial_since {
            _ if !self.is_closed(now) => GateDecision::Open,
            Some(began) if now.since(began) < MAX_TRIAL_WAIT => GateDecision::Closed,
            _ if idempotent && waited >= self.trial_delay => self.begin_trial(now),
            _ if waited >= MAX_TRIAL_WAIT => self.begin_trial(now),
            _ => GateDecision::Closed,
        }
    }

    /// Ends the trial in progress. Its outcome, if there is one, has been
    /// recorded before.
    pub fn end_trial(&mut self, now: MonoTime, good: bool) {
        self.trial_since = None;
        self.last_trial = now;
        self.trial_delay = match good {
            true => FIRST_TRIAL_DELAY / 4,
            false => (self.trial_delay * 2).min(MAX_TRIAL_DELAY),
        };
    }

    /// Ends the trial in progress, which has shown nothing about the server. The time
    /// until the next one is unchanged.
    pub fn abandon_trial(&mut self, now: MonoTime) {
        self.trial_since = None;
        self.last_trial = now;
    }

    /// Begins a trial and returns the decision for its request.
    fn begin_trial(&mut self, now: MonoTime) -> GateDecision {
        self.trial_since = Some(now);
        GateDecision::Trial
    }
}
