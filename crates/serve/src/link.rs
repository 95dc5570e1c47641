//! Pooled HTTP/1.1 connections to one address.
//!
//! A connection returns to the pool only when the answer on it was read to
//! its end. Any other is closed, so an answer that comes late meets nobody.

use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, Weak,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use hyper::{
    Request, Response,
    body::Body,
    client::conn::http1::{self, SendRequest},
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::{
    body::{BodyEnd, ObservedBody, ProxyBody, box_body},
    task::TaskGroup,
};
use http_body_util::BodyExt;

/// Time for a new connection. A connection takes about 1 ms on the networks
/// in view; one lost SYN is repeated after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Idle time after which a connection is probed, time between probes, and
/// probes without an answer after which it is dead.
const KEEPALIVE: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 3;
/// Time for which sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle connections that are kept for each address.
const MAX_IDLE: usize = 64;
/// Time after which an idle connection is closed: before the other side
/// does, which could meet a request on its way.
pub const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Time for which an address whose process is leaving gets no requests if
/// there are others: longer than it waits for connections to end.
const REST_TIME: Duration = Duration::from_secs(10);

/// Why a request over a link got no answer.
#[derive(Debug)]
pub enum SendError {
    /// All connections that the address accepts are in use.
    Full,
    /// No byte was handed to a connection.
    Unsent(String),
    /// Bytes may have reached the other side.
    Lost(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full => f.write_str("all connections are in use; raise `connections`"),
            Self::Unsent(cause) => write!(f, "not sent: {cause}"),
            Self::Lost(cause) => write!(f, "connection lost: {cause}"),
        }
    }
}

impl std::error::Error for SendError {}

/// Counts an open connection while it lives.
#[derive(Debug)]
struct OpenCount(Arc<AtomicUsize>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A connection that can take a request.
#[derive(Debug)]
struct IdleLink {
    sender: SendRequest<ProxyBody>,
    used: Instant,
    #[expect(
        dead_code,
        reason = "counts the connection as open until it is dropped"
    )]
    count: OpenCount,
}

/// Pool of connections to one address.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    limit: usize,
    open: Arc<AtomicUsize>,
    idle: Mutex<Vec<IdleLink>>,
    tasks: Arc<TaskGroup>,
    /// Whether operators were told of answers without length.
    warned: AtomicBool,
    start: Instant,
    /// End of the rest, in milliseconds from `start`.
    rest_until_ms: AtomicU64,
}

impl IdleLink {
    /// Whether the other side surely keeps it open.
    fn is_young(&self, now: Instant) -> bool {
        now.duration_since(self.used) < MAX_IDLE_TIME
    }
}

impl ConnectionPool {
    /// A pool of at most `limit` connections, whose tasks join `tasks`.
    pub fn new(address: SocketAddr, limit: usize, tasks: Arc<TaskGroup>) -> Arc<Self> {
        Arc::new(Self {
            address,
            limit,
            open: Arc::default(),
            idle: Mutex::default(),
            tasks,
            warned: AtomicBool::new(false),
            start: Instant::now(),
            rest_until_ms: AtomicU64::new(0),
        })
    }

    /// Where the connections lead.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and gives the head of the answer.
    ///
    /// Dropping the answer's body before its end closes the connection.
    ///
    /// # Errors
    ///
    /// [`SendError`], which says whether anything was sent.
    pub async fn send(
        self: &Arc<Self>,
        request: Request<ProxyBody>,
    ) -> Result<Response<ProxyBody>, SendError> {
        let mut request = request;
        while let Some(link) = self.take_idle() {
            match self.send_on(link, request).await {
                Ok(response) => return Ok(response),
                Err(SendFailure::Lost(cause)) => return Err(SendError::Lost(cause)),
                // The other side closed the idle connection; the request is
                // still here in whole.
                Err(SendFailure::Returned(back)) => request = *back,
            }
        }
        let link = self.connect().await?;
        match self.send_on(link, request).await {
            Ok(response) => Ok(response),
            Err(SendFailure::Lost(cause)) => Err(SendError::Lost(cause)),
            Err(SendFailure::Returned(_)) => {
                Err(SendError::Unsent("closed as it was opened".to_owned()))
            }
        }
    }

    /// Closes idle connections.
    pub fn close_idle(&self) {
        self.lock_idle().clear();
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.lock_idle().retain(|link| link.is_young(now));
    }

    /// The process at the address is leaving: its connections are given up,
    /// so that it need not close one that is about to be used.
    pub fn mark_leaving(&self) {
        self.close_idle();
        let until = self.start.elapsed() + REST_TIME;
        self.rest_until_ms
            .store(until.as_millis() as u64, Ordering::Relaxed);
    }

    /// Whether the process at the address said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        let until = self.rest_until_ms.load(Ordering::Relaxed);
        self.start.elapsed().as_millis() < u128::from(until)
    }

    /// The idle connection used last.
    fn take_idle(&self) -> Option<IdleLink> {
        let now = Instant::now();
        let mut idle = self.lock_idle();
        while let Some(link) = idle.pop() {
            if !link.sender.is_closed() && link.is_young(now) {
                return Some(link);
            }
        }
        None
    }

    /// Opens a connection.
    async fn connect(&self) -> Result<IdleLink, SendError> {
        let open = self.open.fetch_add(1, Ordering::AcqRel);
        let count = OpenCount(Arc::clone(&self.open));
        if open >= self.limit {
            return Err(SendError::Full);
        }
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(SendError::Unsent(error.to_string())),
            Err(_) => return Err(SendError::Unsent("no connection in time".to_owned())),
        };
        if let Err(error) = watch_silence(&stream) {
            log::warn!(
                "link: connection to {} is not watched: {error}.",
                self.address
            );
        }
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|error| SendError::Unsent(error.to_string()))?;
        self.tasks.spawn(async move {
            let _ = connection.await;
        });
        Ok(IdleLink {
            sender,
            used: Instant::now(),
            count,
        })
    }

    /// Sends a request on a connection.
    async fn send_on(
        self: &Arc<Self>,
        mut link: IdleLink,
        request: Request<ProxyBody>,
    ) -> Result<Response<ProxyBody>, SendFailure> {
        if link.sender.ready().await.is_err() {
            return Err(SendFailure::Returned(Box::new(request)));
        }
        match link.sender.try_send_request(request).await {
            Ok(response) if ends_by_close(&response) => {
                self.warn_unsized();
                Err(SendFailure::Lost("the answer has no length".to_owned()))
            }
            Ok(response) => Ok(self.guard_response(link, response)),
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendFailure::Returned(Box::new(request))),
                None => Err(SendFailure::Lost(error.into_error().to_string())),
            },
        }
    }

    /// Tells operators once of a server whose answers can't be used.
    fn warn_unsized(&self) {
        if !self.warned.swap(true, Ordering::Relaxed) {
            log::warn!(
                "link: {} ends answers by closing; make it send Content-Length or chunks.",
                self.address
            );
        }
    }

    /// Makes the connection return to the pool at the end of the body.
    fn guard_response(
        self: &Arc<Self>,
        link: IdleLink,
        response: Response<hyper::body::Incoming>,
    ) -> Response<ProxyBody> {
        let pool = Arc::downgrade(self);
        response.map(|body| {
            let put_back = move |end| put_back(&pool, link, end);
            ObservedBody::new(box_body(body), put_back).boxed_unsync()
        })
    }

    /// The idle connections; no holder panics.
    fn lock_idle(&self) -> MutexGuard<'_, Vec<IdleLink>> {
        self.idle
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Makes a connection that has gone silent fail: nothing else shows it while
/// an answer is waited for.
fn watch_silence(stream: &TcpStream) -> std::io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Why a connection did not give an answer.
enum SendFailure {
    /// The request was not sent and is given back.
    Returned(Box<Request<ProxyBody>>),
    /// It may have been sent.
    Lost(String),
}

/// Whether only the end of the connection tells the end of the answer
/// (RFC 9112, 6.3). One that broke off can't be told from a whole one then.
fn ends_by_close(response: &Response<hyper::body::Incoming>) -> bool {
    let headers = response.headers();
    let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    // Answers to HEAD, 204 and 304 end with their head.
    !framed && !response.body().is_end_stream()
}

/// Puts a connection back after a whole answer, else closes it.
fn put_back(pool: &Weak<ConnectionPool>, mut link: IdleLink, end: BodyEnd) {
    link.used = Instant::now();
    let Some(pool) = pool.upgrade() else {
        return;
    };
    let mut idle = pool.lock_idle();
    match end {
        BodyEnd::Complete if idle.len() < MAX_IDLE && !link.sender.is_closed() => idle.push(link),
        _ => drop(link),
    }
}
