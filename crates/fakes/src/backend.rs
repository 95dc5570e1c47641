//! Stand-in of a backend server.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::{FutureExt, StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
};
use ids::FastMap;
use tokio::{sync::watch, time::sleep};

use crate::{StubBody, StubServer, full_body};

/// Header by which a test names a request; runs are counted by it.
pub const RUN_HEADER: &str = "x-run-id";

/// Header of answers with the path that was asked for.
pub const ECHO_HEADER: &str = "x-echo-path";

/// Size of the frames of a large answer, in bytes.
const FRAME_BYTES: usize = 16 * 1024;

/// What the stand-in does with a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Answers at once.
    #[default]
    Answer,
    /// Answers after a time.
    Slow(Duration),
    /// Answers one request in so many after a time, the others at once.
    SometimesSlow(u64, Duration),
    /// Never answers.
    HangBeforeHead,
    /// Sends the head and half the body, then nothing.
    HangMidBody,
    /// Closes the connection before the head.
    CloseBeforeHead,
    /// Closes the connection in the middle of the body.
    CloseMidBody,
    /// Answers with that status.
    Status(u16),
    /// Answers 503, with the seconds of Retry-After if given.
    Shed(Option<u32>),
    /// Sends a large body in small pieces with a pause after each.
    Trickle(Duration),
    /// Waits to be released by [`BackendStub::release`], then answers.
    Held,
}

/// What the handler shares with the owner.
#[derive(Debug)]
struct Shared {
    behaviour: Mutex<Behaviour>,
    /// Behaviours that hold for paths that begin so.
    by_path: Mutex<Vec<(String, Behaviour)>>,
    runs: Mutex<FastMap<String, u64>>,
    heads: Mutex<Vec<String>>,
    count: AtomicU64,
    running: AtomicU64,
    peak: AtomicU64,
    body: Bytes,
    held: watch::Sender<bool>,
}

/// A backend server on a port of its own.
#[derive(Debug)]
pub struct BackendStub {
    server: StubServer,
    shared: Arc<Shared>,
}

impl BackendStub {
    /// Starts a backend server on `address` that answers with `body`.
    ///
    /// # Errors
    ///
    /// The error of binding the address.
    pub async fn start(address: SocketAddr, body: impl Into<Bytes>) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            behaviour: Mutex::default(),
            by_path: Mutex::default(),
            runs: Mutex::default(),
            heads: Mutex::default(),
            count: AtomicU64::new(0),
            running: AtomicU64::new(0),
            peak: AtomicU64::new(0),
            body: body.into(),
            held: watch::channel(true).0,
        });
        let handler_shared = Arc::clone(&shared);
        let server = StubServer::start(address, move |request| {
            run(Arc::clone(&handler_shared), request).boxed()
        })
        .await?;
        Ok(Self { server, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes what it does from the next request on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock().expect("no holder panics") = behaviour;
    }

    /// Sets what it does with paths that begin with `prefix`.
    pub fn set_path_behaviour(&self, prefix: &str, behaviour: Behaviour) {
        let mut by_path = self.shared.by_path.lock().expect("no holder panics");
        by_path.retain(|(known, _)| known != prefix);
        by_path.push((prefix.to_owned(), behaviour));
    }

    /// How often the request with that id was run.
    pub fn runs(&self, id: &str) -> u64 {
        let runs = self.shared.runs.lock().expect("no holder panics");
        runs.get(id).copied().unwrap_or(0)
    }

    /// How many requests were run more than once.
    pub fn doubled(&self) -> usize {
        let runs = self.shared.runs.lock().expect("no holder panics");
        runs.values().filter(|count| **count > 1).count()
    }

    /// Requests run in all.
    pub fn count(&self) -> u64 {
        self.shared.count.load(Ordering::SeqCst)
    }

    /// Most requests that ran at a time.
    pub fn peak(&self) -> u64 {
        self.shared.peak.load(Ordering::SeqCst)
    }

    /// Requests that run now.
    pub fn running(&self) -> u64 {
        self.shared.running.load(Ordering::SeqCst)
    }

    /// Heads of the latest requests, with all headers, for checks of what
    /// was forwarded.
    pub fn heads(&self) -> Vec<String> {
        self.shared.heads.lock().expect("no holder panics").clone()
    }

    /// Holds requests under [`Behaviour::Held`] back.
    pub fn hold(&self) {
        self.shared.held.send_replace(true);
    }

    /// Lets held requests go on.
    pub fn release(&self) {
        self.shared.held.send_replace(false);
    }

    /// Stops it and waits for the end.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl Shared {
    /// What is done with a path.
    fn behaviour_of(&self, path: &str) -> Behaviour {
        let by_path = self.by_path.lock().expect("no holder panics");
        let found = by_path.iter().find(|(prefix, _)| path.starts_with(prefix));
        let usual = || *self.behaviour.lock().expect("no holder panics");
        found.map_or_else(usual, |(_, behaviour)| *behaviour)
    }
}

/// Counts a request as running while it lives.
struct RunGuard(Arc<Shared>);

impl RunGuard {
    /// Counts one more.
    fn new(shared: &Arc<Shared>) -> Self {
        let running = shared.running.fetch_add(1, Ordering::SeqCst) + 1;
        shared.peak.fetch_max(running, Ordering::SeqCst);
        Self(Arc::clone(shared))
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Heads kept for [`BackendStub::heads`].
const KEPT_HEADS: usize = 32;

/// Notes that a request was run.
fn record_run(shared: &Shared, request: &Request<Incoming>) -> u64 {
    if let Some(id) = request.headers().get(RUN_HEADER) {
        let id = String::from_utf8_lossy(id.as_bytes()).into_owned();
        let mut runs = shared.runs.lock().expect("no holder panics");
        *runs.entry(id).or_default() += 1;
        drop(runs);
        let head = format!(
            "{} {} {:?}",
            request.method(),
            request.uri(),
            request.headers()
        );
        let mut heads = shared.heads.lock().expect("no holder panics");
        if heads.len() == KEPT_HEADS {
            heads.remove(0);
        }
        heads.push(head);
    }
    shared.count.fetch_add(1, Ordering::SeqCst)
}

/// Runs a request.
async fn run(shared: Arc<Shared>, request: Request<Incoming>) -> Option<Response<StubBody>> {
    let guard = RunGuard::new(&shared);
    let number = record_run(&shared, &request);
    let behaviour = shared.behaviour_of(request.uri().path());
    let start = range_start(&request);
    let path = request.uri().path().to_owned();
    let mut body = request.into_body();
    while let Some(frame) = body.frame().await {
        frame.ok()?;
    }
    match behaviour {
        Behaviour::Slow(pause) => sleep(pause).await,
        Behaviour::SometimesSlow(every, pause) if number.is_multiple_of(every) => {
            sleep(pause).await;
        }
        Behaviour::HangBeforeHead => std::future::pending().await,
        Behaviour::CloseBeforeHead => return None,
        Behaviour::Held => {
            let mut held = shared.held.subscribe();
            held.wait_for(|held| !held).await.ok()?;
        }
        Behaviour::Status(status) => return status_answer(status, None),
        Behaviour::Shed(after) => return status_answer(503, after),
        _ => {}
    }
    let mut response = body_answer(&shared, behaviour, start, guard)?;
    response
        .headers_mut()
        .insert(ECHO_HEADER, path.parse().ok()?);
    Some(response)
}

/// First byte wanted by a `Range` of the form `bytes=N-`.
fn range_start(request: &Request<Incoming>) -> Option<usize> {
    let value = request.headers().get("range")?.to_str().ok()?;
    value
        .strip_prefix("bytes=")?
        .strip_suffix('-')?
        .parse()
        .ok()
}

/// An answer with a status and no useful body.
fn status_answer(status: u16, retry_after: Option<u32>) -> Option<Response<StubBody>> {
    let mut builder = Response::builder().status(StatusCode::from_u16(status).ok()?);
    if let Some(seconds) = retry_after {
        builder = builder.header("retry-after", seconds);
    }
    builder.body(full_body("no")).ok()
}

/// Answers with the body, in frames, as the behaviour wants it.
fn body_answer(
    shared: &Arc<Shared>,
    behaviour: Behaviour,
    start: Option<usize>,
    guard: RunGuard,
) -> Option<Response<StubBody>> {
    let whole = shared.body.clone();
    let total = whole.len();
    let start = start.unwrap_or(0).min(total);
    let rest = whole.slice(start..);
    let length = rest.len();
    let mut builder = Response::builder()
        .header("content-length", length)
        .header("etag", "\"stub-1\"")
        .header("accept-ranges", "bytes");
    if start > 0 {
        let range = format!("bytes {start}-{}/{total}", total.saturating_sub(1));
        builder = builder.status(206).header("content-range", range);
    }
    if behaviour == Behaviour::Answer && length <= FRAME_BYTES {
        drop(guard);
        return builder.body(full_body(rest)).ok();
    }
    let pause = match behaviour {
        Behaviour::Trickle(pause) => pause,
        _ => Duration::ZERO,
    };
    let frames = (0..length)
        .step_by(FRAME_BYTES)
        .map(move |from| rest.slice(from..length.min(from + FRAME_BYTES)));
    let whole_frames = stream::iter(frames.collect::<Vec<_>>()).then(move |frame| async move {
        if !pause.is_zero() {
            sleep(pause).await;
        }
        Ok::<_, io::Error>(frame)
    });
    let kept = match behaviour {
        Behaviour::CloseMidBody | Behaviour::HangMidBody => length / 2,
        _ => length,
    };
    let mut left = kept;
    let cut = whole_frames.map(move |frame| {
        let mut frame = frame?;
        let size = frame.len().min(left);
        left -= size;
        Ok(Frame::data(frame.split_to(size)))
    });
    let tail = match behaviour {
        Behaviour::CloseMidBody => {
            stream::once(async { Err(io::Error::other("broken off")) }).boxed()
        }
        Behaviour::HangMidBody => stream::pending().boxed(),
        _ => stream::empty().boxed(),
    };
    let ended = cut.chain(tail).map(move |frame| {
        let _ = &guard;
        frame
    });
    builder.body(StreamBody::new(ended).boxed_unsync()).ok()
}
