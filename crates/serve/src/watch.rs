//! Bodies that end in time even if nobody reads them.
//!
//! An HTTP connection polls the body of an answer only while its peer takes
//! bytes. Timers inside the body do not run while the peer is silent, so a task
//! of its own watches the body.

use std::{
    future::Future,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use ids::ServerId;
use tokio::{
    sync::oneshot,
    time::{Instant, Sleep, sleep_until},
};

use crate::{
    body::{BodyError, ProxyBody},
    task::TaskGroup,
};

/// Ratio of the time for which the body of an answer may not be read within the fleet to
/// the stall timeout. A caller that reads slowly takes bytes all the time, but what is
/// buffered before it lets them through in bursts.
pub const UNREAD_FACTOR: u32 = 4;

/// Limits of a body that a backend server sends.
#[derive(Clone, Debug)]
pub struct BodyLimits {
    /// Backend server that sends the body, for the log.
    pub server: ServerId,
    /// Maximum time for which no further part of the body is read.
    pub unread: Duration,
    /// Time at which the body ends in any case.
    pub deadline: Option<Instant>,
}

/// State that the body shares with the task that watches it.
struct WatchState {
    /// The body; `None` once it was cut.
    inner: Option<ProxyBody>,
    /// Time at which the reader last asked, if there is more to read.
    unread_since: Option<Instant>,
}

/// State shared with the watching task.
type SharedState = Arc<Mutex<WatchState>>;

/// A body that is dropped at its limits, whether or not it is polled.
pub struct WatchedBody {
    state: SharedState,
    limits: BodyLimits,
    tasks: Arc<TaskGroup>,
    /// Ends the wait of the reader for the next part.
    deadline_timer: Option<Pin<Box<Sleep>>>,
    /// Ends the watching task when it is dropped.
    watch: Option<oneshot::Sender<()>>,
}

impl WatchedBody {
    /// Creates a body that drops `inner` at its limits. The task that watches it
    /// joins `tasks`; bodies that arrive in one part need none.
    pub fn new(inner: ProxyBody, limits: BodyLimits, tasks: Arc<TaskGroup>) -> Self {
        let state = WatchState {
            inner: Some(inner),
            unread_since: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            deadline_timer: limits.deadline.map(|end| Box::pin(sleep_until(end))),
            limits,
            tasks,
            watch: None,
        }
    }

    /// Starts the task that watches the body, unless it runs.
    fn start_watch(&mut self) {
        if self.watch.is_some() {
            return;
        }
        let (watch, ended) = oneshot::channel();
        self.watch = Some(watch);
        let (state, limits) = (Arc::clone(&self.state), self.limits.clone());
        self.tasks.spawn(async move {
            tokio::select! {
                // The body has ended or was dropped.
                _ = ended => {}
                () = wait_for_limit(&state, &limits) => cut(&state, &limits),
            }
        });
    }
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut state = lock(&self.state);
        let Some(inner) = &mut state.inner else {
            return Poll::Ready(Some(Err("the body was cut at its limit".into())));
        };
        let polled = Pin::new(&mut *inner).poll_frame(context);
        let more = matches!(&polled, Poll::Ready(Some(Ok(_)))) && !inner.is_end_stream();
        // A reader that waits for a part may not come back for it, as when what it may
        // buffer ahead is full.
        let waits = polled.is_pending();
        state.unread_since = (more || waits).then(Instant::now);
        drop(state);
        match &polled {
            Poll::Ready(_) if more => self.start_watch(),
            Poll::Ready(_) => self.watch = None,
            Poll::Pending => {
                if let Some(timer) = &mut self.deadline_timer
                    && timer.as_mut().poll(context).is_ready()
                {
                    cut(&self.state, &self.limits);
                    return Poll::Ready(Some(Err("the time for the body has passed".into())));
                }
            }
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        let state = lock(&self.state);
        state.inner.as_ref().is_some_and(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let state = lock(&self.state);
        state
            .inner
            .as_ref()
            .map(Body::size_hint)
            .unwrap_or_default()
    }
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        // The task that watches the body still holds its state.
        let inner = lock(&self.state).inner.take();
        drop(inner);
    }
}

/// Waits until the body has reached one of its limits.
async fn wait_for_limit(state: &SharedState, limits: &BodyLimits) {
    loop {
        let now = Instant::now();
        let unread_since = lock(state).unread_since.unwrap_or(now);
        let unread_end = unread_since + limits.unread;
        let end = limits
            .deadline
            .map_or(unread_end, |end| end.min(unread_end));
        if end <= now {
            return;
        }
        sleep_until(end).await;
    }
}

/// Drops the body, which closes the connection that it arrives on and releases
/// what its request holds.
fn cut(state: &SharedState, limits: &BodyLimits) {
    let inner = lock(state).inner.take();
    if inner.is_some() {
        log::warn!(
            server = limits.server.as_str();
            "egress: cut an answer that was not read in time; its slot is free."
        );
    }
}

/// Locks the state, whose holders never panic.
fn lock(state: &SharedState) -> MutexGuard<'_, WatchState> {
    state.lock().unwrap_or_else(|poison| poison.into_inner())
}

#[cfg(test)]
mod tests;
