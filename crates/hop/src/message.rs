//! Messages between ingress and egress about offers.

use std::{fmt, time::Duration};

use config::CheckedKey;
use health::OutcomeCounts;
use ids::{AccountId, Percent, Rank, ServerId, Weight, WorkPriority};
use serde::{Deserialize, Serialize};

/// Id of an offer, unique within the daemon that makes the offer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct OfferId(pub u64);

impl fmt::Display for OfferId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Incarnation of an egress: a random number that identifies one run of its
/// process. It differs after a restart.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct EgressIncarnation(pub u32);

impl fmt::Display for EgressIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Why an egress did not run a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum NotRun {
    /// No slot became free in time.
    Overloaded,
    /// The deadline passed before the request was sent to the backend server.
    Expired,
    /// The backend server or its VM is leaving.
    Leaving,
    /// The backend server is shedding load.
    Shedding,
    /// The backend server or its VM could not be reached.
    Unreachable,
    /// The key of the caller was withdrawn while the request waited.
    Withdrawn,
    /// The backend server is not on this VM.
    Misdirected,
    /// The egress considers the backend server to be failing.
    Failing,
    /// The grant expired before the request arrived.
    Lapsed,
    /// The rate that the backend server has named leaves no room in time.
    Limited,
    /// The backend server is cold, and its admission rate leaves no room.
    Cold,
    /// The availability zone of the backend server is evacuated.
    Evacuated,
}

impl fmt::Display for NotRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Overloaded => "overloaded",
            Self::Expired => "expired",
            Self::Leaving => "leaving",
            Self::Shedding => "shedding",
            Self::Unreachable => "unreachable",
            Self::Withdrawn => "withdrawn",
            Self::Misdirected => "misdirected",
            Self::Failing => "failing",
            Self::Lapsed => "lapsed",
            Self::Limited => "limited",
            Self::Cold => "cold",
            Self::Evacuated => "evacuated",
        })
    }
}

/// Properties of a request that an egress needs to assign it a slot.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct OfferJob {
    /// Backend server that is to run the request.
    pub server: ServerId,
    /// Client account of the caller; `None` on an open route.
    pub account: Option<AccountId>,
    /// Caller's key, which is checked again when the slot is granted.
    pub key: Option<CheckedKey>,
    /// Relative share of the account when accounts compete for slots.
    pub weight: Weight,
    /// Rank among the requests that wait for a slot.
    pub rank: Rank,
    /// Priority among otherwise equal requests when not all can be served.
    pub work_priority: WorkPriority,
    /// Kind of the request, by which the egress learns how much work it is: a hash of
    /// its route and method.
    pub kind: u32,
    /// Whether the request was offered to no other server before.
    pub first_offer: bool,
    /// Whether the request is internal work.
    pub internal: bool,
    /// Whether the request is a bulk transfer.
    pub bulk: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request is sent although the backend server is considered
    /// failing, since there is no better one.
    pub forced: bool,
    /// Time left until the target latency, in microseconds; a later answer is
    /// worth less to the caller.
    pub target_us: u64,
    /// Time left until the deadline, in microseconds.
    pub remaining_us: u64,
}

impl OfferJob {
    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> Duration {
        Duration::from_micros(self.remaining_us)
    }
}

/// Load and health of a backend server as its egress observes them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ServerLoad {
    /// Requests that run at the backend server.
    pub running: u32,
    /// Expected time until a slot is free, in microseconds.
    pub delay_us: u64,
    /// Counters of the outcomes of requests at the backend server.
    pub counts: OutcomeCounts,
    /// Whether the egress refuses ordinary requests for the backend server.
    pub closed: bool,
    /// Share of recent requests that the backend server rejected without running
    /// them.
    pub rejected: Percent,
}

/// Reply of an egress about an offer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum OfferReply {
    /// The offer waits for a slot.
    Waiting(ServerLoad),
    /// The offer holds a slot for a short time, in this incarnation of the
    /// egress.
    Granted(EgressIncarnation),
    /// The request did not and will not run.
    Refused(NotRun, ServerLoad),
    /// The request was committed and runs, or ran, at the backend server.
    Committed,
    /// An earlier incarnation of the egress granted the offer and may have run
    /// the request.
    Restarted,
    /// The request was committed, and its answer was handed to the connection that
    /// it came on.
    Answered,
}

/// A message between ingress and egress.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum HopMessage {
    /// Sent by an ingress to offer a request, and repeated with the same id
    /// until the offer is decided.
    Offer {
        /// Id of the offer.
        offer: OfferId,
        /// Properties of the request.
        job: Box<OfferJob>,
    },
    /// Sent by an ingress to withdraw an offer; a committed request continues
    /// to run.
    Withdraw {
        /// Id of the offer.
        offer: OfferId,
    },
    /// Sent by an ingress to learn whether a request that it committed has
    /// arrived. If it has not, it never runs.
    Check {
        /// Id of the offer.
        offer: OfferId,
        /// Incarnation of the egress that granted the offer.
        incarnation: EgressIncarnation,
    },
    /// Sent by an egress to report the state of an offer.
    Reply {
        /// Id of the offer.
        offer: OfferId,
        /// State of the offer.
        reply: OfferReply,
    },
}
