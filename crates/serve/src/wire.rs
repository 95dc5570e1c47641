//! Headers that callers, daemons and backend servers exchange.
//!
//! The metadata of an attempt is one header, which consists of a keyed hash and
//! a value encoded by `postcard`, both as base64. The hash is checked before the
//! value is decoded.

use std::{fmt, time::Duration};

pub use hop::NotRun;

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD as BASE64};
use hop::{OfferId, ServerLoad, ServerNotice};
use hyper::{HeaderMap, header::HeaderName, header::HeaderValue};
use ids::{AccountId, ServerId, ServiceId, VmId};
use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned};
use subtle::ConstantTimeEq;

/// Outcome of a request that has no answer of a backend server, for callers.
pub const OUTCOME: HeaderName = HeaderName::from_static("dogwoodshore-outcome");
/// Reason why a request was refused, for callers.
pub const REASON: HeaderName = HeaderName::from_static("dogwoodshore-reason");
/// Metadata of an attempt, between daemons.
pub const ATTEMPT: HeaderName = HeaderName::from_static("dogwoodshore-attempt");
/// Report of an egress about an attempt, or proof of the sender of a pull reply,
/// between daemons.
pub const REPORT: HeaderName = HeaderName::from_static("dogwoodshore-report");
/// What a daemon already has when it pulls newer configuration from a peer,
/// between daemons.
pub const PULL: HeaderName = HeaderName::from_static("dogwoodshore-pull");
/// Client account on whose behalf a request runs, for backend servers.
pub const ACCOUNT: HeaderName = HeaderName::from_static("dogwoodshore-account");
/// Milliseconds left until the deadline, for backend servers.
pub const DEADLINE: HeaderName = HeaderName::from_static("dogwoodshore-deadline-ms");
/// Key of a caller, as an alternative to `Authorization: Bearer`.
pub const API_KEY: HeaderName = HeaderName::from_static("x-api-key");

/// Prefix of the names of the proxy's own headers.
const OWN_PREFIX: &str = "dogwoodshore-";
/// Context that separates header hashes from other uses of the secret.
const SEAL_CONTEXT: &str = "dogwoodshore 2026 attempt header";
/// Size of the keyed hash in a header, in bytes.
const SEAL_BYTES: usize = 16;
/// Maximum size of a sealed header, in bytes. Longer ones are rejected unread.
const MAX_HEADER_BYTES: usize = 2_048;

/// Metadata of an attempt whose offer an egress has granted.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Attempt {
    /// Random number of the request, which is the same for all its attempts.
    pub request: u64,
    /// VM of the ingress that makes the attempt.
    pub from: VmId,
    /// Id of the granted offer, unique for that ingress.
    pub offer: OfferId,
    /// Backend server that is to run the request.
    pub server: ServerId,
    /// Client account of the caller; `None` on an open route.
    pub account: Option<AccountId>,
    /// Service of the backend server on the VM of the ingress, if there is one.
    pub caller_service: Option<ServiceId>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time left until the deadline, in microseconds.
    pub remaining_us: u64,
    /// Time after which an unanswered request counts as slow, in microseconds;
    /// zero if the ingress has no estimate yet.
    pub slow_limit_us: u64,
    /// Hash of the method and the target, which binds the metadata to the
    /// request.
    pub target_hash: u64,
    /// Time left until the body of the answer has to be complete, in
    /// microseconds; `None` if only its progress is limited.
    #[serde(deserialize_with = "decode_last")]
    pub answer_us: Option<u64>,
}

/// Decodes a field that daemons of an earlier version do not send; it is `None`
/// in what they send. Only the last field of a value can be decoded like this.
fn decode_last<'de, D, T>(decoder: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    Ok(Option::deserialize(decoder).unwrap_or(None))
}

impl Attempt {
    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> Duration {
        Duration::from_micros(self.remaining_us)
    }

    /// Returns the time left until the body of the answer has to be complete, if
    /// there is a limit.
    pub fn answer_remaining(&self) -> Option<Duration> {
        self.answer_us.map(Duration::from_micros)
    }
}

/// Outcome of an attempt at the egress.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum EgressOutcome {
    /// The backend server answered.
    Answered,
    /// The request was not run.
    NotRun(NotRun),
    /// The request was sent, and its answer was lost.
    Lost,
    /// The request was sent, and the deadline passed before an answer.
    TimedOut,
}

/// Report that an egress attaches to every answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EgressReport {
    /// Outcome of the attempt.
    pub outcome: EgressOutcome,
    /// Time from sending the request to the head of the answer, in microseconds.
    pub service_us: u64,
    /// Load and health of the backend server.
    pub load: ServerLoad,
    /// What the backend server says about itself; `None` if the egress has not heard it
    /// from the server.
    #[serde(deserialize_with = "decode_last")]
    pub notice: Option<ServerNotice>,
}

/// Encodes header values with a hash keyed by the fleet secret, and decodes
/// them. The hash authenticates a value but does not encrypt it.
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
    /// Derives the key of the seal from the secret that the fleet shares.
    pub fn new(secret: &[u8]) -> Self {
        Self {
            key: blake3::derive_key(SEAL_CONTEXT, secret),
        }
    }

    /// Returns a value as a sealed header.
    pub fn seal<T: Serialize>(&self, value: &T) -> HeaderValue {
        let bytes = postcard::to_stdvec(value).expect("postcard can encode every header value");
        let hash = blake3::keyed_hash(&self.key, &bytes);
        let mut sealed = Vec::with_capacity(SEAL_BYTES + bytes.len());
        sealed.extend_from_slice(&hash.as_bytes()[..SEAL_BYTES]);
        sealed.extend_from_slice(&bytes);
        HeaderValue::from_str(&BASE64.encode(&sealed)).expect("base64 is valid in a header value")
    }

    /// Returns the value of a sealed header; `None` if the header is too long,
    /// was not sealed with the key, or contains no such value.
    pub fn open<T: DeserializeOwned>(&self, header: &HeaderValue) -> Option<T> {
        let bytes = match header.as_bytes() {
            text if text.len() > MAX_HEADER_BYTES => return None,
            text => BASE64.decode(text).ok()?,
        };
        let (seal, value) = bytes.split_at_checked(SEAL_BYTES)?;
        let hash = blake3::keyed_hash(&self.key, value);
        match bool::from(hash.as_bytes()[..SEAL_BYTES].ct_eq(seal)) {
            true => postcard::from_bytes(value).ok(),
            false => None,
        }
    }
}

/// Returns the hash that binds metadata to the method and target of a request.
pub fn target_hash(method: &str, target: &str) -> u64 {
    ids::stable_pair_hash(ids::stable_hash(method.as_bytes()), target)
}

/// Removes the headers that belong to one connection, and the proxy's own
/// headers.
pub fn sanitize_headers(headers: &mut HeaderMap) {
    strip_connection_headers(headers);
    strip_own_headers(headers);
}

/// Removes the headers that belong to one connection (RFC 9110, 7.6.1).
pub fn strip_connection_headers(headers: &mut HeaderMap) {
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

/// Removes the proxy's own headers, which have [`OWN_PREFIX`].
pub fn strip_own_headers(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(OWN_PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}
