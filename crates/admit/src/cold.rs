//! Admission rate of a backend server that is cold after its start.
//!
//! The egress beside the server asks for every request that it sends, so one token
//! bucket bounds what the whole fleet sends. A request takes its token when it is
//! sent. Before that, while it waits for a slot or its grant is on its way, it holds a
//! reservation, so that grants that are used late and all at once keep to the rate
//! too, and a grant that is not used costs nothing.
//!
//! What is sent before a spell begins is not counted. A spell therefore begins with an
//! empty bucket and at a part of the rate.

use std::time::Duration;

use ids::{MonoTime, RequestRate};

/// Time for which a server counts as cold when it is unknown what was sent to it, as
/// after a restart of the daemon. The bound applies to any second.
const UNKNOWN_TIME: Duration = Duration::from_secs(1);
/// Least time for which a notice holds without confirmation: two heartbeats of a cold
/// server.
const MIN_NOTICE_TIME: Duration = Duration::from_secs(3);
/// Time in which the rate rises to its full value, and its first share.
const RAMP_TIME: Duration = Duration::from_secs(1);
const FIRST_SHARE: f64 = 0.5;
/// Time constant of the decay of the number of refused requests.
const REFUSED_DECAY: Duration = Duration::from_secs(1);
/// Longest forecast of the wait for a token.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// What a cold server takes from the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Sustained rate while the server is cold.
    pub rate: RequestRate,
    /// Time for which the server is cold after its start.
    pub after_start: Duration,
    /// No second may have more requests than the rate times this factor and `slack`.
    pub over: f64,
    /// See `over`.
    pub slack: f64,
}

impl ColdLimit {
    /// Number of requests that may be sent at once.
    ///
    /// It is half of what a second may have beyond the rate. The other half is left
    /// for requests that arrive at the server closer together than they were sent.
    fn burst(&self) -> f64 {
        let spare = (self.over - 1.0) * self.rate.as_f64() + self.slack;
        (spare / 2.0).max(1.0)
    }

    /// Sustained rate that keeps any second within the bound.
    fn sustained(&self) -> f64 {
        let bound = self.over * self.rate.as_f64() + self.slack;
        self.rate.as_f64().min(bound - self.burst()).max(0.0)
    }
}

/// Input of a [`ColdRate`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdEvent {
    /// The daemon begins to use a server that was listed before, and does not know
    /// what was sent to it.
    Started,
    /// The server is listed for the first time, again, or at a new address. It counts
    /// as cold for the time after a start, because its notice may be late or missing.
    Listed,
    /// No connection to the server could be opened. It may be starting again under its
    /// name, and its notice comes later than its first connection.
    Unreachable,
    /// The configuration in force says whether the server is cold.
    Noticed(bool),
    /// The configuration in force is still recent.
    Confirmed,
    /// The server itself says for how long it stays cold.
    Answered(Duration),
    /// The process was suspended, and its configuration may be old.
    Resumed,
}

/// Answer to a request that is to be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdDecision {
    /// The server is warm, and the request is not counted.
    Warm,
    /// The server is cold, and a token is reserved for the request.
    Reserved,
    /// The server is cold, and the request does not fit.
    Refused,
}

/// State machine that bounds what is sent to one backend server while it is cold.
#[derive(Clone, Debug)]
pub struct ColdRate {
    limit: ColdLimit,
    /// End of the time for which the server counts as cold whatever it is said to be.
    unknown_until: MonoTime,
    /// End of the time for which it counts as cold by the latest notice.
    noticed_until: MonoTime,
    /// Whether the configuration in force says that it is cold.
    listed_cold: bool,
    /// Start of the ramp of the rate.
    ramp_start: MonoTime,
    tokens: f64,
    /// Time up to which `tokens` has been filled.
    filled_at: MonoTime,
    /// Number of tokens that are reserved.
    reserved: u32,
    /// Number of recently refused requests, which decays, and when it last changed.
    refused: f64,
    refused_at: MonoTime,
}

impl ColdRate {
    /// Creates the state of a server that counts as warm until an event says
    /// otherwise.
    pub fn new(limit: ColdLimit) -> Self {
        Self {
            limit,
            unknown_until: MonoTime::ZERO,
            noticed_until: MonoTime::ZERO,
            listed_cold: false,
            ramp_start: MonoTime::ZERO,
            tokens: 0.0,
            filled_at: MonoTime::ZERO,
            reserved: 0,
            refused: 0.0,
            refused_at: MonoTime::ZERO,
        }
    }

    /// Handles an event that happens at `now`, and returns whether the server is cold.
    pub fn handle(&mut self, now: MonoTime, event: ColdEvent) -> bool {
        let was_cold = self.is_cold(now);
        self.fill(now);
        let notice_time = self.limit.after_start.max(MIN_NOTICE_TIME);
        match event {
            ColdEvent::Started | ColdEvent::Resumed => self.hold(now + UNKNOWN_TIME),
            ColdEvent::Listed => {
                self.hold(now + self.limit.after_start.max(UNKNOWN_TIME));
                self.ramp_start = now;
            }
            ColdEvent::Unreachable => self.hold(now + self.limit.after_start),
            ColdEvent::Noticed(true) if !self.listed_cold => {
                self.listed_cold = true;
                self.noticed_until = self.noticed_until.max(now + notice_time);
            }
            ColdEvent::Noticed(false) if self.listed_cold => {
                self.listed_cold = false;
                self.noticed_until = now;
            }
            ColdEvent::Noticed(_) => {}
            // A second spell inside the first does not change the configuration, so
            // the spell lasts for as long as a recent configuration says that the
            // server is cold.
            ColdEvent::Confirmed if self.listed_cold => {
                self.noticed_until = self.noticed_until.max(now + notice_time);
            }
            ColdEvent::Confirmed => {}
            ColdEvent::Answered(left) => {
                self.noticed_until = self.noticed_until.max(now + left);
            }
        }
        let is_cold = self.is_cold(now);
        if is_cold && !was_cold {
            self.ramp_start = now;
            self.tokens = 0.0;
            self.refused = 0.0;
        }
        is_cold
    }

    /// Changes what the server takes.
    pub fn set_limit(&mut self, now: MonoTime, limit: ColdLimit) {
        self.fill(now);
        self.limit = limit;
        self.tokens = self.tokens.min(limit.burst());
    }

    /// Returns what the server takes.
    pub fn limit(&self) -> ColdLimit {
        self.limit
    }

    /// Whether the server counts as cold.
    pub fn is_cold(&self, now: MonoTime) -> bool {
        now < self.unknown_until.max(self.noticed_until)
    }

    /// Decides whether a request may wait for a slot and be sent. A reserved token has
    /// to be passed to [`ColdRate::send`] or [`ColdRate::release`].
    pub fn reserve(&mut self, now: MonoTime) -> ColdDecision {
        self.fill(now);
        match self.is_cold(now) {
            false => ColdDecision::Warm,
            true if self.available() >= 1.0 => {
                self.reserved += 1;
                ColdDecision::Reserved
            }
            true => {
                self.refused = self.recently_refused(now) + 1.0;
                self.refused_at = now;
                ColdDecision::Refused
            }
        }
    }

    /// Counts a request that is sent now, and returns whether it may be. One without a
    /// reservation may have been granted its slot before the server was cold.
    pub fn send(&mut self, now: MonoTime, reserved: bool) -> bool {
        let decision = match reserved {
            true => ColdDecision::Reserved,
            false => self.reserve(now),
        };
        if decision == ColdDecision::Reserved {
            self.fill(now);
            self.release();
            self.tokens -= 1.0;
        }
        decision != ColdDecision::Refused
    }

    /// Takes back a reservation whose request was not sent.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Expected time until a request may be sent that arrives now.
    ///
    /// Requests that were refused recently come back, so they count as ahead of it.
    pub fn wait(&self, now: MonoTime) -> Duration {
        let left = self.unknown_until.max(self.noticed_until).since(now);
        let available = self.available() + self.accrued(now);
        let missing = (1.0 - available).max(0.0) + self.recently_refused(now);
        match self.limit.sustained() {
            _ if available >= 1.0 || left.is_zero() => Duration::ZERO,
            rate if rate * MAX_WAIT.as_secs_f64() > missing => {
                Duration::from_secs_f64(missing / rate).min(left)
            }
            _ => MAX_WAIT.min(left),
        }
    }

    /// Number of tokens that are not reserved.
    fn available(&self) -> f64 {
        self.tokens - f64::from(self.reserved)
    }

    /// Extends the time for which the server counts as cold in any case.
    fn hold(&mut self, until: MonoTime) {
        self.unknown_until = self.unknown_until.max(until);
    }

    /// Fills the bucket up to `now`.
    fn fill(&mut self, now: MonoTime) {
        self.tokens = (self.tokens + self.accrued(now)).min(self.limit.burst());
        self.filled_at = self.filled_at.max(now);
    }

    /// Number of tokens since the bucket was last filled.
    fn accrued(&self, now: MonoTime) -> f64 {
        let ramp = RAMP_TIME.as_secs_f64();
        // Integral of the rate's share, which rises in a line and then is 1.
        let area = |time: MonoTime| {
            let seconds = time.since(self.ramp_start).as_secs_f64();
            let rising = seconds.min(ramp);
            let slope = (1.0 - FIRST_SHARE) / ramp;
            FIRST_SHARE * rising + slope * rising * rising / 2.0 + (seconds - rising)
        };
        let filled_at = self.filled_at.min(now);
        self.limit.sustained() * (area(now) - area(filled_at))
    }

    /// Number of requests that were refused recently.
    fn recently_refused(&self, now: MonoTime) -> f64 {
        let times = now.since(self.refused_at).as_secs_f64() / REFUSED_DECAY.as_secs_f64();
        self.refused * (-times).exp()
    }
}
