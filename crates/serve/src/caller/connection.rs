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
    Request,
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpStream, sync::Notify};

use super::{LimitSource, crowd::CallerCrowd, state::CallerState, stream::CallerStream};
use crate::{
    body::{BodyError, ProxyBody, box_body},
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
    /// Serves a connection until it ends. After `stop` is signaled, it answers only
    /// the request that it has already received, or its first one if that comes
    /// soon.
    pub async fn serve(self: Arc<Self>, stream: TcpStream, mut stop: StopSignal) {
        let member = self.crowd.join();
        let state = &member.state;
        let head_bytes = self.limits.get().head_bytes;
        let write_timeout = self.ingress.settings.load().budgets.stall_timeout();
        let stream = LimitedWriter::new(CallerStream::new(stream, state), write_timeout);
        let first_request = Notify::new();
        let requested = AtomicBool::new(false);
        let service = service_fn(|request: Request<Incoming>| {
            state.begin_request();
            requested.store(true, Ordering::Relaxed);
            first_request.notify_one();
            let answer = self.serve_request(request, state);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // The crowd watches over the time of a head and of an idle connection.
            .header_read_timeout(None)
            .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
            .max_header_size(head_bytes)
            .max_headers(MAX_HEAD_FIELDS)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            () = until_unused(connection.as_mut(), state) => return,
            () = stop.stopped() => {}
        }
        if !requested.load(Ordering::Relaxed) {
            tokio::select! {
                () = until_unused(connection.as_mut(), state) => return,
                () = first_request.notified() => {}
                () = tokio::time::sleep(FIRST_REQUEST_TIME) => {}
            }
        }
        connection.as_mut().graceful_shutdown();
        until_unused(connection, state).await;
    }

    /// Answers a request.
    async fn serve_request(
        &self,
        request: Request<Incoming>,
        state: &Arc<CallerState>,
    ) -> hyper::Response<TrackedBody> {
        let state = Arc::clone(state);
        let response = self.ingress.serve(request.map(box_body)).await;
        response.map(|body| TrackedBody { body, state })
    }
}

/// Waits until a connection has ended, or is to be closed because it is not used.
async fn until_unused<C: Future>(mut connection: Pin<&mut C>, state: &CallerState) {
    loop {
        let closing = poll_fn(|context| match connection.as_mut().poll(context) {
            Poll::Ready(_) => Poll::Ready(false),
            Poll::Pending if state.is_closing(context) => Poll::Ready(true),
            Poll::Pending => Poll::Pending,
        });
        if !closing.await {
            return;
        }
        let before = (state.idle_since(), state.head_since());
        // A request may have arrived that the runtime has not seen yet, above all
        // after the machine stood still. Closing its connection would lose it.
        tokio::task::yield_now().await;
        let ended = poll_fn(|context| Poll::Ready(connection.as_mut().poll(context).is_ready()));
        if ended.await || before == (state.idle_since(), state.head_since()) {
            return;
        }
    }
}
