//! Bodies that pass through.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame, SizeHint};

/// Error of a body that breaks off.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Any body on its way through the daemon.
pub type ProxyBody = UnsyncBoxBody<Bytes, BodyError>;

/// A body without bytes.
pub fn empty_body() -> ProxyBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body that is there in whole.
pub fn full_body(bytes: impl Into<Bytes>) -> ProxyBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Boxes a body from the network.
pub fn box_body<B>(body: B) -> ProxyBody
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    body.map_err(Into::into).boxed_unsync()
}

/// How a guarded body ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    /// All of it was passed on.
    Complete,
    /// It broke off on the way here.
    Broken,
    /// Whoever read it went away.
    Dropped,
}

/// Calls back once, when a body has ended in whichever way.
pub struct ObservedBody<F: FnOnce(BodyEnd)> {
    inner: ProxyBody,
    on_end: Option<F>,
}

impl<F: FnOnce(BodyEnd)> ObservedBody<F> {
    /// Guards `inner`.
    pub fn new(inner: ProxyBody, on_end: F) -> Self {
        Self {
            inner,
            on_end: Some(on_end),
        }
    }

    /// Reports the end, the first time.
    fn end(&mut self, end: BodyEnd) {
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
            Poll::Ready(None) => self.end(BodyEnd::Complete),
            Poll::Ready(Some(Err(_))) => self.end(BodyEnd::Broken),
            Poll::Ready(Some(Ok(_))) if self.inner.is_end_stream() => self.end(BodyEnd::Complete),
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
        // A body without bytes may be dropped without a poll.
        let end = match self.inner.is_end_stream() {
            true => BodyEnd::Complete,
            false => BodyEnd::Dropped,
        };
        self.end(end);
    }
}

/// A body after a first frame that was already taken from it.
pub struct PrefixedBody {
    first: Option<Frame<Bytes>>,
    rest: ProxyBody,
}

impl PrefixedBody {
    /// Puts `prefix` before `rest`.
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

/// A body that breaks off when no frame comes for a time.
pub struct TimeoutBody {
    inner: ProxyBody,
    limit: Duration,
    timer: Pin<Box<tokio::time::Sleep>>,
}

impl TimeoutBody {
    /// Watches `inner`.
    pub fn new(inner: ProxyBody, limit: Duration) -> Self {
        Self {
            inner,
            limit,
            timer: Box::pin(tokio::time::sleep(limit)),
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
            let next = tokio::time::Instant::now() + self.limit;
            self.timer.as_mut().reset(next);
            return polled;
        }
        match self.timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Some(Err("no byte for too long".into()))),
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

/// A body read up to a bound.
pub enum BufferedBody {
    /// All of it.
    Complete(Bytes),
    /// More than the bound: what was read, and the rest.
    Partial(Bytes, ProxyBody),
}

/// Reads a body up to `bound` bytes.
///
/// # Errors
///
/// The body's own error if it breaks off before its end and the bound.
pub async fn buffer_body(mut body: ProxyBody, bound: usize) -> Result<BufferedBody, BodyError> {
    let mut held = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            // Trailers are not passed on.
            continue;
        };
        if held.is_empty() && body.is_end_stream() {
            return Ok(BufferedBody::Complete(data));
        }
        held.extend_from_slice(&data);
        if held.len() > bound {
            return Ok(BufferedBody::Partial(held.freeze(), body));
        }
    }
    Ok(BufferedBody::Complete(held.freeze()))
}
