//! Compression of long texts between daemons.
//!
//! Records are sent as the JSON that is published, which repeats field names
//! and prefixes of ids: a whole configuration shrinks to less than a quarter.

use std::fmt;

use serde::{Serialize, de::DeserializeOwned};

/// Maximum size of an unpacked text in bytes, which bounds the memory of the
/// daemon.
const MAX_TEXT_BYTES: usize = 16 * 1024 * 1024;
/// Length of the prefix that contains the size of the text, in bytes.
const SIZE_BYTES: usize = 4;

/// Reason why a text could not be unpacked.
#[derive(Debug)]
pub enum PackError {
    /// The size is missing or too large.
    BadSize,
    /// The compressed data is invalid.
    Damaged(lz4_flex::block::DecompressError),
    /// The text is not a value of the expected type; the peer may run another
    /// version.
    BadText(serde_json::Error),
}

impl fmt::Display for PackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadSize => write!(
                f,
                "size of the text is missing or above {MAX_TEXT_BYTES} bytes"
            ),
            Self::Damaged(error) => write!(f, "compressed text is invalid: {error}"),
            Self::BadText(error) => write!(f, "text is not a value of the expected type: {error}"),
        }
    }
}

impl std::error::Error for PackError {}

/// Serializes a value as JSON and compresses the text.
///
/// # Errors
///
/// Returns the error of the serialization.
pub fn pack<T: Serialize>(value: &T) -> Result<Vec<u8>, serde_json::Error> {
    let text = serde_json::to_vec(value)?;
    Ok(lz4_flex::compress_prepend_size(&text))
}

/// Decompresses a text and deserializes its value.
///
/// # Errors
///
/// Returns a [`PackError`] if the text is damaged, too large, or not a value of
/// the expected type.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PackError> {
    let (size, _) = bytes
        .split_first_chunk::<SIZE_BYTES>()
        .ok_or(PackError::BadSize)?;
    // The decompression allocates memory for the stated size before it reads
    // the data.
    if u32::from_le_bytes(*size) as usize > MAX_TEXT_BYTES {
        return Err(PackError::BadSize);
    }
    let text = lz4_flex::decompress_size_prepended(bytes).map_err(PackError::Damaged)?;
    serde_json::from_slice(&text).map_err(PackError::BadText)
}
