//! Datagrams: version, keyed hash, then `postcard`.

use std::fmt;

use ids::VmId;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::PeerMessage;

/// Largest frame, in bytes; fits one packet on usual networks.
pub const MAX_FRAME_BYTES: usize = 1_400;
/// Version of the frames.
const VERSION: u8 = 2;
/// Bytes of the keyed hash.
const HASH_BYTES: usize = 16;
/// Context that separates frame hashes from other uses of the secret.
const CONTEXT: &str = "dogwoodshore 2026 peer frame";

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FrameError {
    /// Shorter than any frame, or longer than allowed.
    BadLength,
    /// Of another version; upgrade the older daemon.
    BadVersion,
    /// The sender does not know the fleet secret.
    BadHash,
    /// Proved but not understood.
    BadMessage,
    /// Meant for another daemon.
    Misdirected,
    /// Seen before.
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

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PeerFrame {
    /// VM of the sender.
    pub from: VmId,
    /// VM that it is for.
    pub to: VmId,
    /// Start of the sender, by time of day in milliseconds.
    pub incarnation: u64,
    /// Number of the frame in this life of the sender.
    pub number: u64,
    /// The message.
    pub message: PeerMessage,
}

/// Makes and opens frames with the fleet secret.
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
    /// A seal for the fleet that shares `secret`.
    pub fn new(secret: &[u8]) -> Self {
        Self {
            key: blake3::derive_key(CONTEXT, secret),
        }
    }

    /// The bytes of a frame.
    ///
    /// # Errors
    ///
    /// [`FrameError::BadLength`] if it does not fit a datagram.
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

    /// The frame in received bytes.
    ///
    /// # Errors
    ///
    /// [`FrameError`]; the caller counts it and does nothing else.
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

    /// Keyed hash of a body, cut to its length on the wire.
    fn hash(&self, body: &[u8]) -> [u8; HASH_BYTES] {
        let mut short = [0; HASH_BYTES];
        short.copy_from_slice(&blake3::keyed_hash(&self.key, body).as_bytes()[..HASH_BYTES]);
        short
    }
}
