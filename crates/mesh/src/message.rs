//! Messages between daemons.

use config::Delta;
use health::OutcomeCounts;
use hop::HopMessage;
use ids::{Revision, ServerId};
use limit::LimitMessage;
use serde::{Deserialize, Serialize};

/// What a daemon knows, and how fresh that is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct KnownRevisions {
    /// Configuration in force.
    pub config: Revision,
    /// VM list in force.
    pub vms: Revision,
    /// Milliseconds since the last read of the platform behind it.
    pub age_ms: u64,
}

/// A message of one daemon to another.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum PeerMessage {
    /// Tokens and heartbeats.
    Limit(LimitMessage),
    /// What the sender knows; the receiver answers if it knows otherwise.
    Known(KnownRevisions),
    /// The answer, which is not answered again.
    KnownReply(KnownRevisions),
    /// A new revision, with the delta where it fits a datagram.
    Push {
        /// What the sender knows now.
        known: KnownRevisions,
        /// The step to it; a JSON text, since records are published as such.
        delta: Option<Box<DeltaText>>,
    },
    /// Offers of requests, and what becomes of them.
    Hop(HopMessage),
    /// Counters of a backend server beside the sender.
    Evidence {
        /// The backend server.
        server: ServerId,
        /// Its counters.
        counts: OutcomeCounts,
        /// Whether ordinary requests are kept away from it.
        closed: bool,
    },
}

/// A delta as the JSON text that was published.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct DeltaText(Vec<u8>);

impl DeltaText {
    /// The text of a delta.
    pub fn new(delta: &Delta) -> Self {
        Self(serde_json::to_vec(delta).unwrap_or_default())
    }

    /// The delta, if the text is one.
    pub fn parse(&self) -> Option<Delta> {
        serde_json::from_slice(&self.0).ok()
    }

    /// Size of the text in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the text is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
