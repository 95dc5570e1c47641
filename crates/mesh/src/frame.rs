//! Format of datagrams between daemons: a version byte, a keyed hash, and the
//! message encoded with `postcard`.

use std::fmt;

use ids::VmId;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::PeerMessage;

/// Maximum size of a frame in bytes; it fits one packet on usual networks.
pub const MAX_FRAME_BYTES: usize = 1_400;
/// Version of the frame format.
const VERSION: u8 = 2;
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
    /// The hash does not match, so the sender does not know the fleet secret or
    /// the frame was changed.
    BadHash,
    /// The frame is authentic, but its message cannot be decoded.
    BadMessage,
    /// The frame is addressed to another daemon.
    Misdirected,
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
            Self::Misdirected => "misdirected",
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
    /// VM of the receiver.
    pub to: VmId,
    /// Incarnation of the sender: a random number that identifies one run of its
    /// process.
    pub incarnation: u64,
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

    /// Encodes a frame and adds its keyed hash.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::BadLength`] if the frame does not fit a datagram.
    pub fn seal(&self, frame: &PeerFrame) -> Result<Vec<u8>, FrameError> {
        let body = postcard::to_stdvec(frame).map_err(|_| FrameError::BadMessage)?;
        let mut bytes = Vec::with_capacity(1 + HASH_BYTES + body.len());
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.hash(&body));
        bytes.extend_from_slice(&body);
        match bytes.len() {
            length if length > MAX_FRAME_BYTES => Err(FrameError::BadLength),
            _ => Ok(bytes),
        }
    }

    /// Verifies and decodes a received frame.
    ///
    /// # Errors
    ///
    /// Returns a [`FrameError`] if the frame is not valid. The caller must only
    /// count it and drop the frame.
    pub fn open(&self, bytes: &[u8]) -> Result<PeerFrame, FrameError> {
        if bytes.len() <= 1 + HASH_BYTES || bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::BadLength);
        }
        let (version, rest) = (bytes[0], &bytes[1..]);
        let (hash, body) = rest.split_at(HASH_BYTES);
        match version {
            VERSION => {}
            _ => return Err(FrameError::BadVersion),
        }
        match bool::from(self.hash(body).ct_eq(hash)) {
            true => postcard::from_bytes(body).map_err(|_| FrameError::BadMessage),
            false => Err(FrameError::BadHash),
        }
    }

    /// Returns the keyed hash of a body, truncated to its length on the wire.
    fn hash(&self, body: &[u8]) -> [u8; HASH_BYTES] {
        let mut hash = [0; HASH_BYTES];
        hash.copy_from_slice(&blake3::keyed_hash(&self.key, body).as_bytes()[..HASH_BYTES]);
        hash
    }
}
