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

use crate::{
    body::{BodyError, ProxyBody},
    budget::ByteAccount,
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
    /// Whether the length is known. If it is not, the HTTP library has to send the
    /// body in chunks, even if all of it is buffered.
    is_sized: bool,
    budget: AheadBytes,
}

impl AheadBody {
    /// Wraps a body of which nothing is buffered.
    fn new(body: ProxyBody, budget: AheadBytes) -> Self {
        Self {
            frames: VecDeque::new(),
            buffered: 0,
            is_sized: body.size_hint().exact().is_some(),
            rest: Some(body),
            budget,
        }
    }

    /// Buffers frames while the budget allows it.
    fn poll_buffer(&mut self, context: &mut Context<'_>) {
        while let Some(rest) = self.rest.as_mut().filter(|_| !self.budget.is_full()) {
            let Poll::Ready(frame) = Pin::new(rest).poll_frame(context) else {
                return;
            };
            match &frame {
                Some(Ok(frame)) => {
                    let bytes = frame.data_ref().map_or(0, Bytes::len);
                    self.buffered += bytes;
                    self.budget.add(bytes);
                }
                _ => self.rest = None,
            }
            self.frames.extend(frame);
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
        let Some(frame) = self.frames.pop_front() else {
            return match &mut self.rest {
                Some(rest) => Pin::new(rest).poll_frame(context),
                None => Poll::Ready(None),
            };
        };
        let data = frame.as_ref().ok().and_then(|frame| frame.data_ref());
        let bytes = data.map_or(0, Bytes::len);
        self.buffered -= bytes;
        self.budget.remove(bytes);
        Poll::Ready(Some(frame))
    }

    fn is_end_stream(&self) -> bool {
        let rest_ended = self
            .rest
            .as_ref()
            .map_or(self.is_sized, |rest| rest.is_end_stream());
        self.frames.is_empty() && rest_ended
    }

    fn size_hint(&self) -> SizeHint {
        match self.is_sized {
            true => {
                let rest = self.rest.as_ref().and_then(|rest| rest.size_hint().exact());
                SizeHint::with_exact(self.buffered as u64 + rest.unwrap_or(0))
            }
            false => SizeHint::default(),
        }
    }
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
}

impl AheadRun {
    /// Creates the run of a request, which `answer` answers.
    pub fn new(
        method: Method,
        uri: Uri,
        answer: BoxFuture<'static, Response<ProxyBody>>,
        budget: AheadBytes,
    ) -> Self {
        Self {
            method,
            uri,
            state: RunState::Running(answer),
            budget,
        }
    }

    /// Whether this is the run of a request with this method and target.
    pub fn is_for(&self, method: &Method, uri: &Uri) -> bool {
        self.method == method && self.uri == *uri
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
            RunState::Running(answer) => Poll::Ready(ready!(answer.as_mut().poll(context))),
            RunState::Answered(response) => match response.take() {
                Some(response) => Poll::Ready(response.map(BodyExt::boxed_unsync)),
                None => Poll::Pending,
            },
        }
    }
}
