//! The words that callers, backend servers and daemons exchange in headers.
//!
//! [`DefaultCodec`] is the product's own interface. A deployment whose callers and
//! backend servers use other names brings its own [`EdgeCodec`]; nothing
//! behind it knows these names.

use std::{fmt, time::Duration};

use hyper::{
    HeaderMap, StatusCode,
    header::{AUTHORIZATION, HeaderValue, RETRY_AFTER},
    http::response,
};
use ids::{AccountId, ServerId, ServiceId};

use crate::{
    answer::Refusal,
    wire::{self, NotRun},
};

/// Scheme of the authorization header.
const BEARER: &str = "Bearer ";

/// What a caller says beside its request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerMetadata {
    /// Its key.
    pub key: Option<Vec<u8>>,
    /// Time for which it waits.
    pub timeout: Option<Duration>,
    /// Its name for the request, which backend servers repeat.
    pub request_id: Option<HeaderValue>,
}

/// What a backend server is told beside a request.
#[derive(Clone, Copy, Debug)]
pub struct DispatchMetadata<'a> {
    /// The backend server that is meant.
    pub server: &'a ServerId,
    /// The client account that it runs for.
    pub account: Option<&'a AccountId>,
    /// The service on the VM where the request began.
    pub caller_service: Option<&'a ServiceId>,
    /// Time left.
    pub remaining: Duration,
}

/// What the head of a backend server's answer says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// It is the answer to the request.
    Answer,
    /// The backend server did not run the request.
    NotRun(NotRun),
    /// It belongs to another request.
    Foreign,
}

/// Reads and writes the headers at the edges.
pub trait EdgeCodec: fmt::Debug + Send + Sync + 'static {
    /// Reads what a caller says, and removes all that a caller may not say.
    fn read_caller(&self, headers: &mut HeaderMap) -> CallerMetadata;

    /// Writes what a backend server is told.
    fn write_dispatch(&self, headers: &mut HeaderMap, head: &DispatchMetadata<'_>);

    /// Reads the head of an answer to the request that its caller named
    /// `request`.
    fn read_answer(&self, request: Option<&HeaderValue>, answer: &response::Parts) -> AnswerKind;

    /// The caller's name for a request on its way, if it has one.
    fn request_id(&self, headers: &HeaderMap) -> Option<HeaderValue>;

    /// What the calls of one piece of work have in common by the name of a
    /// request, if its caller says so.
    fn work_id<'a>(&self, request: &'a str) -> Option<&'a str>;

    /// Writes what a caller is told beside an answer of the proxy's own.
    fn write_refusal(&self, headers: &mut HeaderMap, refusal: Refusal);
}

/// The product's own headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct DefaultCodec;

impl EdgeCodec for DefaultCodec {
    fn read_caller(&self, headers: &mut HeaderMap) -> CallerMetadata {
        let key = take_key(headers);
        wire::sanitize_headers(headers);
        CallerMetadata {
            key,
            ..CallerMetadata::default()
        }
    }

    fn write_dispatch(&self, headers: &mut HeaderMap, head: &DispatchMetadata<'_>) {
        wire::sanitize_headers(headers);
        if let Some(account) = head.account
            && let Ok(value) = account.as_str().parse()
        {
            headers.insert(wire::ACCOUNT, value);
        }
        headers.insert(wire::DEADLINE, (head.remaining.as_millis() as u64).into());
    }

    fn read_answer(&self, _request: Option<&HeaderValue>, _answer: &response::Parts) -> AnswerKind {
        AnswerKind::Answer
    }

    fn request_id(&self, _headers: &HeaderMap) -> Option<HeaderValue> {
        None
    }

    fn work_id<'a>(&self, _request: &'a str) -> Option<&'a str> {
        None
    }

    fn write_refusal(&self, headers: &mut HeaderMap, refusal: Refusal) {
        headers.insert(wire::OUTCOME, HeaderValue::from_static(refusal.outcome()));
        if let Ok(value) = refusal.to_string().parse() {
            headers.insert(wire::REASON, value);
        }
        if let Some(after) = refusal.retry_after() {
            // Whole seconds, rounded up: an earlier try would be in vain.
            let seconds = after.as_millis().div_ceil(1_000).max(1) as u64;
            headers.insert(RETRY_AFTER, seconds.into());
        }
    }
}

/// Takes the caller's key out of the headers, wherever it stands.
fn take_key(headers: &mut HeaderMap) -> Option<Vec<u8>> {
    let bearer = take_bearer(headers);
    let plain = headers.remove(wire::API_KEY);
    bearer.or_else(|| Some(plain?.as_bytes().to_vec()))
}

/// Takes the key of an `Authorization: Bearer` header.
pub fn take_bearer(headers: &mut HeaderMap) -> Option<Vec<u8>> {
    let value = headers.remove(AUTHORIZATION)?;
    let text = value.to_str().ok()?;
    Some(text.strip_prefix(BEARER)?.trim().as_bytes().to_vec())
}

/// Pause that a shedding backend server asks for by `Retry-After`.
pub fn shed_backoff(answer: &response::Parts) -> Option<Duration> {
    if answer.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let text = answer.headers.get(RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_secs)
}
