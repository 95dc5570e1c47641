//! Accepts HTTP connections and shuts them down gracefully.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures::FutureExt;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, OwnedSemaphorePermit, Semaphore},
};

use crate::{
    body::ProxyBody,
    caller::CallerCrowd,
    keepalive::detect_dead_caller,
    ledger::{MeteredStream, StreamMeter},
    task::{StopSignal, TaskGroup},
    write_limit::LimitedWriter,
};

/// Pause after an accept that failed, for example because the process has no
/// file descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Time after `stop` in which a connection may still send its first request. Its
/// caller can't know that the listener is stopping.
pub const FIRST_REQUEST_TIME: Duration = Duration::from_millis(300);
/// Maximum number of header fields of a request. The parser allocates room for all
/// of them: 1.6 us for 1,024, and 8 us for the 4,096 that fit in 16 KB.
pub const MAX_HEAD_FIELDS: usize = 1_024;
/// Time between two attempts to make room while no further connection is allowed.
const ROOM_INTERVAL: Duration = Duration::from_millis(50);

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Maximum number of connections at a time; further ones wait to be
    /// accepted.
    pub connections: usize,
    /// Maximum size of the head of a request, in bytes.
    pub head_bytes: usize,
    /// Maximum number of header fields of a request.
    pub head_fields: usize,
    /// Maximum time until the head of a request is complete, which is also the
    /// maximum time that a connection may be idle.
    pub head_timeout: Duration,
    /// Idle time before the first TCP keepalive probe, and the interval between
    /// probes.
    pub keepalive: Duration,
    /// Maximum time for which the peer takes no byte of an answer.
    pub write_timeout: Duration,
    /// Whether answers without a date get one.
    pub adds_date: bool,
}

/// A listener that is bound to an address and does not accept connections yet.
#[derive(Debug)]
pub struct HttpListener {
    listener: TcpListener,
    limits: ListenerLimits,
    /// Connections to close if there are too many, if they may be closed.
    crowd: Option<Arc<CallerCrowd>>,
}

impl HttpListener {
    /// Binds `address`, even if a process that has just ended used it.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if `address` cannot be bound.
    pub fn bind(address: SocketAddr, limits: ListenerLimits) -> io::Result<Self> {
        let socket = match address {
            SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4(),
            SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6(),
        }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(Self {
            listener: socket.listen(BACKLOG)?,
            limits,
            crowd: None,
        })
    }

    /// Returns the limits of the listener.
    pub fn limits(&self) -> ListenerLimits {
        self.limits
    }

    /// Has the connections of `crowd` closed if they exceed its limits or if there
    /// is no room for new ones.
    pub fn watch(&mut self, crowd: Arc<CallerCrowd>) {
        self.crowd = Some(crowd);
    }

    /// Returns the address that the listener is bound to.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if it does not tell its address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections until `stop` is signaled, then lets the open ones
    /// finish. Returns when the last one has ended. The connections are tasks of
    /// `group`, so that its owner can wait for their end if this is aborted.
    pub async fn run<H, F>(self, handler: H, stop: StopSignal, group: Arc<TaskGroup>)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<ProxyBody>> + Send + 'static,
    {
        let limits = self.limits;
        let serve = move |stream, stopping| {
            let handler = handler.clone();
            serve_connection(stream, handler, limits, stopping)
        };
        self.run_with(serve, stop, group).await;
    }

    /// Accepts connections like [`Self::run`], which `serve` serves until they end
    /// or its stop signal has it shut them down.
    pub async fn run_with<C, F>(self, serve: C, mut stop: StopSignal, group: Arc<TaskGroup>)
    where
        C: Fn(TcpStream, StopSignal) -> F + Send + Sync + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        let start = |(stream, permit), stopping| {
            let served = serve(stream, stopping);
            group.spawn(async move {
                served.await;
                drop(permit);
            });
        };
        let watch = watch_crowd(self.crowd.clone());
        tokio::pin!(watch);
        loop {
            tokio::select! {
                accepted = self.accept(&permits) => match accepted {
                    Some(accepted) => start(accepted, stop.clone()),
                    None => tokio::time::sleep(ACCEPT_PAUSE).await,
                },
                () = &mut watch => {}
                () = stop.stopped() => break,
            }
        }
        // Connections that wait to be accepted would be reset with the listener.
        while let Some(accepted) = self.accept(&permits).now_or_never().flatten() {
            start(accepted, stop.clone());
        }
        drop(self.listener);
        tokio::select! {
            () = group.join() => {}
            () = watch => {}
        }
    }

    /// Accepts one connection as soon as the limit allows it; `None` if that fails.
    async fn accept(&self, permits: &Arc<Semaphore>) -> Option<(TcpStream, OwnedSemaphorePermit)> {
        self.make_room(permits);
        let acquired = Arc::clone(permits).acquire_owned();
        tokio::pin!(acquired);
        let permit = loop {
            tokio::select! {
                biased;
                permit = &mut acquired => break permit.ok()?,
                // A connection may have become idle since.
                () = tokio::time::sleep(ROOM_INTERVAL) => self.make_room(permits),
            }
        };
        let (stream, _) = self.listener.accept().await.ok()?;
        if let Err(error) = detect_dead_caller(&stream, self.limits.keepalive) {
            log::debug!("listener: can't set options of a connection: {error}.");
        }
        Some((stream, permit))
    }

    /// Closes the longest idle connections if there is little room for new ones.
    fn make_room(&self, permits: &Semaphore) {
        if let Some(crowd) = &self.crowd {
            crowd.make_room(permits.available_permits(), self.limits.connections);
        }
    }
}

/// Closes connections that exceed their limits. Never returns.
async fn watch_crowd(crowd: Option<Arc<CallerCrowd>>) {
    let Some(crowd) = crowd else {
        return std::future::pending().await;
    };
    loop {
        tokio::time::sleep(crowd.sweep_interval()).await;
        crowd.sweep();
    }
}

/// Serves a connection until it ends. After `stop` is signaled, it answers only
/// the request that it has already received, or its first one if that comes soon.
pub async fn serve_connection<H, F>(
    stream: TcpStream,
    handler: H,
    limits: ListenerLimits,
    mut stop: StopSignal,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<ProxyBody>>,
{
    let meter = Arc::new(StreamMeter::default());
    let stream = LimitedWriter::new(stream, limits.write_timeout);
    let first_request = Notify::new();
    let requested = AtomicBool::new(false);
    let service = service_fn(|mut request: Request<Incoming>| {
        requested.store(true, Ordering::Relaxed);
        first_request.notify_one();
        request.extensions_mut().insert(Arc::clone(&meter));
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .auto_date_header(limits.adds_date)
        .max_buf_size(limits.head_bytes.max(8_192))
        .max_headers(limits.head_fields)
        .serve_connection(
            TokioIo::new(MeteredStream::new(stream, Arc::clone(&meter))),
            service,
        );
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.stopped() => {}
    }
    if !requested.load(Ordering::Relaxed) {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = first_request.notified() => {}
            () = tokio::time::sleep(FIRST_REQUEST_TIME) => {}
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
