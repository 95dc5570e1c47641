//! Decides which bytes of a caller's connection the HTTP library gets, which are
//! held back, and which requests among those may run ahead.
//!
//! A state machine without I/O. It follows the boundaries of requests, so that the
//! HTTP library never has bytes behind the request that it serves. Where it can't
//! tell the next boundary, it passes on all bytes from then on, and the requests
//! are served one after the other.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use hyper::{
    HeaderMap, Method, Uri,
    header::{HeaderName, HeaderValue},
};

/// Maximum number of header fields of a request that runs ahead. The parser has
/// them on its stack.
const MAX_FIELDS: usize = 100;
/// Bytes between the head of a request and its body.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Header fields of requests that are never run ahead.
const WAITING_FIELDS: [&str; 4] = ["content-length", "transfer-encoding", "expect", "upgrade"];

/// Limits of what is read ahead on a connection.
#[derive(Clone, Copy, Debug)]
pub struct AheadLimits {
    /// Maximum number of requests that run ahead.
    pub requests: usize,
    /// Number of bytes held back from which on no more are read.
    pub held_bytes: usize,
}

/// Where the next byte of the connection belongs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    /// To the start of a request.
    Start,
    /// To the head of a request, with this many bytes of [`HEAD_END`] before it.
    Head(usize),
    /// To the body of the request whose head has just been passed on, or to the
    /// next request. So many bytes of its body were passed on with the head.
    Begun(u64),
    /// To a body of which this many bytes are left.
    Body(u64),
    /// Unknown: all bytes are passed on.
    Plain,
}

/// The head of a request that may run ahead.
#[derive(Clone, Debug)]
pub struct AheadHead {
    /// Method: GET or HEAD.
    pub method: Method,
    /// Target of the request.
    pub uri: Uri,
    /// Header fields.
    pub headers: HeaderMap,
}

/// How the HTTP library has understood the head that it was given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BegunRequest {
    /// It is the first of the requests that run ahead.
    Ahead,
    /// It has not been run yet.
    Next,
}

/// Plan of one connection.
#[derive(Debug)]
pub struct AheadPlan {
    limits: AheadLimits,
    framing: Framing,
    /// Bytes that were not passed on.
    held: BytesMut,
    /// Lengths of the heads at the start of `held` whose requests run ahead. Of the
    /// first, a part may have been passed on already, which does not count.
    heads: VecDeque<usize>,
    /// Sum of those lengths.
    examined: usize,
    /// Whether the head that is being passed on is that of a request that runs
    /// ahead.
    feeds_ahead: bool,
    /// Whether the next request has to wait until all before it are answered.
    barred: bool,
}

impl AheadPlan {
    /// Creates the plan of a connection that has just been accepted.
    pub fn new(limits: AheadLimits) -> Self {
        Self {
            limits,
            framing: Framing::Start,
            held: BytesMut::new(),
            heads: VecDeque::new(),
            examined: 0,
            feeds_ahead: false,
            barred: false,
        }
    }

    /// Takes a part of the connection's bytes that was read while none were held,
    /// and returns how many of them to pass on. The others are held.
    ///
    /// `busy` tells whether a request is in flight.
    pub fn arrive(&mut self, busy: bool, chunk: &[u8]) -> usize {
        let passed = self.split(busy, chunk);
        self.held.extend_from_slice(&chunk[passed..]);
        passed
    }

    /// Holds bytes that arrived behind other held bytes.
    pub fn hold(&mut self, chunk: &[u8]) {
        self.held.extend_from_slice(chunk);
    }

    /// Whether bytes are held.
    pub fn is_holding(&self) -> bool {
        !self.held.is_empty()
    }

    /// Whether more bytes may be read while a request is in flight.
    pub fn may_read(&self) -> bool {
        self.held.len() < self.limits.held_bytes
    }

    /// Returns held bytes to pass on, at most `room`; empty if none may be.
    pub fn feed(&mut self, busy: bool, room: usize) -> Bytes {
        if matches!(self.framing, Framing::Begun(_)) {
            // The library reads on although it has a complete head, so it does not
            // agree on where the head ends.
            self.serve_plainly();
        }
        let length = match self.heads.front_mut() {
            Some(_) if busy => 0,
            Some(left) => {
                let length = room.min(*left);
                *left -= length;
                if *left == 0 {
                    self.heads.pop_front();
                    self.framing = Framing::Begun(0);
                }
                self.examined -= length;
                self.feeds_ahead = true;
                length
            }
            None => {
                let held = std::mem::take(&mut self.held);
                let length = self.split(busy, &held[..held.len().min(room)]);
                self.held = held;
                length
            }
        };
        self.held.split_to(length).freeze()
    }

    /// Records that the HTTP library has read a head, with the length of the body
    /// if it is known. Returns which request that is.
    pub fn begin(&mut self, body_length: Option<u64>) -> BegunRequest {
        self.framing = match (self.framing, body_length) {
            (Framing::Begun(passed), Some(length)) if passed <= length => match length - passed {
                0 => Framing::Start,
                left => Framing::Body(left),
            },
            // The library does not agree on where the head ends, or the body is
            // chunked.
            _ => Framing::Plain,
        };
        match std::mem::take(&mut self.feeds_ahead) {
            true => BegunRequest::Ahead,
            false => {
                self.barred = false;
                BegunRequest::Next
            }
        }
    }

    /// Lets no request run ahead of the one in flight.
    pub fn bar(&mut self) {
        self.barred = true;
    }

    /// Whether all bytes are passed on and the requests are served one after the
    /// other.
    pub fn is_plain(&self) -> bool {
        self.framing == Framing::Plain
    }

    /// Has all bytes passed on from now on, and the requests served one after the
    /// other.
    pub fn serve_plainly(&mut self) {
        self.framing = Framing::Plain;
        self.heads.clear();
        self.examined = 0;
        self.feeds_ahead = false;
    }

    /// Returns the next request to run ahead, if there is one: it has to be held
    /// completely, have no body, be read-only, and `may_run` has to allow it. All
    /// requests before it, back to the one in flight, have to be such requests.
    pub fn next_ahead(
        &mut self,
        busy: bool,
        may_run: impl FnOnce(&AheadHead) -> bool,
    ) -> Option<AheadHead> {
        let open = !self.heads.is_empty() || busy && self.framing == Framing::Start;
        if self.barred || !open || self.heads.len() >= self.limits.requests {
            return None;
        }
        let rest = &self.held[self.examined..];
        let length = head_length(rest)?;
        let parsed = parse_ahead(&rest[..length]);
        let Some((head, is_last)) = parsed.filter(|(head, _)| may_run(head)) else {
            self.barred = true;
            return None;
        };
        self.barred = is_last;
        self.examined += length;
        self.heads.push_back(length);
        Some(head)
    }

    /// Returns how many bytes of `chunk` to pass on.
    fn split(&mut self, busy: bool, chunk: &[u8]) -> usize {
        match self.framing {
            Framing::Plain => chunk.len(),
            Framing::Start | Framing::Head(_) if busy => 0,
            Framing::Start => match head_length(chunk) {
                Some(head) if head == chunk.len() => {
                    self.framing = Framing::Begun(0);
                    head
                }
                Some(head) => self.split_body(chunk, head),
                None => {
                    self.framing = Framing::Head(match_end(0, chunk).0);
                    chunk.len()
                }
            },
            Framing::Head(matched) => match match_end(matched, chunk) {
                (_, Some(end)) => {
                    self.framing = Framing::Begun(0);
                    end
                }
                (matched, None) => {
                    self.framing = Framing::Head(matched);
                    chunk.len()
                }
            },
            // As in `feed`.
            Framing::Begun(_) => {
                self.framing = Framing::Plain;
                chunk.len()
            }
            Framing::Body(left) => {
                let length = chunk.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                self.framing = match left - length as u64 {
                    0 => Framing::Start,
                    left => Framing::Body(left),
                };
                length
            }
        }
    }

    /// Returns how many bytes of `chunk` to pass on, which begins with a head of
    /// `head` bytes and goes on behind it.
    fn split_body(&mut self, chunk: &[u8], head: usize) -> usize {
        // Bodies are rare with these methods. If there is one, it follows later.
        if chunk.starts_with(b"GET ") || chunk.starts_with(b"HEAD ") {
            self.framing = Framing::Begun(0);
            return head;
        }
        match body_length(&chunk[..head]) {
            Some(length) => {
                let passed =
                    (chunk.len() - head).min(usize::try_from(length).unwrap_or(usize::MAX));
                self.framing = Framing::Begun(passed as u64);
                head + passed
            }
            None => {
                self.framing = Framing::Plain;
                chunk.len()
            }
        }
    }
}

/// Returns the length of the head that `bytes` begins with, if it is complete.
fn head_length(bytes: &[u8]) -> Option<usize> {
    let ends = memchr::memchr_iter(b'\r', bytes);
    let mut ends = ends.filter(|at| bytes[*at..].starts_with(HEAD_END));
    ends.next().map(|at| at + HEAD_END.len())
}

/// Follows [`HEAD_END`] through `bytes`, of which `matched` bytes came before.
/// Returns how many bytes of it are matched at the end of `bytes`, and where it
/// ends if it does.
fn match_end(mut matched: usize, bytes: &[u8]) -> (usize, Option<usize>) {
    for (at, byte) in bytes.iter().enumerate() {
        matched = match *byte {
            byte if byte == HEAD_END[matched] => matched + 1,
            b'\r' => 1,
            _ => 0,
        };
        if matched == HEAD_END.len() {
            return (0, Some(at + 1));
        }
    }
    (matched, None)
}

/// Parses a head. Returns `None` if it is malformed or has too many fields.
fn parse_head<T>(
    bytes: &[u8],
    read: impl FnOnce(&httparse::Request<'_, '_>) -> Option<T>,
) -> Option<T> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length == bytes.len() => read(&request),
        _ => None,
    }
}

/// Returns the length of the body of a request, or `None` if its head does not tell.
fn body_length(head: &[u8]) -> Option<u64> {
    parse_head(head, |request| {
        let mut length = None;
        for field in request.headers.iter() {
            if field.name.eq_ignore_ascii_case("transfer-encoding") {
                return None;
            }
            if field.name.eq_ignore_ascii_case("content-length") {
                let text = std::str::from_utf8(field.value).ok()?;
                let digits = text.bytes().all(|byte| byte.is_ascii_digit());
                match length {
                    None if digits => length = Some(text.parse().ok()?),
                    _ => return None,
                }
            }
        }
        Some(length.unwrap_or(0))
    })
}

/// Parses the head of a request that may run ahead. The second value tells whether
/// the client closes the connection after it.
fn parse_ahead(head: &[u8]) -> Option<(AheadHead, bool)> {
    parse_head(head, |request| {
        let method = match request.method? {
            "GET" => Method::GET,
            "HEAD" => Method::HEAD,
            _ => return None,
        };
        if request.version? != 1 {
            return None;
        }
        let uri: Uri = request.path?.parse().ok()?;
        let mut headers = HeaderMap::with_capacity(request.headers.len());
        for field in request.headers.iter() {
            let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(field.value).ok()?;
            headers.append(name, value);
        }
        if WAITING_FIELDS
            .iter()
            .any(|name| headers.contains_key(*name))
        {
            return None;
        }
        let is_last = closes(&headers);
        Some((
            AheadHead {
                method,
                uri,
                headers,
            },
            is_last,
        ))
    })
}

/// Whether the client closes the connection after a request with these fields.
pub fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(hyper::header::CONNECTION).iter();
    let mut tokens = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    tokens.any(|token| token.trim().eq_ignore_ascii_case("close"))
}
