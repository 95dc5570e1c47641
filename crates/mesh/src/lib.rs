//! Authenticated messages between daemons, dissemination of configuration by
//! gossip, and its freshness.
//!
//! [`FrameSeal`] encodes messages as datagrams and decodes them; no message is
//! decoded before its keyed hash is verified. [`GossipNode`] is the state
//! machine that disseminates revisions through the fleet and tracks the age of
//! those that the daemon has applied.

mod event;
mod frame;
mod message;
mod packed;
mod replay;
mod spread;

pub use event::{Freshness, GossipAction, GossipEvent, GossipPeer};
pub use frame::{FrameError, FrameSeal, MAX_FRAME_BYTES, PeerFrame};
pub use message::{KnownRevisions, PeerMessage};
pub use packed::{PackError, pack, unpack};
pub use replay::ReplayGuard;
pub use spread::GossipNode;
