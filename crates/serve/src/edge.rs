//! Headers that the daemon exchanges with callers and backend servers.
//!
//! [`DefaultCodec`] implements the proxy's own headers. A deployment whose
//! callers and backend servers use other headers supplies another
//! [`EdgeCodec`]; no other part of the daemon depends on their names.

use std::{fmt, time::Duration};

use hop::ServerNotice;
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

/// Scheme of the `Authorization` header, with the space that follows it.
const BEARER: &str = "Bearer ";

/// Metadata that a caller sends in the headers of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerMetadata {
    /// Key of the caller.
    pub key: Option<Vec<u8>>,
    /// Time for which the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// Id that the caller gave to the request. Backend servers repeat it in
    /// their answers.
    pub request_id: Option<HeaderValue>,
}

/// Metadata that a backend server receives in the headers of a request.
#[derive(Clone, Copy, Debug)]
pub struct DispatchMetadata<'a> {
    /// The backend server that is to run the request.
    pub server: &'a ServerId,
    /// Client account on whose behalf the request runs; `None` on an open
    /// route.
    pub account: Option<&'a AccountId>,
    /// Service of the backend server on the VM of the ingress, if there is one.
    pub caller_service: Option<&'a ServiceId>,
    /// Time left until the deadline.
    pub remaining: Duration,
}

/// Meaning of a backend server's answer, judged by its head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// The answer belongs to the request.
    Answer,
    /// The backend server did not run the request.
    NotRun(NotRun),
    /// The answer does not belong to the request.
    Foreign,
}

/// Reads and writes the headers of callers and backend servers.
pub trait EdgeCodec: fmt::Debug + Send + Sync + 'static {
    /// Reads the metadata of a caller, and removes all headers that a caller may
    /// not set.
    fn read_caller(&self, headers: &mut HeaderMap) -> CallerMetadata;

    /// Writes the metadata for a backend server.
    fn write_dispatch(&self, headers: &mut HeaderMap, metadata: &DispatchMetadata<'_>);

    /// Classifies an answer, by its head, to the request with the id
    /// `request_id`.
    fn read_answer(&self, request_id: Option<&HeaderValue>, answer: &response::Parts)
    -> AnswerKind;

    /// Returns what the backend server says about itself in an answer.
    fn read_notice(&self, answer: &response::Parts) -> ServerNotice;

    /// Returns for how long a backend server stays cold, if an answer of its health
    /// endpoint says so.
    fn read_cold(&self, _headers: &HeaderMap) -> Option<Duration> {
        None
    }

    /// Returns the id that the caller gave to a request, if there is one.
    fn request_id(&self, headers: &HeaderMap) -> Option<HeaderValue>;

    /// Returns the id of the piece of work that a request belongs to, if its
    /// request id contains one. All calls of one piece of work share that id.
    fn work_id<'a>(&self, request_id: &'a str) -> Option<&'a str>;

    /// Writes the headers of an answer by which the proxy refuses a request.
    fn write_refusal(&self, headers: &mut HeaderMap, refusal: Refusal);
}

/// The proxy's own headers.
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

    fn write_dispatch(&self, headers: &mut HeaderMap, metadata: &DispatchMetadata<'_>) {
        wire::sanitize_headers(headers);
        if let Some(account) = metadata.account
            && let Ok(value) = account.as_str().parse()
        {
            headers.insert(wire::ACCOUNT, value);
        }
        headers.insert(
            wire::DEADLINE,
            (metadata.remaining.as_millis() as u64).into(),
        );
    }

    fn read_answer(
        &self,
        _request_id: Option<&HeaderValue>,
        _answer: &response::Parts,
    ) -> AnswerKind {
        AnswerKind::Answer
    }

    fn read_notice(&self, _answer: &response::Parts) -> ServerNotice {
        ServerNotice::default()
    }

    fn request_id(&self, _headers: &HeaderMap) -> Option<HeaderValue> {
        None
    }

    fn work_id<'a>(&self, _request_id: &'a str) -> Option<&'a str> {
        None
    }

    fn write_refusal(&self, headers: &mut HeaderMap, refusal: Refusal) {
        headers.insert(wire::OUTCOME, HeaderValue::from_static(refusal.outcome()));
        if let Ok(value) = refusal.to_string().parse() {
            headers.insert(wire::REASON, value);
        }
        if let Some(after) = refusal.retry_after() {
            // `Retry-After` has whole seconds. They are rounded up, since an
            // earlier retry would fail.
            let seconds = after.as_millis().div_ceil(1_000).max(1) as u64;
            headers.insert(RETRY_AFTER, seconds.into());
        }
    }
}

/// Removes the caller's key from the headers and returns it. A bearer token
/// takes precedence over the key header.
fn take_key(headers: &mut HeaderMap) -> Option<Vec<u8>> {
    let bearer = take_bearer(headers);
    let api_key = headers.remove(wire::API_KEY);
    bearer.or_else(|| Some(api_key?.as_bytes().to_vec()))
}

/// Removes the `Authorization` header and returns its token if the scheme is
/// `Bearer`.
pub fn take_bearer(headers: &mut HeaderMap) -> Option<Vec<u8>> {
    let value = headers.remove(AUTHORIZATION)?;
    let text = value.to_str().ok()?;
    Some(text.strip_prefix(BEARER)?.trim().as_bytes().to_vec())
}

/// Returns the backoff that a backend server requests when it sheds load: the
/// seconds of `Retry-After` in an answer with status 503.
pub fn shed_backoff(answer: &response::Parts) -> Option<Duration> {
    if answer.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let text = answer.headers.get(RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_secs)
}
