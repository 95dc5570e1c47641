//! Long texts between daemons, compressed.
//!
//! Records travel as the JSON that is published, which repeats field names
//! and prefixes of ids: a whole configuration packs to less than a quarter.

use std::fmt;

use serde::{Serialize, de::DeserializeOwned};

/// Largest text that is unpacked, in bytes: what a daemon can spare.
const MAX_TEXT_BYTES: usize = 16 * 1024 * 1024;
/// Bytes in front that tell the size of the text.
const SIZE_BYTES: usize = 4;

/// Why a text could not be unpacked.
#[derive(Debug)]
pub enum PackError {
    /// It tells no size, or one that is too large.
    BadSize,
    /// It is not compressed as it should be.
    Damaged(lz4_flex::block::DecompressError),
    /// It is not the value that was expected; the peer may be of another
    /// version.
    BadText(serde_json::Error),
}

impl fmt::Display for PackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadSize => write!(f, "no size, or more than {MAX_TEXT_BYTES} bytes"),
            Self::Damaged(error) => write!(f, "damaged on the way: {error}"),
            Self::BadText(error) => write!(f, "not what is expected: {error}"),
        }
    }
}

impl std::error::Error for PackError {}

/// The text of a value, compressed.
///
/// # Errors
///
/// The error of serialization.
pub fn pack<T: Serialize>(value: &T) -> Result<Vec<u8>, serde_json::Error> {
    let text = serde_json::to_vec(value)?;
    Ok(lz4_flex::compress_prepend_size(&text))
}

/// The value of a compressed text.
///
/// # Errors
///
/// [`PackError`] if it is damaged, too large, or another value.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PackError> {
    let (size, _) = bytes
        .split_first_chunk::<SIZE_BYTES>()
        .ok_or(PackError::BadSize)?;
    // Memory for the text is taken before it is looked at.
    if u32::from_le_bytes(*size) as usize > MAX_TEXT_BYTES {
        return Err(PackError::BadSize);
    }
    let text = lz4_flex::decompress_size_prepended(bytes).map_err(PackError::Damaged)?;
    serde_json::from_slice(&text).map_err(PackError::BadText)
}
