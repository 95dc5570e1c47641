//! A relay in front of a daemon's peer address that can drop what comes in,
//! or hold it for a time.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    sync::watch,
    task::{JoinHandle, JoinSet},
};

/// Largest datagram that is relayed, in bytes.
const MAX_DATAGRAM: usize = 2_048;
/// Bytes of a stream relayed at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// What the relay's task shares with the owner.
#[derive(Debug, Default)]
struct Shared {
    target: OnceLock<SocketAddr>,
    cut: AtomicBool,
}

/// Relays TCP and UDP of one port to a target, in the direction of the target
/// only as far as datagrams go: daemons send from their own sockets, so what
/// the target sends never passes here.
#[derive(Debug)]
pub struct DropRelay {
    address: SocketAddr,
    shared: Arc<Shared>,
    cuts: watch::Sender<u64>,
    pause: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl DropRelay {
    /// Listens on a free port of loopback.
    ///
    /// # Errors
    ///
    /// The error of binding.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let socket = UdpSocket::bind(address).await?;
        let shared = Arc::new(Shared::default());
        let (cuts, cut_seen) = watch::channel(0);
        let (pause, paused) = watch::channel(false);
        let signals = RelaySignals { cut_seen, paused };
        let task = tokio::spawn(relay(listener, socket, Arc::clone(&shared), signals));
        Ok(Self {
            address,
            shared,
            cuts,
            pause,
            task,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets where it leads, once.
    pub fn set_target(&self, target: SocketAddr) {
        let _ = self.shared.target.set(target);
    }

    /// Drops everything towards the target from now on, or relays again.
    pub fn set_cut(&self, cut: bool) {
        self.shared.cut.store(cut, Ordering::SeqCst);
        self.cuts.send_modify(|count| *count += 1);
    }

    /// Holds what streams carry, in both directions, or lets it go on.
    pub fn set_paused(&self, paused: bool) {
        self.pause.send_replace(paused);
    }

    /// Stops it and waits for the end.
    pub async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// What the owner tells the streams.
#[derive(Clone, Debug)]
struct RelaySignals {
    /// Turns with each cut.
    cut_seen: watch::Receiver<u64>,
    /// Whether streams are held.
    paused: watch::Receiver<bool>,
}

/// Relays until aborted.
async fn relay(
    listener: TcpListener,
    socket: UdpSocket,
    shared: Arc<Shared>,
    signals: RelaySignals,
) {
    let mut streams = JoinSet::new();
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        tokio::select! {
            Ok((stream, _)) = listener.accept() => {
                streams.spawn(relay_stream(stream, Arc::clone(&shared), signals.clone()));
            }
            Ok((length, _)) = socket.recv_from(&mut buffer) => {
                let cut = shared.cut.load(Ordering::SeqCst);
                if let Some(target) = shared.target.get().filter(|_| !cut) {
                    let _ = socket.send_to(&buffer[..length], target).await;
                }
            }
            Some(_) = streams.join_next() => {}
        }
    }
}

/// Relays one connection until either side or a cut ends it.
async fn relay_stream(stream: TcpStream, shared: Arc<Shared>, mut signals: RelaySignals) {
    // Only a cut from now on ends it; the ones before are in the flag.
    signals.cut_seen.mark_unchanged();
    let cut = || shared.cut.load(Ordering::SeqCst);
    let Some(target) = shared.target.get().filter(|_| !cut()) else {
        return;
    };
    let Ok(out) = TcpStream::connect(target).await else {
        return;
    };
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = out.into_split();
    let forth = copy_held(from_caller, to_target, signals.clone());
    let back = copy_held(from_target, to_caller, signals.clone());
    tokio::select! {
        _ = async { tokio::join!(forth, back) } => {}
        _ = signals.cut_seen.changed() => {}
    }
}

/// Copies one direction to its end, as far as it is not held.
async fn copy_held(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut signals: RelaySignals,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        let _ = signals.paused.wait_for(|paused| !paused).await;
        // What was sent after a cut may be read before the cut is noticed.
        if signals.cut_seen.has_changed().unwrap_or(true) {
            return Ok(());
        }
        match length {
            0 => return to.shutdown().await,
            _ => to.write_all(&buffer[..length]).await?,
        }
    }
}
