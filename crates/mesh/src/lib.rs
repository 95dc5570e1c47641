//! Authenticated peer messages, dissemination of configuration, freshness.
//!
//! [`FrameSeal`] turns messages into datagrams and back; nothing of a frame
//! is parsed before its keyed hash is checked. [`GossipNode`] is the state
//! machine that spreads revisions through the fleet and knows how fresh its
//! own knowledge is.

mod frame;
mod message;
mod packed;
mod replay;
mod spread;

pub use frame::{FrameError, FrameSeal, MAX_FRAME_BYTES, PeerFrame};
pub use message::{KnownRevisions, PeerMessage};
pub use packed::{PackError, pack, unpack};
pub use replay::ReplayGuard;
pub use spread::{Freshness, GossipAction, GossipEvent, GossipNode, GossipPeer};
