//! What a backend server may be sent, by what it did lately: the decision of
//! the egress beside it, which sees all of its traffic first.
//!
//! Pattern: circuit breaker with half-open trials, driven by the odds that
//! the server is failing rather than by a count of errors. One lost
//! connection is strong evidence and closes the gate at once; one error is
//! not. While the gate is closed, requests that may run twice try the server
//! one at a time, and others go elsewhere without having been sent.

use std::time::Duration;

use ids::MonoTime;

/// Log-odds that a server fails when nothing is known: one in twenty.
const PRIOR: f64 = -3.0;
/// Bounds of the log-odds: evidence of long ago must not outweigh the newest.
const LEAST: f64 = -4.0;
const MOST: f64 = 3.5;
/// Time constant with which evidence is forgotten; episodes last seconds.
const FORGET: Duration = Duration::from_secs(4);
/// Log-odds from which the gate is closed.
const CLOSED_FROM: f64 = 0.0;
/// Time between trials, first and longest; it doubles with each failed one.
const TRIAL_GAP: Duration = Duration::from_millis(150);
const MAX_TRIAL_GAP: Duration = Duration::from_millis(900);
/// Time after which a server that was never tried again is taken for healthy:
/// longer than the episodes of failing that are usual.
const UNTRIED_FOR: Duration = Duration::from_secs(8);
/// Time without any trial after which a request that must not run twice is
/// let through as one: a service may have no other requests.
const LONELY_AFTER: Duration = Duration::from_millis(2_500);

/// What became of a request at a server.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// A good answer in the usual time.
    Good,
    /// An error of the server's own.
    Error,
    /// The connection was lost without an answer.
    Lost,
    /// The answer broke off, or was no answer.
    Broken,
    /// Rejected although the server should have had a slot.
    Rejected,
    /// No answer yet after the slow limit.
    Overdue,
    /// No answer yet after many times the slow limit.
    Stuck,
}

impl Outcome {
    /// Log-likelihood ratio of a failing server against a healthy one.
    fn nats(self) -> f64 {
        match self {
            Self::Good => -0.9,
            Self::Error => 3.0,
            Self::Lost => 5.0,
            Self::Broken => 2.5,
            Self::Rejected => 3.0,
            Self::Overdue => 1.5,
            Self::Stuck => 2.5,
        }
    }
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDecision {
    /// The server is taken for healthy.
    Open,
    /// It may go as the one trial; its end has to be told.
    Trial,
    /// It must go elsewhere.
    Closed,
}

/// Gate in front of one backend server.
#[derive(Clone, Debug)]
pub struct ServerGate {
    odds: f64,
    noted: MonoTime,
    /// When the trial under way began.
    trial: Option<MonoTime>,
    /// Whether no good answer came since the gate closed.
    unproved: bool,
    /// End of the latest trial, or when the gate closed.
    tried: MonoTime,
    gap: Duration,
    /// When the gate closed for the last time.
    closed: MonoTime,
}

impl Default for ServerGate {
    fn default() -> Self {
        Self {
            odds: PRIOR,
            noted: MonoTime::ZERO,
            trial: None,
            unproved: false,
            tried: MonoTime::ZERO,
            gap: TRIAL_GAP,
            closed: MonoTime::ZERO,
        }
    }
}

impl ServerGate {
    /// Log-odds at `now` that the server fails.
    pub fn log_odds(&self, now: MonoTime) -> f64 {
        let age = now.since(self.noted).as_secs_f64() / FORGET.as_secs_f64();
        PRIOR + (self.odds - PRIOR) * (-age).exp()
    }

    /// Whether ordinary requests are kept away.
    pub fn is_closed(&self, now: MonoTime) -> bool {
        let unproved = self.unproved && now.since(self.noted) < UNTRIED_FOR;
        unproved || self.log_odds(now) >= CLOSED_FROM
    }

    /// Takes an outcome.
    pub fn record(&mut self, now: MonoTime, outcome: Outcome) {
        let before = self.is_closed(now);
        self.odds = (self.log_odds(now) + outcome.nats()).clamp(LEAST, MOST);
        self.noted = now;
        if outcome == Outcome::Good {
            self.unproved = false;
        }
        match self.is_closed(now) {
            true if !before => {
                self.unproved = true;
                self.tried = now;
                self.closed = now;
                self.gap = TRIAL_GAP;
            }
            true => {}
            false => self.gap = TRIAL_GAP,
        }
    }

    /// Takes a good answer to a request that was sent at `sent`. One that was
    /// sent before the gate closed does not show that the server is well again.
    pub fn record_good(&mut self, now: MonoTime, sent: MonoTime) {
        if !self.is_closed(now) || sent >= self.closed {
            self.record(now, Outcome::Good);
        }
    }

    /// Whether a request may be sent; `repeatable` if it may run twice.
    pub fn decide(&mut self, now: MonoTime, repeatable: bool) -> GateDecision {
        let waited = now.since(self.tried);
        match self.trial {
            _ if !self.is_closed(now) => GateDecision::Open,
            Some(since) if now.since(since) < LONELY_AFTER => GateDecision::Closed,
            _ if repeatable && waited >= self.gap => self.begin_trial(now),
            _ if waited >= LONELY_AFTER => self.begin_trial(now),
            _ => GateDecision::Closed,
        }
    }

    /// The trial has ended, with an outcome noted before or with none.
    pub fn end_trial(&mut self, now: MonoTime, good: bool) {
        self.trial = None;
        self.tried = now;
        self.gap = match good {
            true => TRIAL_GAP / 4,
            false => (self.gap * 2).min(MAX_TRIAL_GAP),
        };
    }

    /// Begins a trial.
    fn begin_trial(&mut self, now: MonoTime) -> GateDecision {
        self.trial = Some(now);
        GateDecision::Trial
    }
}
