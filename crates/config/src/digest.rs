//! Digests of keys, published parts and complete sets of records.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use subtle::ConstantTimeEq;

use crate::ConfigError;

/// Length of a digest in bytes.
const DIGEST_BYTES: usize = 16;
/// Context that separates key digests from other uses of the fleet secret.
const KEY_CONTEXT: &str = "dogwoodshore 2026 caller key digest";

/// Truncates a hash to its first half.
///
/// This is enough against chosen collisions, because the operators of the fleet
/// issue the keys.
fn truncate(hash: &blake3::Hash) -> [u8; DIGEST_BYTES] {
    let mut bytes = [0; DIGEST_BYTES];
    bytes.copy_from_slice(&hash.as_bytes()[..DIGEST_BYTES]);
    bytes
}

/// Writes bytes as lower-case hexadecimal digits.
fn write_hex(f: &mut fmt::Formatter<'_>, bytes: &[u8]) -> fmt::Result {
    bytes.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
}

/// Parses exactly [`DIGEST_BYTES`] bytes from hexadecimal digits.
fn parse_hex(text: &str) -> Result<[u8; DIGEST_BYTES], ConfigError> {
    let mut bytes = [0; DIGEST_BYTES];
    if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
        return Err(ConfigError::BadDigest(text.chars().take(80).collect()));
    }
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16)
            .map_err(|_| ConfigError::BadDigest(text.to_owned()))?;
    }
    Ok(bytes)
}

macro_rules! digest_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// It is serialized as hexadecimal digits in human-readable formats, and
        /// as bytes in others.
        #[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name([u8; DIGEST_BYTES]);

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                match serializer.is_human_readable() {
                    true => serializer.collect_str(self),
                    false => self.0.serialize(serializer),
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                match deserializer.is_human_readable() {
                    true => String::deserialize(deserializer)?
                        .parse()
                        .map_err(D::Error::custom),
                    false => <[u8; DIGEST_BYTES]>::deserialize(deserializer).map(Self),
                }
            }
        }

        impl $name {
            /// Returns the digest as bytes.
            pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write_hex(f, &self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write_hex(f, &self.0)
            }
        }

        impl FromStr for $name {
            type Err = ConfigError;

            fn from_str(text: &str) -> Result<Self, ConfigError> {
                parse_hex(text).map(Self)
            }
        }

    };
}

digest_type!(
    /// Keyed digest of a caller's key.
    KeyDigest
);
digest_type!(
    /// Digest of a published part.
    PartDigest
);

impl KeyDigest {
    /// Compares two digests in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl PartDigest {
    /// Computes the digest of the bytes of a part.
    pub fn of(bytes: &[u8]) -> Self {
        Self(truncate(&blake3::hash(bytes)))
    }
}

/// Computes key digests with the fleet secret.
#[derive(Clone)]
pub struct KeyHasher {
    secret: [u8; 32],
}

impl KeyHasher {
    /// Returns a hasher for the fleet that uses `secret`.
    pub fn new(secret: &[u8]) -> Self {
        Self {
            secret: blake3::derive_key(KEY_CONTEXT, secret),
        }
    }

    /// Computes the digest of a key.
    pub fn digest(&self, key: &[u8]) -> KeyDigest {
        KeyDigest(truncate(&blake3::keyed_hash(&self.secret, key)))
    }
}

impl fmt::Debug for KeyHasher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHasher(..)")
    }
}

/// Sum of the hashes of all records of a table.
///
/// With a sum instead of a hash chain, adding or removing a record takes one
/// hash, and the order of changes does not matter.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct StateDigest(u128);

impl StateDigest {
    /// Adds an encoded record.
    pub fn add(&mut self, bytes: &[u8]) {
        self.0 = self.0.wrapping_add(Self::record_hash(bytes));
    }

    /// Removes an encoded record.
    pub fn remove(&mut self, bytes: &[u8]) {
        self.0 = self.0.wrapping_sub(Self::record_hash(bytes));
    }

    /// Computes the hash of an encoded record as a number.
    fn record_hash(bytes: &[u8]) -> u128 {
        u128::from_le_bytes(truncate(&blake3::hash(bytes)))
    }
}

impl fmt::Display for StateDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for StateDigest {
    type Err = ConfigError;

    fn from_str(text: &str) -> Result<Self, ConfigError> {
        let bytes = parse_hex(text)?;
        Ok(Self(u128::from_be_bytes(bytes)))
    }
}

impl TryFrom<String> for StateDigest {
    type Error = ConfigError;

    fn try_from(text: String) -> Result<Self, ConfigError> {
        text.parse()
    }
}

impl From<StateDigest> for String {
    fn from(digest: StateDigest) -> String {
        digest.to_string()
    }
}
