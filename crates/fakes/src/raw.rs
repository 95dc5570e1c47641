//! Server that responds with fixed bytes, well-formed HTTP or not, and closes
//! the connection.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

/// Bytes that end the head of a request.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A server that sends the same bytes as the response to every request.
#[derive(Debug)]
pub struct RawStub {
    address: SocketAddr,
    heads: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl RawStub {
    /// Listens on `address` and responds with `response`.
    ///
    /// # Errors
    ///
    /// Returns the error if the address cannot be bound.
    pub async fn start(address: SocketAddr, response: impl Into<Arc<[u8]>>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let heads = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(listener, response.into(), Arc::clone(&heads)));
        Ok(Self {
            address,
            heads,
            task,
        })
    }

    /// Address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of request heads read so far.
    pub fn count(&self) -> u64 {
        self.heads.load(Ordering::SeqCst)
    }

    /// Stops the server, closes its connections and waits until it has ended.
    pub async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// Accepts connections until the task is aborted, which closes them too.
async fn accept(listener: TcpListener, response: Arc<[u8]>, heads: Arc<AtomicU64>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, Arc::clone(&response), Arc::clone(&heads)));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Reads the head of one request, sends the response and closes.
async fn serve(
    mut stream: TcpStream,
    response: Arc<[u8]>,
    heads: Arc<AtomicU64>,
) -> io::Result<()> {
    let mut head = Vec::new();
    while !head.windows(HEAD_END.len()).any(|end| end == HEAD_END) {
        if stream.read_buf(&mut head).await? == 0 {
            return Ok(());
        }
    }
    heads.fetch_add(1, Ordering::SeqCst);
    stream.write_all(&response).await?;
    stream.shutdown().await
}
