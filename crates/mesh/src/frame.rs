//! Format of datagrams between daemons: a version byte, a keyed hash, and the
//! message encoded with `postcard`.
//!
//! The hash covers the receiver, which knows its own name and so needs not be
//! named in the frame.

use std::fmt;

use ids::VmId;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::PeerMessage;

/// Maximum size of a frame in bytes; it fits one packet on usual networks.
pub const MAX_FRAME_BYTES: usize = 1_400;
/// Version of the frame format.
const VERSION: u8 = 4;
/// Length of the keyed hash in bytes.
const HASH_BYTES: usize = 16;
/// Key derivation context that separates frame hashes from other uses of the
/// secret.
const CONTEXT: &str = "dogwoodshore 2026 peer frame";

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FrameError {
    /// The frame is shorter than the minimum or longer than the maximum.
    BadLength,
    /// The frame has another format version; the older daemon needs an upgrade.
    BadVersion,
    /// The hash does not match, so the sender does not know the fleet secret, the
    /// frame was changed, or it is addressed to another daemon.
    BadHash,
    /// The frame is authentic, but its message cannot be decoded.
    BadMessage,
    /// The frame was received before.
    Replayed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::BadLength => "bad length",
            Self::BadVersion => "bad version",
            Self::BadHash => "bad hash",
            Self::BadMessage => "bad message",
            Self::Replayed => "replayed",
        })
    }
}

impl std::error::Error for FrameError {}

/// Message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PeerFrame {
    /// VM of the sender.
    pub from: VmId,
    /// Incarnation of the sender: a random number that identifies one run of its
    /// process.
    pub incarnation: u32,
    /// Sequence number of the frame within the incarnation of the sender.
    pub number: u64,
    /// Content of the frame.
    pub message: PeerMessage,
}

/// Encodes frames and authenticates them with the fleet secret.
#[derive(Clone)]
pub struct FrameSeal {
    key: [u8; 32],
}

impl fmt::Debug for FrameSeal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FrameSeal(..)")
    }
}

impl FrameSeal {
    /// Derives the key of the seal from the secret that the fleet shares.
    pub fn new(secret: &[u8]) -> Self {
        Self {
            key: blake3::derive_key(CONTEXT, secret),
        }
    }

    /// Encodes a frame for the daemon of a VM and adds its keyed hash.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::BadLength`] if the frame does not fit a datagram.
    pub fn seal(&self, frame: &PeerFrame, to: &VmId) -> Result<Vec<u8>, FrameError> {
        let body = postcard::to_stdvec(frame).map_err(|_| FrameError::BadMessage)?;
        let mut bytes = Vec::with_capacity(1 + HASH_BYTES + body.len());
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.hash(&body, to));
        bytes.extend_from_slice(&body);
        match bytes.len() {
            length if length > MAX_FRAME_BYTES => Err(FrameError::BadLength),
            _ => Ok(bytes),
        }
    }

    /// Verifies and decodes a frame that the daemon of a VM has received.
    ///
    /// # Errors
    ///
    /// Returns a [`FrameError`] if the frame is not valid. The caller must only
    /// count it and drop the frame.
    pub fn open(&self, bytes: &[u8], own: &VmId) -> Result<PeerFrame, FrameError> {
        if bytes.len() <= 1 + HASH_BYTES || bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::BadLength);
        }
        let (version, rest) = (bytes[0], &bytes[1..]);
        let (hash, body) = rest.split_at(HASH_BYTES);
        match version {
            VERSION => {}
            _ => return Err(FrameError::BadVersion),
        }
        match bool::from(self.hash(body, own).ct_eq(hash)) {
            true => postcard::from_bytes(body).map_err(|_| FrameError::BadMessage),
            false => Err(FrameError::BadHash),
        }
    }

    /// Returns the keyed hash of a body and its receiver, truncated to its length
    /// on the wire.
    fn hash(&self, body: &[u8], to: &VmId) -> [u8; HASH_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(body);
        // The length separates the two, so that no other pair has the same input.
        hasher.update(to.as_str().as_bytes());
        hasher.update(&(body.len() as u32).to_le_bytes());
        let mut hash = [0; HASH_BYTES];
        hash.copy_from_slice(&hasher.finalize().as_bytes()[..HASH_BYTES]);
        hash
    }
}
