//! Requests that run ahead on a connection, and their answers until it is their
//! turn.

use std::{
    collections::VecDeque,
    future::Future,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::{
    Method, Response, Uri,
    body::{Body, Frame, SizeHint},
};

use route::FailedOutcome;

use crate::{
    answer::Refusal,
    body::{BodyError, DeadlinePassed, ProxyBody},
    budget::ByteAccount,
    edge::EdgeCodec,
};

/// Bytes of the answers of one connection that are buffered ahead.
#[derive(Clone, Debug)]
pub struct AheadBytes {
    used: Arc<AtomicUsize>,
    limit: usize,
    /// Bytes that all clients hold.
    account: Arc<ByteAccount>,
}

impl AheadBytes {
    /// Allows about `limit` bytes: the frame that exceeds them is still buffered.
    pub fn new(limit: usize, account: Arc<ByteAccount>) -> Self {
        Self {
            used: Arc::default(),
            limit,
            account,
        }
    }

    /// Whether no more bytes may be buffered.
    pub fn is_full(&self) -> bool {
        self.used.load(Ordering::Relaxed) >= self.limit || !self.account.has_spare()
    }

    /// Counts bytes that were buffered.
    fn add(&self, bytes: usize) {
        self.used.fetch_add(bytes, Ordering::Relaxed);
        self.account.add(bytes);
    }

    /// Counts bytes that are no longer buffered.
    fn remove(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
        self.account.remove(bytes);
    }
}

/// Body of an answer whose first frames are buffered. It looks as it did before any
/// were.
struct AheadBody {
    frames: VecDeque<Result<Frame<Bytes>, BodyError>>,
    /// Bytes in `frames`.
    buffered: usize,
    /// The body behind `frames`; `None` once it has ended.
    rest: Option<ProxyBody>,
    /// Number of bytes that are to be passed on, if it is known. If it is not, the
    /// HTTP library has to send the body in chunks, even if all of it is buffered.
    /// It stays when the body breaks off: with a shorter length, the library would
    /// take the answer for complete and write the next one into it.
    left: Option<u64>,
    budget: AheadBytes,
}

impl AheadBody {
    /// Wraps a body of which nothing is buffered.
    fn new(body: ProxyBody, budget: AheadBytes) -> Self {
        Self {
            frames: VecDeque::new(),
            buffered: 0,
            left: body.size_hint().exact(),
            rest: Some(body),
            budget,
        }
    }

    /// Buffers frames while the budget allows it.
    fn poll_buffer(&mut self, context: &mut Context<'_>) {
        while !self.budget.is_full() && self.poll_rest(context) {}
    }

    /// Buffers the next frame. Returns whether there was one.
    fn poll_rest(&mut self, context: &mut Context<'_>) -> bool {
        // A body with a time limit fails when it is polled late, even behind its end.
        let Some(rest) = self.rest.as_mut().filter(|rest| !rest.is_end_stream()) else {
            self.rest = None;
            return false;
        };
        let Poll::Ready(frame) = Pin::new(rest).poll_frame(context) else {
            return false;
        };
        if !matches!(frame, Some(Ok(_))) {
            self.rest = None;
        }
        let bytes = frame.as_ref().map_or(0, data_length);
        self.buffered += bytes;
        self.budget.add(bytes);
        self.frames.extend(frame);
        true
    }

    /// Returns why the body has failed, if it has before its first byte is passed on.
    fn failure(&mut self, context: &mut Context<'_>) -> Option<FailedOutcome> {
        // It may have failed while the budget did not allow to poll it.
        self.poll_rest(context);
        match self.frames.back() {
            Some(Err(error)) if error.is::<DeadlinePassed>() => Some(FailedOutcome::UnknownTimeout),
            Some(Err(_)) => Some(FailedOutcome::Unknown),
            _ => None,
        }
    }
}

impl Body for AheadBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = match (self.frames.pop_front(), &mut self.rest) {
            (Some(frame), _) => {
                let bytes = data_length(&frame);
                self.buffered -= bytes;
                self.budget.remove(bytes);
                frame
            }
            (None, Some(rest)) => match ready!(Pin::new(rest).poll_frame(context)) {
                Some(frame) => frame,
                None => return Poll::Ready(None),
            },
            (None, None) => return Poll::Ready(None),
        };
        let bytes = data_length(&frame) as u64;
        self.left = self.left.map(|left| left.saturating_sub(bytes));
        Poll::Ready(Some(frame))
    }

    fn is_end_stream(&self) -> bool {
        let rest_ended = match &self.rest {
            Some(rest) => rest.is_end_stream(),
            None => self.left == Some(0),
        };
        self.frames.is_empty() && rest_ended
    }

    fn size_hint(&self) -> SizeHint {
        self.left
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Number of data bytes of a frame.
fn data_length(frame: &Result<Frame<Bytes>, BodyError>) -> usize {
    let data = frame.as_ref().ok().and_then(|frame| frame.data_ref());
    data.map_or(0, Bytes::len)
}

impl Drop for AheadBody {
    fn drop(&mut self) {
        self.budget.remove(self.buffered);
    }
}

/// State of a request that runs ahead.
enum RunState {
    /// There is no answer yet.
    Running(BoxFuture<'static, Response<ProxyBody>>),
    /// The head of the answer is there; `None` once it was taken.
    Answered(Option<Response<AheadBody>>),
}

/// A request that runs ahead. As a future, it yields its answer.
///
/// Dropping it cancels the request, as if its client had disconnected.
pub struct AheadRun {
    method: Method,
    uri: Uri,
    state: RunState,
    budget: AheadBytes,
    codec: Arc<dyn EdgeCodec>,
}

impl AheadRun {
    /// Creates the run of a request, which `answer` answers. If the body of the answer
    /// fails before it is passed on, an answer with the headers of `codec` says so.
    pub fn new(
        method: Method,
        uri: Uri,
        answer: BoxFuture<'static, Response<ProxyBody>>,
        budget: AheadBytes,
        codec: Arc<dyn EdgeCodec>,
    ) -> Self {
        Self {
            method,
            uri,
            state: RunState::Running(answer),
            budget,
            codec,
        }
    }

    /// Whether this is the run of a request with this method and target.
    pub fn is_for(&self, method: &Method, uri: &Uri) -> bool {
        self.method == method && self.uri == *uri
    }

    /// Whether its answer was taken.
    pub fn is_taken(&self) -> bool {
        matches!(self.state, RunState::Answered(None))
    }

    /// Advances the request, and buffers its answer while the budget allows it.
    pub fn poll_ahead(&mut self, context: &mut Context<'_>) {
        if let RunState::Running(answer) = &mut self.state
            && let Poll::Ready(response) = answer.as_mut().poll(context)
        {
            let body = |body| AheadBody::new(body, self.budget.clone());
            self.state = RunState::Answered(Some(response.map(body)));
        }
        if let RunState::Answered(Some(response)) = &mut self.state {
            response.body_mut().poll_buffer(context);
        }
    }
}

impl Future for AheadRun {
    type Output = Response<ProxyBody>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Response<ProxyBody>> {
        match &mut self.state {
            RunState::Running(answer) => {
                let response = ready!(answer.as_mut().poll(context));
                self.state = RunState::Answered(None);
                Poll::Ready(response)
            }
            RunState::Answered(response) => match response.take() {
                Some(mut response) => {
                    let failure = response.body_mut().failure(context);
                    Poll::Ready(match failure {
                        // Had its head been passed on, the connection would end, and
                        // with it the unsent rest of the answers before it.
                        Some(outcome) => Refusal::Unknown(outcome).response(&*self.codec),
                        None => response.map(BodyExt::boxed_unsync),
                    })
                }
                None => Poll::Pending,
            },
        }
    }
}

#[cfg(test)]
mod tests;
