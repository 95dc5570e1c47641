//! Accepts HTTP connections and ends them gracefully.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};

use crate::{
    body::ProxyBody,
    task::{StopSignal, TaskGroup},
};

/// Wait after an accept that failed, for want of file descriptors say.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Bounds of one listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Connections at a time; more wait to be accepted.
    pub connections: usize,
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Time for a whole head, which is also the time a connection may idle.
    pub head_timeout: Duration,
}

/// A bound address that does not accept yet.
#[derive(Debug)]
pub struct HttpListener {
    listener: TcpListener,
    limits: ListenerLimits,
}

impl HttpListener {
    /// Binds `address`, which a process that just ended may have used.
    ///
    /// # Errors
    ///
    /// The error of binding.
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
        })
    }

    /// The address bound.
    ///
    /// # Errors
    ///
    /// The error of asking the socket.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts until `stop` turns, then lets connections finish.
    ///
    /// Returns when the last one has ended.
    pub async fn run<H, F>(self, handler: H, mut stop: StopSignal)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<ProxyBody>> + Send + 'static,
    {
        let group = TaskGroup::new();
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        loop {
            let stopping = stop.clone();
            tokio::select! {
                accepted = accept(&self.listener, &permits) => {
                    let Some((stream, permit)) = accepted else {
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                        continue;
                    };
                    let handler = handler.clone();
                    let limits = self.limits;
                    group.spawn(async move {
                        serve_connection(stream, handler, limits, stopping).await;
                        drop(permit);
                    });
                }
                () = stop.stopped() => break,
            }
        }
        drop(self.listener);
        group.join().await;
    }
}

/// Accepts one connection within the limit.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    let (stream, _) = listener.accept().await.ok()?;
    let _ = stream.set_nodelay(true);
    Some((stream, permit))
}

/// Serves a connection until it ends, or until it has answered what it had
/// when `stop` turned.
async fn serve_connection<H, F>(
    stream: TcpStream,
    handler: H,
    limits: ListenerLimits,
    mut stop: StopSignal,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<ProxyBody>>,
{
    let service = service_fn(|request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(8_192))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.stopped() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
