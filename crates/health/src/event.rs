//! Inputs and outputs of the detector: events, observations, decisions and
//! their reasons.

use std::{fmt, time::Duration};

use ids::{ServerId, Slots};
use serde::{Deserialize, Serialize};

use crate::Signal;

/// A backend server of the pool, from the configuration and the VM list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberSpec {
    /// The backend server.
    pub server: ServerId,
    /// Number of its slots.
    pub slots: Slots,
    /// Whether its VM is listed as live.
    pub usable: bool,
}

/// What this daemon observed of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// A good answer, with the time from dispatch to the head of the answer.
    Answered(Duration),
    /// An error of the backend server within the slow limit.
    Failed,
    /// An answer that ended before it was complete.
    Truncated,
    /// No answer within the slow limit. The request counts as slow from this
    /// moment.
    Overdue,
    /// No answer within [`STUCK_FACTOR`](crate::STUCK_FACTOR) times the slow
    /// limit.
    Stuck,
    /// No connection from this VM to the VM of the backend server.
    Unreachable,
}

/// Counters that an egress keeps of the outcomes of all requests to one backend
/// server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct OutcomeCounts {
    /// Incarnation of the egress: a random number that identifies one run of
    /// its process. The counters start at zero with each incarnation.
    pub incarnation: u32,
    /// Number of requests that have an outcome or have passed the slow limit.
    /// One that also passes the limit for stuck requests counts once more.
    pub samples: u64,
    /// Number of these samples that failed.
    pub failed: u64,
    /// Number of these samples that were slower than the slow limit.
    pub slow: u64,
    /// Number of these samples that were slower than
    /// [`STUCK_FACTOR`](crate::STUCK_FACTOR) times the slow limit.
    pub stuck: u64,
    /// Whether the latest probe of the backend server's own health endpoint
    /// found it unhealthy. This is a state, not a counter.
    pub unhealthy: bool,
}

/// An input of a detector.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The backend servers of the pool. The state of all others is dropped.
    Members(Vec<MemberSpec>),
    /// This daemon saw a request end or pass a limit.
    Observed(ServerId, Observation),
    /// An egress reported its counters.
    Reported(ServerId, OutcomeCounts),
    /// Service time of a good answer. It updates only the slow limit and adds
    /// no evidence.
    ServiceTime(ServerId, Duration),
    /// A canary request to a server on probation ended, with a good answer or
    /// without.
    Canary(ServerId, bool),
    /// Time has passed.
    Tick,
    /// This process was suspended for a while: its evidence is stale, and the
    /// suspension may itself have caused what it observed.
    Resumed,
}

/// Why a backend server has its weight.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum Reason {
    /// There is no evidence against it.
    #[default]
    Healthy,
    /// A score passed the threshold.
    Ejected(Signal),
    /// A score passed the threshold, but the floor forbids an ejection.
    HeldByFloor(Signal),
    /// Returned to rotation early, because the floor needs its slots.
    ReturnedByFloor,
    /// Receives canary requests only.
    Probation,
    /// Returned after a probation, new in the pool, or back on a live VM: its
    /// weight rises gradually.
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

/// A decision of the detector.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets the weight of a server.
    SetWeight {
        /// The backend server.
        server: ServerId,
        /// The share of its ordinary traffic that it may take, 0 to 1.
        weight: f64,
        /// Whether it may take canaries: idempotent requests, one at a time.
        canary: bool,
        /// Why it has this weight.
        reason: Reason,
    },
    /// Sets the slow limit: the time after which an unanswered request counts
    /// as slow.
    SetSlowLimit(Duration),
}
