//! Pooled HTTP/1.1 connections to one address.
//!
//! A connection returns to the pool only after the answer on it was read to
//! its end. Otherwise it is closed, so a late answer cannot be taken for the
//! answer to the next request. An answer may come before the body of its request
//! was sent; the connection returns only after that, too.

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
    http::response,
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    sync::oneshot,
    time::{Instant, timeout},
};

use crate::{
    body::{BodyEnd, ObservedBody, ProxyBody, box_body},
    interim::InterimCount,
    keepalive::detect_dead_peer,
    ledger::{MeteredStream, StreamMeter},
    task::TaskGroup,
};
use http_body_util::BodyExt;

/// Timeout for opening a connection. Opening takes about 1 ms on the networks
/// that a fleet runs on, and a lost SYN is repeated after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum time until a connection that was idle or has just been opened accepts
/// a request. It only has to be scheduled for that.
const READY_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of idle connections that are kept for one address.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Maximum time that a connection stays idle before it is closed. It has to be
/// shorter than the idle timeout of the other side, which could otherwise close
/// the connection just as a request is sent.
pub const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Time for which an address whose process is leaving gets no requests if there
/// are other addresses. It is longer than the process waits for its connections
/// to end.
const LEAVING_TIME: Duration = Duration::from_secs(10);

/// Reason why a request got no answer.
#[derive(Debug)]
pub enum SendError {
    /// All connections that the address accepts are in use.
    Full,
    /// No byte of the request was sent.
    Unsent(String),
    /// No byte of the request was sent, because it must not be sent any more.
    Withheld,
    /// The request may have reached the other side.
    Lost(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full => {
                f.write_str("all connections to the address are in use; raise `connections`")
            }
            Self::Unsent(cause) => write!(f, "request not sent: {cause}"),
            Self::Withheld => f.write_str("request withheld: the receiver gets no new requests"),
            Self::Lost(cause) => write!(
                f,
                "connection lost, the request may have been sent: {cause}"
            ),
        }
    }
}

impl std::error::Error for SendError {}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct OpenCount(Arc<AtomicUsize>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A connection on which a request can be sent.
#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<ProxyBody>,
    /// Closes the connection even while a request is being sent on it.
    close: oneshot::Sender<()>,
    interim: InterimCount,
    last_used: Instant,
    #[expect(
        dead_code,
        reason = "counts the connection as open until it is dropped"
    )]
    count: OpenCount,
}

/// Extension of an answer that decides whether its connection is used again.
#[derive(Clone, Debug)]
struct ReuseMark(Arc<AtomicBool>);

/// Has the connection of an answer closed, whether or not the answer is complete.
pub fn forbid_reuse(answer: &response::Parts) {
    if let Some(ReuseMark(reusable)) = answer.extensions.get() {
        reusable.store(false, Ordering::Release);
    }
}

/// Pool of connections to one address.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    limit: usize,
    open: Arc<AtomicUsize>,
    idle: Mutex<Vec<IdleConnection>>,
    tasks: Arc<TaskGroup>,
    meter: Arc<StreamMeter>,
    /// Whether a warning about answers without a length was logged.
    warned_no_length: AtomicBool,
    start: Instant,
    /// Time until which the process at the address counts as leaving, in
    /// milliseconds from `start`; zero if it never was.
    leaving_until_ms: AtomicU64,
}

impl IdleConnection {
    /// Whether the connection was used so recently that the other side still
    /// keeps it open.
    fn is_reusable(&self, now: Instant) -> bool {
        now.duration_since(self.last_used) < MAX_IDLE_TIME
    }
}

impl ConnectionPool {
    /// Creates a pool of at most `limit` connections, whose tasks run in `tasks`
    /// and whose bytes are counted by `meter`.
    pub fn new(
        address: SocketAddr,
        limit: usize,
        tasks: Arc<TaskGroup>,
        meter: StreamMeter,
    ) -> Arc<Self> {
        Arc::new(Self {
            address,
            limit,
            open: Arc::default(),
            idle: Mutex::default(),
            tasks,
            meter: Arc::new(meter),
            warned_no_length: AtomicBool::new(false),
            start: Instant::now(),
            leaving_until_ms: AtomicU64::new(0),
        })
    }

    /// Address that the connections lead to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and returns the answer as soon as its head has arrived.
    ///
    /// Dropping the body of the answer before its end closes the connection.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`], which tells whether the request may have been
    /// sent.
    pub async fn send(
        self: &Arc<Self>,
        request: Request<ProxyBody>,
    ) -> Result<Response<ProxyBody>, SendError> {
        self.send_if(request, || true).await
    }

    /// Sends a request like [`ConnectionPool::send`], if `may_send` still holds once
    /// a connection is ready for it. It is called once more for each connection that
    /// turns out to be closed.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`ConnectionPool::send`], and [`SendError::Withheld`] if
    /// `may_send` does not hold.
    pub async fn send_if(
        self: &Arc<Self>,
        request: Request<ProxyBody>,
        mut may_send: impl FnMut() -> bool,
    ) -> Result<Response<ProxyBody>, SendError> {
        let mut request = request;
        while let Some(connection) = self.take_idle() {
            match self.send_on(connection, request, &mut may_send).await {
                Ok(response) => return Ok(response),
                Err(SendFailure::Final(error)) => return Err(error),
                // The other side closed the idle connection before any of the
                // request was sent, so the request can use another connection.
                Err(SendFailure::Returned(returned)) => request = *returned,
                Err(SendFailure::NotReady(returned)) => {
                    request = *returned;
                    break;
                }
            }
        }
        let connection = self.connect().await?;
        match self.send_on(connection, request, &mut may_send).await {
            Ok(response) => Ok(response),
            Err(SendFailure::Final(error)) => Err(error),
            Err(SendFailure::Returned(_)) => Err(SendError::Unsent(
                "the new connection was closed at once".to_owned(),
            )),
            Err(SendFailure::NotReady(_)) => Err(SendError::Unsent(
                "the new connection is not ready".to_owned(),
            )),
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.lock_idle().clear();
    }

    /// Closes the connections that have been idle for [`MAX_IDLE_TIME`].
    pub fn sweep(&self) {
        let now = Instant::now();
        self.lock_idle()
            .retain(|connection| connection.is_reusable(now));
    }

    /// Records that the process at the address is leaving. Closes the idle
    /// connections to it, so that it does not have to close one on which a
    /// request is about to be sent.
    pub fn mark_leaving(&self) {
        self.close_idle();
        let until = self.start.elapsed() + LEAVING_TIME;
        self.leaving_until_ms
            .store(until.as_millis() as u64, Ordering::Relaxed);
    }

    /// Whether the process at the address recently announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        let until = self.leaving_until_ms.load(Ordering::Relaxed);
        self.start.elapsed().as_millis() < u128::from(until)
    }

    /// Removes and returns the idle connection that was used last, if one can be
    /// reused.
    fn take_idle(&self) -> Option<IdleConnection> {
        let now = Instant::now();
        let mut idle = self.lock_idle();
        while let Some(connection) = idle.pop() {
            if !connection.sender.is_closed() && connection.is_reusable(now) {
                return Some(connection);
            }
        }
        None
    }

    /// Adds a connection that is ready for a request to the idle ones, or closes it if
    /// there are enough of them.
    fn put_idle(&self, mut connection: IdleConnection) {
        connection.last_used = Instant::now();
        let mut idle = self.lock_idle();
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }

    /// Opens a connection if the limit of the pool allows it.
    async fn connect(&self) -> Result<IdleConnection, SendError> {
        let open = self.open.fetch_add(1, Ordering::AcqRel);
        let count = OpenCount(Arc::clone(&self.open));
        if open >= self.limit {
            return Err(SendError::Full);
        }
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(SendError::Unsent(error.to_string())),
            Err(_) => return Err(SendError::Unsent("connecting timed out".to_owned())),
        };
        if let Err(error) = detect_dead_peer(&stream) {
            log::warn!(
                "link: can't set options of the connection to {}, \
                 so a dead peer may go unnoticed: {error}.",
                self.address
            );
        }
        self.meter.count_opened();
        let interim = InterimCount::default();
        let stream = MeteredStream::new(stream, Arc::clone(&self.meter));
        let stream = stream.with_interim(interim.clone());
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|error| SendError::Unsent(error.to_string()))?;
        let (close, closed) = oneshot::channel();
        self.tasks.spawn(async move {
            tokio::select! {
                _ = connection => {}
                Ok(()) = closed => {}
            }
        });
        Ok(IdleConnection {
            sender,
            close,
            interim,
            last_used: Instant::now(),
            count,
        })
    }

    /// Sends a request on one connection.
    async fn send_on(
        self: &Arc<Self>,
        mut connection: IdleConnection,
        mut request: Request<ProxyBody>,
        may_send: impl FnOnce() -> bool,
    ) -> Result<Response<ProxyBody>, SendFailure> {
        match timeout(READY_TIMEOUT, connection.sender.ready()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Err(SendFailure::Returned(Box::new(request))),
            Err(_) => return Err(SendFailure::NotReady(Box::new(request))),
        }
        if !may_send() {
            self.put_idle(connection);
            return Err(SendFailure::Final(SendError::Withheld));
        }
        connection.interim.count_for(&mut request);
        match connection.sender.try_send_request(request).await {
            Ok(response) if is_close_delimited(&response) => {
                self.warn_no_length();
                Err(SendFailure::lost(
                    "the answer has neither Content-Length nor chunks",
                ))
            }
            Ok(response) => Ok(self.reuse_after_body(connection, response)),
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendFailure::Returned(Box::new(request))),
                None => Err(SendFailure::lost(error.into_error())),
            },
        }
    }

    /// Warns operators, once per pool, that answers from the address cannot be
    /// used.
    fn warn_no_length(&self) {
        if !self.warned_no_length.swap(true, Ordering::Relaxed) {
            log::warn!(
                "link: dropped an answer of {} that ends by closing the connection; \
                 make the server send Content-Length or chunks.",
                self.address
            );
        }
    }

    /// Returns the answer with a body that puts the connection back into the pool
    /// when it ends.
    fn reuse_after_body(
        self: &Arc<Self>,
        connection: IdleConnection,
        response: Response<hyper::body::Incoming>,
    ) -> Response<ProxyBody> {
        let pool = Arc::downgrade(self);
        let reusable = Arc::new(AtomicBool::new(true));
        let mark = ReuseMark(Arc::clone(&reusable));
        let mut response = response.map(|body| {
            let on_end = move |end| match reusable.load(Ordering::Acquire) {
                true => return_to_pool(&pool, connection, end),
                false => drop(connection),
            };
            ObservedBody::new(box_body(body), on_end).boxed_unsync()
        });
        response.extensions_mut().insert(mark);
        response
    }

    /// Locks the idle connections. No holder of the lock panics, so poisoning is
    /// ignored.
    fn lock_idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Reason why a connection gave no answer.
enum SendFailure {
    /// The request was not sent and is returned; another connection may take it.
    Returned(Box<Request<ProxyBody>>),
    /// The request was not sent and is returned; the connection was not ready for it
    /// in time, which others may not be either.
    NotReady(Box<Request<ProxyBody>>),
    /// The request gets no answer.
    Final(SendError),
}

impl SendFailure {
    /// Returns the failure of a request that may have been sent.
    fn lost(cause: impl fmt::Display) -> Self {
        Self::Final(SendError::Lost(cause.to_string()))
    }
}

/// Whether the body of the answer ends where the connection is closed (RFC 9112,
/// 6.3). Such an answer is not usable, since a truncated one looks complete.
fn is_close_delimited(response: &Response<hyper::body::Incoming>) -> bool {
    let headers = response.headers();
    let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    // Answers to HEAD requests and answers with status 204 or 304 have no body.
    !framed && !response.body().is_end_stream()
}

/// Puts a connection back into the pool after a complete answer, and closes it
/// otherwise. While the body of the request is still being sent, the connection
/// stays out of the pool: the next request would wait on it for that. It is closed if
/// that takes longer than a connection may be idle.
fn return_to_pool(pool: &Weak<ConnectionPool>, mut connection: IdleConnection, end: BodyEnd) {
    let Some(pool) = pool.upgrade() else {
        return;
    };
    match end {
        BodyEnd::Complete if connection.sender.is_ready() => pool.put_idle(connection),
        BodyEnd::Complete => {
            let weak_pool = Arc::downgrade(&pool);
            pool.tasks.spawn(async move {
                let ready = timeout(MAX_IDLE_TIME, connection.sender.ready()).await;
                match ready {
                    Ok(Ok(())) => {
                        if let Some(pool) = weak_pool.upgrade() {
                            pool.put_idle(connection);
                        }
                    }
                    Ok(Err(_)) => {}
                    // The body arrives slowly. The library would go on sending it.
                    Err(_) => {
                        let _ = connection.close.send(());
                    }
                }
            });
        }
        _ => drop(connection),
    }
}

#[cfg(test)]
mod tests;
