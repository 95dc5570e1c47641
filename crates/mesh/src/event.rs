//! Inputs and outputs of the gossip.

use config::Delta;
use ids::{Revision, VmId, ZoneId};

use crate::message::{KnownRevisions, PeerMessage};

/// Live VM whose daemon takes part in the gossip.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GossipPeer {
    /// Id of the VM.
    pub vm: VmId,
    /// Zone of the VM.
    pub zone: ZoneId,
}

/// Freshness of the revisions that a daemon has applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// The revisions were confirmed by a read of the platform within the last
    /// seconds, here or at a peer.
    Fresh,
    /// No reachable daemon is fresh, but this daemon is in contact with a quorum
    /// of its cells: the platform is down.
    PlatformDown,
    /// Neither the platform nor a quorum is reachable: the fleet may have applied
    /// newer revisions that this daemon does not have.
    Isolated,
}

/// Input of a [`GossipNode`](crate::GossipNode).
#[derive(Clone, Debug)]
pub enum GossipEvent {
    /// The set of live VMs has changed.
    Peers(Vec<GossipPeer>),
    /// Revisions were put in force.
    Adopted {
        /// Revision of the configuration in force.
        config: Revision,
        /// Revision of the VM list in force.
        vms: Revision,
        /// Delta that was applied, if there was exactly one.
        delta: Option<Delta>,
    },
    /// The platform was read successfully and has nothing newer.
    PlatformRead,
    /// A message of a peer was received.
    Message {
        /// VM of the peer.
        from: VmId,
        /// Revisions of the peer.
        known: KnownRevisions,
        /// Whether the peer expects a reply.
        wants_reply: bool,
    },
    /// Time has passed.
    Tick,
}

/// Action that the caller of a [`GossipNode`](crate::GossipNode) must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipAction {
    /// Send a message to the daemon of a VM.
    Send(VmId, PeerMessage),
    /// Fetch newer revisions from the daemon of a VM.
    Pull(VmId),
    /// Read the platform once.
    ReadPlatform,
}
