//! HTTP/1 server that passes each request to a handler.

use std::{io, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
};

/// Body of a stub's response.
pub type StubBody = UnsyncBoxBody<Bytes, io::Error>;

/// Returns a body of known length that is sent at once.
pub fn full_body(bytes: impl Into<Bytes>) -> StubBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Handles a request; `None` closes the connection without a response.
type Handler =
    dyn Fn(Request<Incoming>) -> BoxFuture<'static, Option<Response<StubBody>>> + Send + Sync;

/// Maximum number of header fields of a request, more than a daemon forwards.
const MAX_HEAD_FIELDS: usize = 2_048;

/// An HTTP server that runs until it is stopped.
#[derive(Debug)]
pub struct StubServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl StubServer {
    /// Listens on `address` and serves each request with `handler`.
    ///
    /// # Errors
    ///
    /// Returns the error if the address cannot be bound.
    pub async fn start<F>(address: SocketAddr, handler: F) -> io::Result<Self>
    where
        F: Fn(Request<Incoming>) -> BoxFuture<'static, Option<Response<StubBody>>>
            + Send
            + Sync
            + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept(listener, Arc::new(handler), stopped));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections, and waits until they are closed.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }
}

/// Accepts connections until `stopped` changes, then closes them.
async fn accept(listener: TcpListener, handler: Arc<Handler>, mut stopped: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, Arc::clone(&handler)));
                }
            }
            Some(_) = connections.join_next() => {}
            _ = stopped.changed() => break,
        }
    }
    connections.shutdown().await;
}

/// Serves one connection until it is closed.
async fn serve_connection(stream: TcpStream, handler: Arc<Handler>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let response = handler(request);
        async move {
            match response.await {
                Some(response) => Ok::<_, io::Error>(response),
                None => Err(io::Error::other("connection closed without a response")),
            }
        }
    });
    let _ = http1::Builder::new()
        .max_headers(MAX_HEAD_FIELDS)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
