//! Headers between callers, daemons and backend servers.
//!
//! The metadata of an attempt is one header: a keyed hash, then `postcard`,
//! both as hexadecimal digits. The hash is checked before anything is parsed.

use std::{fmt, time::Duration};

pub use hop::NotRun;

use hop::{OfferId, ServerLoad};
use hyper::{HeaderMap, header::HeaderName, header::HeaderValue};
use ids::{AccountId, ServerId, ServiceId, VmId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use subtle::ConstantTimeEq;

/// Outcome of a request that has no answer of a backend server.
pub const OUTCOME: HeaderName = HeaderName::from_static("dogwoodshore-outcome");
/// Why a request was refused.
pub const REASON: HeaderName = HeaderName::from_static("dogwoodshore-reason");
/// Metadata of an attempt, between daemons.
pub const ATTEMPT: HeaderName = HeaderName::from_static("dogwoodshore-attempt");
/// Report of an egress on an answer, between daemons.
pub const REPORT: HeaderName = HeaderName::from_static("dogwoodshore-report");
/// What a daemon that pulls knows, between daemons.
pub const PULL: HeaderName = HeaderName::from_static("dogwoodshore-pull");
/// The client account, towards backend servers.
pub const ACCOUNT: HeaderName = HeaderName::from_static("dogwoodshore-account");
/// Milliseconds left, towards backend servers.
pub const DEADLINE: HeaderName = HeaderName::from_static("dogwoodshore-deadline-ms");
/// A caller's key, beside `Authorization: Bearer`.
pub const API_KEY: HeaderName = HeaderName::from_static("x-api-key");

/// Start of all our header names.
const OWN_PREFIX: &str = "dogwoodshore-";
/// Context that separates header hashes from other uses of the secret.
const SEAL_CONTEXT: &str = "dogwoodshore 2026 attempt header";
/// Bytes of the keyed hash.
const SEAL_BYTES: usize = 16;
/// Longest header that is looked at, in bytes.
const MAX_HEADER_BYTES: usize = 2_048;

/// Metadata of an attempt whose offer was granted.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Attempt {
    /// Random number of the request, the same for all its attempts.
    pub request: u64,
    /// VM of the ingress.
    pub from: VmId,
    /// The offer that was granted there.
    pub offer: OfferId,
    /// The backend server that is to run it.
    pub server: ServerId,
    /// The client account; `None` on an open route.
    pub account: Option<AccountId>,
    /// Service on the VM of the ingress, if it has one.
    pub caller: Option<ServiceId>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time left, in microseconds.
    pub remaining_us: u64,
    /// Time after which an unanswered request counts as slow, in
    /// microseconds; zero if the ingress knows none yet.
    pub slow_limit_us: u64,
    /// Hash of method and target, which binds the metadata to the request.
    pub target: u64,
}

impl Attempt {
    /// Time left.
    pub fn remaining(&self) -> Duration {
        Duration::from_micros(self.remaining_us)
    }
}

/// What became of an attempt at the egress.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum EgressOutcome {
    /// The answer is the backend server's.
    Answered,
    /// It was not dispatched.
    NotRun(NotRun),
    /// It was dispatched and the connection was lost.
    Lost,
    /// It was dispatched and the deadline passed.
    TimedOut,
}

/// What an egress reports with each answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EgressReport {
    /// What became of the attempt.
    pub outcome: EgressOutcome,
    /// Time from dispatch to the head of the answer, in microseconds.
    pub service_us: u64,
    /// Load and evidence of the backend server.
    pub load: ServerLoad,
}

/// Seals and opens header values with the fleet secret.
#[derive(Clone)]
pub struct HeaderSeal {
    key: [u8; 32],
}

impl fmt::Debug for HeaderSeal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HeaderSeal(..)")
    }
}

impl HeaderSeal {
    /// A seal for the fleet that shares `secret`.
    pub fn new(secret: &[u8]) -> Self {
        Self {
            key: blake3::derive_key(SEAL_CONTEXT, secret),
        }
    }

    /// A value as a sealed header.
    pub fn seal<T: Serialize>(&self, value: &T) -> HeaderValue {
        let bytes = postcard::to_stdvec(value).expect("header values are plain data");
        let hash = blake3::keyed_hash(&self.key, &bytes);
        let mut text = Vec::with_capacity(2 * (SEAL_BYTES + bytes.len()));
        push_hex(&mut text, &hash.as_bytes()[..SEAL_BYTES]);
        push_hex(&mut text, &bytes);
        HeaderValue::from_bytes(&text).expect("hexadecimal digits are allowed in headers")
    }

    /// The value of a sealed header; `None` if the seal or the value is bad.
    pub fn open<T: DeserializeOwned>(&self, header: &HeaderValue) -> Option<T> {
        let bytes = match header.as_bytes() {
            text if text.len() > MAX_HEADER_BYTES => return None,
            text => read_hex(text)?,
        };
        let (seal, value) = bytes.split_at_checked(SEAL_BYTES)?;
        let hash = blake3::keyed_hash(&self.key, value);
        match bool::from(hash.as_bytes()[..SEAL_BYTES].ct_eq(seal)) {
            true => postcard::from_bytes(value).ok(),
            false => None,
        }
    }
}

/// Appends bytes as hexadecimal digits.
fn push_hex(text: &mut Vec<u8>, bytes: &[u8]) {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    for byte in bytes {
        text.push(DIGITS[usize::from(byte >> 4)]);
        text.push(DIGITS[usize::from(byte & 15)]);
    }
}

/// Reads hexadecimal digits.
fn read_hex(text: &[u8]) -> Option<Vec<u8>> {
    let digit = |byte: u8| char::from(byte).to_digit(16).map(|value| value as u8);
    let (pairs, rest) = text.as_chunks::<2>();
    let bytes = pairs
        .iter()
        .map(|[high, low]| Some(digit(*high)? << 4 | digit(*low)?));
    match rest {
        [] => bytes.collect(),
        _ => None,
    }
}

/// Hash that binds metadata to method and target.
pub fn target_hash(method: &str, target: &str) -> u64 {
    ids::stable_pair_hash(ids::stable_hash(method.as_bytes()), target)
}

/// Removes headers that belong to one connection, and all of ours.
pub fn strip_headers(headers: &mut HeaderMap) {
    strip_connection(headers);
    strip_own(headers);
}

/// Removes headers that belong to one connection (RFC 9110, 7.6.1).
pub fn strip_connection(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    ] {
        headers.remove(name);
    }
}

/// Removes headers whose names begin with our prefix.
pub fn strip_own(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(OWN_PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}
