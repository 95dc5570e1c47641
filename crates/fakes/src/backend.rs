//! Stub of a backend server.

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

/// Request header with an id chosen by the test; runs are counted per id.
pub const RUN_HEADER: &str = "x-run-id";

/// Response header that echoes the path of the request.
pub const ECHO_HEADER: &str = "x-echo-path";

/// Size of the frames of a large body, in bytes.
const FRAME_BYTES: usize = 16 * 1024;

/// How the stub responds to a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Responds at once.
    #[default]
    Answer,
    /// Responds after the given time.
    Slow(Duration),
    /// Responds to one request in the given number after the given time, to
    /// the others at once.
    SometimesSlow(u64, Duration),
    /// Never responds.
    HangBeforeHead,
    /// Sends the head and half the body, then keeps the connection open without
    /// sending more.
    HangMidBody,
    /// Closes the connection before the response head.
    CloseBeforeHead,
    /// Closes the connection in the middle of the body.
    CloseMidBody,
    /// Responds with the given status.
    Status(u16),
    /// Responds with status 503, and with Retry-After if seconds are given.
    Shed(Option<u32>),
    /// Sends the body in frames, with the given pause before each.
    Trickle(Duration),
    /// Waits for [`BackendStub::release`], then responds.
    Held,
}

/// State shared between the handler and the owner of the stub.
#[derive(Debug)]
struct Shared {
    behaviour: Mutex<Behaviour>,
    /// Behaviours by path prefix, which override the general one.
    path_behaviours: Mutex<Vec<(String, Behaviour)>>,
    /// Number of runs by request id.
    runs: Mutex<FastMap<String, u64>>,
    /// Latest request heads, the oldest first.
    heads: Mutex<Vec<String>>,
    count: AtomicU64,
    running: AtomicU64,
    peak: AtomicU64,
    body: Bytes,
    /// Whether requests under [`Behaviour::Held`] wait.
    held: watch::Sender<bool>,
}

/// A backend server with a configurable behaviour that counts its requests.
#[derive(Debug)]
pub struct BackendStub {
    server: StubServer,
    shared: Arc<Shared>,
}

impl BackendStub {
    /// Starts a backend server on `address` that responds with `body`.
    ///
    /// # Errors
    ///
    /// Returns the error if the address cannot be bound.
    pub async fn start(address: SocketAddr, body: impl Into<Bytes>) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            behaviour: Mutex::default(),
            path_behaviours: Mutex::default(),
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

    /// Address on which the stub listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the behaviour for requests from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self
            .shared
            .behaviour
            .lock()
            .expect("no holder of the lock panics") = behaviour;
    }

    /// Sets the behaviour for paths that begin with `prefix`.
    pub fn set_path_behaviour(&self, prefix: &str, behaviour: Behaviour) {
        let mut path_behaviours = self
            .shared
            .path_behaviours
            .lock()
            .expect("no holder of the lock panics");
        path_behaviours.retain(|(known, _)| known != prefix);
        path_behaviours.push((prefix.to_owned(), behaviour));
    }

    /// Number of runs of the request with the given id.
    pub fn runs(&self, id: &str) -> u64 {
        let runs = self
            .shared
            .runs
            .lock()
            .expect("no holder of the lock panics");
        runs.get(id).copied().unwrap_or(0)
    }

    /// Number of request ids that were run more than once.
    pub fn repeated_runs(&self) -> usize {
        let runs = self
            .shared
            .runs
            .lock()
            .expect("no holder of the lock panics");
        runs.values().filter(|count| **count > 1).count()
    }

    /// Number of requests run so far.
    pub fn count(&self) -> u64 {
        self.shared.count.load(Ordering::SeqCst)
    }

    /// Highest number of requests that ran at the same time.
    pub fn peak_running(&self) -> u64 {
        self.shared.peak.load(Ordering::SeqCst)
    }

    /// Number of requests that are running.
    pub fn running(&self) -> u64 {
        self.shared.running.load(Ordering::SeqCst)
    }

    /// Heads of the latest requests with a [`RUN_HEADER`], with all headers, so
    /// that tests can check what was forwarded.
    pub fn heads(&self) -> Vec<String> {
        self.shared
            .heads
            .lock()
            .expect("no holder of the lock panics")
            .clone()
    }

    /// Makes requests under [`Behaviour::Held`] wait.
    pub fn hold(&self) {
        self.shared.held.send_replace(true);
    }

    /// Lets requests under [`Behaviour::Held`] continue.
    pub fn release(&self) {
        self.shared.held.send_replace(false);
    }

    /// Stops the stub and waits until it has ended.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl Shared {
    /// Returns the behaviour for a path.
    fn behaviour_of(&self, path: &str) -> Behaviour {
        let path_behaviours = self
            .path_behaviours
            .lock()
            .expect("no holder of the lock panics");
        let found = path_behaviours
            .iter()
            .find(|(prefix, _)| path.starts_with(prefix));
        let general = || *self.behaviour.lock().expect("no holder of the lock panics");
        found.map_or_else(general, |(_, behaviour)| *behaviour)
    }
}

/// Counts a request as running until the guard is dropped.
struct RunGuard(Arc<Shared>);

impl RunGuard {
    /// Counts one more running request.
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

/// Maximum number of request heads kept for [`BackendStub::heads`].
const MAX_HEADS: usize = 32;

/// Records that a request was run; returns the number of requests before it.
fn record_run(shared: &Shared, request: &Request<Incoming>) -> u64 {
    if let Some(id) = request.headers().get(RUN_HEADER) {
        let id = String::from_utf8_lossy(id.as_bytes()).into_owned();
        let mut runs = shared.runs.lock().expect("no holder of the lock panics");
        *runs.entry(id).or_default() += 1;
        drop(runs);
        let head = format!(
            "{} {} {:?}",
            request.method(),
            request.uri(),
            request.headers()
        );
        let mut heads = shared.heads.lock().expect("no holder of the lock panics");
        if heads.len() == MAX_HEADS {
            heads.remove(0);
        }
        heads.push(head);
    }
    shared.count.fetch_add(1, Ordering::SeqCst)
}

/// Runs a request and responds as its behaviour demands.
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
        Behaviour::Status(status) => return status_response(status, None),
        Behaviour::Shed(after) => return status_response(503, after),
        _ => {}
    }
    let mut response = body_response(&shared, behaviour, start, guard)?;
    response
        .headers_mut()
        .insert(ECHO_HEADER, path.parse().ok()?);
    Some(response)
}

/// Returns the first byte requested by a `Range` of the form `bytes=N-`.
fn range_start(request: &Request<Incoming>) -> Option<usize> {
    let value = request.headers().get("range")?.to_str().ok()?;
    value
        .strip_prefix("bytes=")?
        .strip_suffix('-')?
        .parse()
        .ok()
}

/// Returns a response with the given status and a placeholder body.
fn status_response(status: u16, retry_after: Option<u32>) -> Option<Response<StubBody>> {
    let mut builder = Response::builder().status(StatusCode::from_u16(status).ok()?);
    if let Some(seconds) = retry_after {
        builder = builder.header("retry-after", seconds);
    }
    builder.body(full_body("no")).ok()
}

/// Returns a response with the body from `start` on, in frames, paused or cut
/// off as the behaviour demands.
fn body_response(
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
            stream::once(async { Err(io::Error::other("the body was cut off by the behaviour")) })
                .boxed()
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
