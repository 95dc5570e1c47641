//! Evidence in, decisions out.

use std::{fmt, time::Duration};

use ids::{ServerId, Slots};
use serde::{Deserialize, Serialize};

use crate::Signal;

/// A backend server of the pool, as configuration and VM list have it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberSpec {
    /// The backend server.
    pub server: ServerId,
    /// Its slots.
    pub slots: Slots,
    /// Whether its VM is listed as live.
    pub usable: bool,
}

/// What this daemon saw of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// A good answer, with the time from dispatch to its head.
    Answered(Duration),
    /// An error of the backend server within the limit.
    Failed,
    /// An answer that broke off.
    Truncated,
    /// No answer yet after the limit; counts as slow from this moment.
    Overdue,
    /// No answer yet after [`STUCK_FACTOR`](crate::STUCK_FACTOR) times the
    /// limit.
    Stuck,
    /// No connection from here to the VM.
    Unreachable,
}

/// Counters of an egress, from all traffic at the backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct OutcomeCounts {
    /// Random number of the egress process; counters restart with it.
    pub epoch: u32,
    /// Requests with an outcome, or past the limit.
    pub samples: u64,
    /// Of these, failed.
    pub failed: u64,
    /// Of these, slower than the limit.
    pub slow: u64,
    /// Of these, slower than [`STUCK_FACTOR`](crate::STUCK_FACTOR) times the
    /// limit.
    pub stuck: u64,
    /// Not a counter: whether the backend server's own health endpoint said
    /// just now that it is not well.
    pub unhealthy: bool,
}

/// What happens to a detector.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The backend servers of the pool; others are forgotten.
    Members(Vec<MemberSpec>),
    /// This daemon saw a request end or pass the limit.
    Observed(ServerId, Observation),
    /// An egress reported its counters.
    Reported(ServerId, OutcomeCounts),
    /// Service time of a good answer; moves the baseline only.
    ServiceTime(ServerId, Duration),
    /// A canary request to a server on probation ended.
    Canary(ServerId, bool),
    /// Time has passed.
    Tick,
    /// The process slept: what it holds is stale, and it may itself be the
    /// cause of what it saw.
    Resumed,
}

/// Why a backend server has its weight.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum Reason {
    /// Nothing speaks against it.
    #[default]
    Healthy,
    /// A score passed the threshold.
    Ejected(Signal),
    /// A score passed the threshold but the floor forbids an ejection.
    HeldByFloor(Signal),
    /// Back because the floor needs its slots.
    ReturnedByFloor,
    /// Canaries are tried.
    Probation,
    /// Back after good canaries, or new: its share rises slowly.
    SlowStart,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Healthy => f.write_str("healthy"),
            Self::Ejected(signal) => write!(f, "ejected: {signal}"),
            Self::HeldByFloor(signal) => write!(f, "kept by the floor although {signal}"),
            Self::ReturnedByFloor => f.write_str("returned by the floor"),
            Self::Probation => f.write_str("probation"),
            Self::SlowStart => f.write_str("slow start"),
        }
    }
}

/// A decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The share of traffic that a server may take, 0 to 1.
    SetWeight {
        /// The backend server.
        server: ServerId,
        /// Its share.
        weight: f64,
        /// Whether one idempotent request at a time may try it.
        canary: bool,
        /// Why.
        reason: Reason,
    },
    /// Time after which an unanswered request counts as slow.
    SetSlowLimit(Duration),
}
