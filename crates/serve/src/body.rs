//! Bodies of requests and answers that the daemon forwards.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame, SizeHint};

use crate::budget::ByteCharge;

/// Error of a body that ends before it is complete.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Error of a body that is not complete at the time that the caller gave.
#[derive(Debug)]
pub struct DeadlinePassed;

impl std::fmt::Display for DeadlinePassed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the time that the caller gave has passed")
    }
}

impl std::error::Error for DeadlinePassed {}

/// Any body that the daemon forwards or creates.
pub type ProxyBody = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body without bytes.
pub fn empty_body() -> ProxyBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body of bytes that are already complete.
pub fn full_body(bytes: impl Into<Bytes>) -> ProxyBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Boxes a body, so that it has the common type.
pub fn box_body<B>(body: B) -> ProxyBody
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    body.map_err(Into::into).boxed_unsync()
}

/// How an [`ObservedBody`] ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    /// All of it was forwarded.
    Complete,
    /// It ended early with an error.
    Broken,
    /// Its reader dropped it before its end.
    Dropped,
}

/// A body that calls a function once when it has ended in any way.
pub struct ObservedBody<F: FnOnce(BodyEnd)> {
    inner: ProxyBody,
    on_end: Option<F>,
}

impl<F: FnOnce(BodyEnd)> ObservedBody<F> {
    /// Creates a body that calls `on_end` when `inner` has ended.
    pub fn new(inner: ProxyBody, on_end: F) -> Self {
        Self {
            inner,
            on_end: Some(on_end),
        }
    }

    /// Calls the function, unless it was called before.
    fn report_end(&mut self, end: BodyEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }
}

impl<F: FnOnce(BodyEnd) + Unpin> Body for ObservedBody<F> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.report_end(BodyEnd::Complete),
            Poll::Ready(Some(Err(_))) => self.report_end(BodyEnd::Broken),
            Poll::Ready(Some(Ok(_))) if self.inner.is_end_stream() => {
                self.report_end(BodyEnd::Complete)
            }
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<F: FnOnce(BodyEnd)> Drop for ObservedBody<F> {
    fn drop(&mut self) {
        // A body without bytes is complete even if it was never polled.
        let end = match self.inner.is_end_stream() {
            true => BodyEnd::Complete,
            false => BodyEnd::Dropped,
        };
        self.report_end(end);
    }
}

/// A body whose first bytes were already read, followed by its remaining frames.
pub struct PrefixedBody {
    first: Option<Frame<Bytes>>,
    rest: ProxyBody,
}

impl PrefixedBody {
    /// Creates a body of `prefix` followed by `rest`.
    pub fn new(prefix: Bytes, rest: ProxyBody) -> Self {
        let first = (!prefix.is_empty()).then(|| Frame::data(prefix));
        Self { first, rest }
    }
}

impl Body for PrefixedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.first.take() {
            Some(frame) => Poll::Ready(Some(Ok(frame))),
            None => Pin::new(&mut self.rest).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }
}

/// A body that fails when no frame arrives for a time.
pub struct TimeoutBody {
    inner: ProxyBody,
    timeout: Duration,
    timer: Pin<Box<tokio::time::Sleep>>,
}

impl TimeoutBody {
    /// Creates a body that fails when `inner` has no frame for `timeout`.
    pub fn new(inner: ProxyBody, timeout: Duration) -> Self {
        Self {
            inner,
            timeout,
            timer: Box::pin(tokio::time::sleep(timeout)),
        }
    }
}

impl Body for TimeoutBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        if polled.is_ready() {
            let next = tokio::time::Instant::now() + self.timeout;
            self.timer.as_mut().reset(next);
            return polled;
        }
        match self.timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Some(Err(
                "no frame of the body within the stall timeout".into(),
            ))),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A body that fails at a time, however many bytes still arrive.
pub struct DeadlineBody {
    inner: ProxyBody,
    timer: Pin<Box<tokio::time::Sleep>>,
}

impl DeadlineBody {
    /// Creates a body that fails at `deadline` unless `inner` has ended.
    pub fn new(inner: ProxyBody, deadline: tokio::time::Instant) -> Self {
        Self {
            inner,
            timer: Box::pin(tokio::time::sleep_until(deadline)),
        }
    }
}

impl Body for DeadlineBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Some(Err(DeadlinePassed.into()))),
            Poll::Pending => Pin::new(&mut self.inner).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Maximum size of a piece that a [`ChargedBody`] passes on.
const MAX_PIECE_BYTES: usize = 16_384;

/// A body whose bytes are charged until it is dropped. It passes its bytes on in
/// pieces: the HTTP library holds a whole frame beyond the limit of its buffer.
pub struct ChargedBody {
    inner: ProxyBody,
    /// Rest of the last frame.
    rest: Bytes,
    _charge: ByteCharge,
}

impl ChargedBody {
    /// Keeps `charge` until `inner` is dropped.
    pub fn new(inner: ProxyBody, charge: ByteCharge) -> Self {
        Self {
            inner,
            rest: Bytes::new(),
            _charge: charge,
        }
    }
}

impl Body for ChargedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.rest.is_empty() {
            let frame = match ready!(Pin::new(&mut self.inner).poll_frame(cx)) {
                Some(Ok(frame)) => frame,
                end => return Poll::Ready(end),
            };
            match frame.into_data() {
                Ok(data) => self.rest = data,
                Err(frame) => return Poll::Ready(Some(Ok(frame))),
            }
        }
        let length = self.rest.len().min(MAX_PIECE_BYTES);
        let piece = self.rest.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match self.inner.size_hint().exact() {
            Some(left) => SizeHint::with_exact(left + self.rest.len() as u64),
            None => SizeHint::default(),
        }
    }
}

/// A body that was read up to a maximum size.
pub enum BufferedBody {
    /// All bytes of the body.
    Complete(Bytes),
    /// The bytes that were read of a larger body, and the rest of it.
    Partial(Bytes, ProxyBody),
}

/// Buffers a body until it ends or exceeds `max_bytes`.
///
/// # Errors
///
/// Returns the error of the body if it fails before it ends or exceeds
/// `max_bytes`.
pub async fn buffer_body(body: ProxyBody, max_bytes: usize) -> Result<BufferedBody, BodyError> {
    buffer_body_if(body, max_bytes, |_| true).await
}

/// Buffers a body like [`buffer_body`], and no further once `may_hold` has returned
/// false for the number of bytes that have just arrived.
///
/// # Errors
///
/// Returns the error of the body.
pub async fn buffer_body_if(
    mut body: ProxyBody,
    max_bytes: usize,
    mut may_hold: impl FnMut(usize) -> bool,
) -> Result<BufferedBody, BodyError> {
    let mut buffered = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            // Trailers are not forwarded.
            continue;
        };
        let may_hold = may_hold(data.len());
        if buffered.is_empty() && body.is_end_stream() {
            return Ok(BufferedBody::Complete(data));
        }
        buffered.extend_from_slice(&data);
        if !may_hold || buffered.len() > max_bytes {
            return Ok(BufferedBody::Partial(buffered.freeze(), body));
        }
    }
    Ok(BufferedBody::Complete(buffered.freeze()))
}
