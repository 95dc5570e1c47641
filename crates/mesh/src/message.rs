//! Messages between daemons.

use config::Delta;
use health::OutcomeCounts;
use hop::{HopMessage, ServerNotice};
use ids::{Percent, Revision, ServerId};
use limit::LimitMessage;
use serde::{Deserialize, Serialize};

/// Revisions that a daemon has applied, and their age.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct KnownRevisions {
    /// Revision of the configuration in force.
    pub config: Revision,
    /// Revision of the VM list in force.
    pub vms: Revision,
    /// Milliseconds since the read of the platform that confirmed the
    /// revisions; `u64::MAX` if there was none.
    pub age_ms: u64,
}

/// Message from one daemon to another.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum PeerMessage {
    /// Carries a message between rate limiters, about leases or shares.
    Limit(LimitMessage),
    /// Starts an exchange of revisions; the receiver replies with its own.
    Exchange(KnownRevisions),
    /// Ends an exchange of revisions.
    ExchangeReply(KnownRevisions),
    /// Announces a new revision, with the delta if it fits a datagram.
    Push {
        /// Revisions of the sender, including the new one.
        known: KnownRevisions,
        /// Delta to the new revision as JSON text, since records are published
        /// in that format.
        delta: Option<Box<DeltaText>>,
    },
    /// Carries offers of requests and replies to them.
    Hop(HopMessage),
    /// Reports the health of a backend server on the VM of the sender.
    Evidence {
        /// Backend server that the report is about.
        server: ServerId,
        /// Counters of the outcomes of requests at the backend server.
        counts: OutcomeCounts,
        /// Whether the egress refuses ordinary requests for the backend server.
        closed: bool,
        /// Share of recent requests that the backend server rejected.
        rejected: Percent,
    },
    /// Passes on what a backend server says about itself: from the egress beside it
    /// to an ingress, and from an ingress to that egress, which may have restarted
    /// since.
    Notice {
        /// The backend server.
        server: ServerId,
        /// What it says.
        notice: ServerNotice,
    },
}

/// Delta as the JSON text in which it is published.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct DeltaText(Vec<u8>);

impl DeltaText {
    /// Serializes a delta.
    pub fn new(delta: &Delta) -> Self {
        Self(serde_json::to_vec(delta).unwrap_or_default())
    }

    /// Returns the delta, or `None` if the text is not a valid delta.
    pub fn parse(&self) -> Option<Delta> {
        serde_json::from_slice(&self.0).ok()
    }

    /// Returns the size of the text in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the text is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
