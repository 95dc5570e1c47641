//! What ingress and egress say about an offer.

use std::{fmt, time::Duration};

use config::KeyDigest;
use health::OutcomeCounts;
use ids::{AccountId, Lot, Rank, ServerId, Weight};
use serde::{Deserialize, Serialize};

/// Number of an offer, unique for the daemon that makes it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct OfferId(pub u64);

impl fmt::Display for OfferId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One life of an egress, by a random number: a new process has another.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct EgressLife(pub u32);

impl fmt::Display for EgressLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Why an egress did not run a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum NotRun {
    /// No slot in time.
    Overloaded,
    /// The deadline passed before dispatch.
    Expired,
    /// The backend server or its VM is leaving.
    Leaving,
    /// The backend server sheds load.
    Shedding,
    /// No connection to the backend server or to its VM.
    Unreachable,
    /// The key was withdrawn while the request waited.
    Withdrawn,
    /// The backend server is not on this VM.
    Misdirected,
    /// The backend server is taken for failing.
    Failing,
    /// The grant ran out before the request came.
    Lapsed,
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
        })
    }
}

/// What an egress has to know of a request to give it a slot.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct OfferJob {
    /// The backend server that is to run it.
    pub server: ServerId,
    /// The client account; `None` on an open route.
    pub account: Option<AccountId>,
    /// Digest of the caller's key, checked again when the slot is granted.
    pub key: Option<KeyDigest>,
    /// Share of the account where accounts compete.
    pub weight: Weight,
    /// Rank among requests that wait for a slot.
    pub rank: Rank,
    /// Place among requests that wait, where there is no room for all.
    pub lot: Lot,
    /// Internal work.
    pub internal: bool,
    /// Long transfer.
    pub bulk: bool,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether it goes to a backend server that is taken for failing, since
    /// there is no better one.
    pub forced: bool,
    /// Time left until an answer is worth less, in microseconds.
    pub target_us: u64,
    /// Time left, in microseconds.
    pub remaining_us: u64,
}

impl OfferJob {
    /// Time left.
    pub fn remaining(&self) -> Duration {
        Duration::from_micros(self.remaining_us)
    }
}

/// Load and evidence of a backend server, as its egress sees it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ServerLoad {
    /// Jobs that run at the backend server.
    pub running: u32,
    /// Expected wait for a slot, in microseconds.
    pub delay_us: u64,
    /// Evidence about the backend server.
    pub counts: OutcomeCounts,
    /// Whether the egress keeps ordinary requests away from it.
    pub closed: bool,
}

/// What an egress says of an offer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum OfferReply {
    /// It waits for a slot.
    Waiting(ServerLoad),
    /// It holds a slot, for a short time, in this life of the egress.
    Granted(EgressLife),
    /// It was not and will not be run.
    Refused(NotRun, ServerLoad),
    /// Its request was committed and is, or was, at the backend server.
    Committed,
    /// It was granted in an earlier life of the egress, which may have run its
    /// request.
    Forgotten,
}

/// A message between ingress and egress.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum HopMessage {
    /// An ingress offers a request; repeated until it is decided, with the
    /// same number.
    Offer {
        /// Its number.
        offer: OfferId,
        /// What the egress has to know.
        job: Box<OfferJob>,
    },
    /// An ingress takes an offer back. One that was committed goes on.
    Withdraw {
        /// Its number.
        offer: OfferId,
    },
    /// An ingress wants to know whether a request that it committed arrived;
    /// if not, it never will be run.
    Check {
        /// Its number.
        offer: OfferId,
        /// The life of the egress that granted it.
        life: EgressLife,
    },
    /// An egress says what has become of an offer.
    Reply {
        /// Its number.
        offer: OfferId,
        /// What became of it.
        reply: OfferReply,
    },
}
