//! Serves the connections of callers.

use std::{
    convert::Infallible,
    future::{Future, poll_fn},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::{
    Request, Response,
    body::{Body, Frame, Incoming, SizeHint},
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpStream, sync::Notify};

use super::{
    LimitSource,
    ahead::SentAhead,
    crowd::CallerCrowd,
    state::CallerState,
    stream::{CallerStream, StreamCharges},
};
use crate::{
    body::{BodyError, ProxyBody, box_body},
    budget::CONNECTION_BYTES,
    ingress::Ingress,
    listener::{FIRST_REQUEST_TIME, MAX_HEAD_FIELDS},
    task::StopSignal,
    write_limit::LimitedWriter,
};

/// Smallest size of a buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Serves the connections of callers with the limits in force.
#[derive(Debug)]
pub struct CallerFront {
    /// Answers the requests.
    pub ingress: Arc<Ingress>,
    /// Reads the limits in force.
    pub limits: LimitSource,
    /// All open connections of callers.
    pub crowd: Arc<CallerCrowd>,
}

/// Body of an answer that records its end.
struct TrackedBody {
    body: ProxyBody,
    state: Arc<CallerState>,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.state.end_request();
    }
}

impl CallerFront {
    /// Creates a front without connections.
    pub fn new(ingress: Arc<Ingress>, limits: LimitSource) -> Self {
        let metrics = Arc::clone(&ingress.metrics);
        let crowd = CallerCrowd::new(
            limits.clone(),
            ingress.clock,
            metrics,
            Arc::clone(&ingress.account),
        );
        Self {
            ingress,
            limits,
            crowd: Arc::new(crowd),
        }
    }

    /// Serves a connection until it ends. After `stop` is signaled, it answers only
    /// the requests that it has already received or forwarded, or its first one if
    /// that comes soon.
    pub async fn serve(self: Arc<Self>, stream: TcpStream, mut stop: StopSignal) {
        let member = self.crowd.join();
        let state = &member.state;
        let head_bytes = self.limits.get().head_bytes;
        let buffer_bytes = head_bytes.max(MIN_BUFFER_BYTES);
        let account = &self.ingress.account;
        let mut connection_charge = account.open();
        connection_charge.force(CONNECTION_BYTES);
        // A guard of the settings must not be kept for the life of the connection: each
        // thread has only a few, and without one, all further reads are slower.
        let (ahead, stall_timeout) = {
            let budgets = &self.ingress.settings.load().budgets;
            (
                SentAhead::new(budgets, buffer_bytes, Arc::clone(account)),
                budgets.stall_timeout(),
            )
        };
        let ahead = &ahead;
        let stream = LimitedWriter::new(stream, stall_timeout);
        let stream = CallerStream::new(stream, state, ahead, StreamCharges::new(account));
        let first_request = Notify::new();
        let requested = AtomicBool::new(false);
        let service = service_fn(|request: Request<Incoming>| {
            state.begin_request();
            requested.store(true, Ordering::Relaxed);
            first_request.notify_one();
            let length = request.body().size_hint().exact();
            // Before the library reads on, which it may do before it polls the answer.
            let runs = ahead.begin(&request, length);
            let answer = self.serve_request(request, runs, state, ahead);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // The crowd watches over the time of a head and of an idle connection.
            .header_read_timeout(None)
            .max_buf_size(buffer_bytes)
            .max_header_size(head_bytes)
            .max_headers(MAX_HEAD_FIELDS)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let driver = ConnectionDriver {
            ingress: &self.ingress,
            state,
            ahead,
        };
        tokio::select! {
            () = driver.until_unused(connection.as_mut()) => return,
            () = stop.stopped() => {}
        }
        if !requested.load(Ordering::Relaxed) {
            tokio::select! {
                () = driver.until_unused(connection.as_mut()) => return,
                () = first_request.notified() => {}
                () = tokio::time::sleep(FIRST_REQUEST_TIME) => {}
            }
        }
        // The library closes the connection behind the answer that it is about to
        // give, so it first has to take over the last request that runs.
        if driver.until_last(connection.as_mut()).await {
            connection.as_mut().graceful_shutdown();
            driver.until_unused(connection).await;
        }
    }

    /// Answers a request. `runs` tells whether it runs already.
    async fn serve_request(
        &self,
        request: Request<Incoming>,
        runs: bool,
        state: &Arc<CallerState>,
        ahead: &SentAhead,
    ) -> Response<TrackedBody> {
        let state = Arc::clone(state);
        let mut response = match runs {
            true => poll_fn(|context| ahead.poll_answer(context)).await,
            false => self.ingress.serve(request.map(box_body)).await,
        };
        let headers = response.headers_mut();
        match ahead.has_runs() {
            // Requests behind this one were forwarded, so they are answered, too.
            true => {
                headers.remove(CONNECTION);
            }
            false if self.ingress.view.is_leaving() => {
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            false => {}
        }
        response.map(|body| TrackedBody { body, state })
    }
}

/// Drives one connection, together with the requests that run ahead on it.
struct ConnectionDriver<'a> {
    ingress: &'a Arc<Ingress>,
    state: &'a CallerState,
    ahead: &'a SentAhead,
}

impl ConnectionDriver<'_> {
    /// Waits until a connection has ended, or is to be closed because it is not
    /// used.
    async fn until_unused<C: Future>(&self, mut connection: Pin<&mut C>) {
        loop {
            let closing = poll_fn(|context| match self.poll(connection.as_mut(), context) {
                Poll::Ready(()) => Poll::Ready(false),
                Poll::Pending if self.state.is_closing(context) => Poll::Ready(true),
                Poll::Pending => Poll::Pending,
            });
            if !closing.await {
                return;
            }
            let before = (self.state.idle_since(), self.state.head_since());
            // A request may have arrived that the runtime has not seen yet, above
            // all after the machine stood still. Closing its connection would lose
            // it.
            tokio::task::yield_now().await;
            let ended =
                poll_fn(|context| Poll::Ready(self.poll(connection.as_mut(), context).is_ready()));
            if ended.await || before == (self.state.idle_since(), self.state.head_since()) {
                return;
            }
        }
    }

    /// Waits until no request runs that the library has not taken over. Returns
    /// false if the connection has ended before.
    async fn until_last<C: Future>(&self, mut connection: Pin<&mut C>) -> bool {
        let last = poll_fn(|context| match self.poll(connection.as_mut(), context) {
            Poll::Ready(()) => Poll::Ready(false),
            Poll::Pending if !self.ahead.has_runs() => Poll::Ready(true),
            Poll::Pending => Poll::Pending,
        });
        last.await
    }

    /// Polls the connection, and the requests that run ahead.
    fn poll<C: Future>(&self, mut connection: Pin<&mut C>, context: &mut Context<'_>) -> Poll<()> {
        let mut fed = None;
        loop {
            if connection.as_mut().poll(context).is_ready() {
                return Poll::Ready(());
            }
            if !self.ahead.is_active() {
                return Poll::Pending;
            }
            // The library waits for bytes of the stream, although held ones can be
            // passed on since the last answer has ended. It is polled again for as
            // long as it takes some.
            match self.ahead.advance(self.state, self.ingress, context) {
                Some(count) if fed != Some(count) => fed = Some(count),
                _ => return Poll::Pending,
            }
        }
    }
}
