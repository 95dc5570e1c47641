//! Relay in front of a daemon or backend server that can drop or hold traffic.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream, UdpSocket},
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::sleep,
};

/// Size of the largest datagram that is relayed, in bytes.
const MAX_DATAGRAM: usize = 2_048;
/// Maximum number of bytes of a stream that are relayed at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// Receive buffer of the connections to the target while answers have a rate, in bytes.
const SMALL_WINDOW: u32 = 64 * 1024;

/// State shared between the task of the relay and its owner.
#[derive(Debug)]
struct Shared {
    target: OnceLock<SocketAddr>,
    cut: AtomicBool,
    /// Whether datagrams are dropped.
    deaf: AtomicBool,
    /// Number of bytes that the target can send on a new connection.
    answer_limit: AtomicU64,
    /// Bytes per second that the target can send on a new connection; zero for no limit.
    answer_rate: AtomicU64,
}

/// Relays TCP connections and UDP datagrams from one port to a target.
///
/// Datagrams are relayed to the target only: daemons send from their own
/// sockets, so the datagrams that the target sends never pass through the
/// relay.
#[derive(Debug)]
pub struct DropRelay {
    address: SocketAddr,
    shared: Arc<Shared>,
    /// Incremented by each [`DropRelay::set_cut`].
    cuts: watch::Sender<u64>,
    pause: watch::Sender<bool>,
    /// Incremented by each [`DropRelay::silence`].
    silences: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl DropRelay {
    /// Listens on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Returns the error if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let socket = UdpSocket::bind(address).await?;
        let shared = Arc::new(Shared {
            target: OnceLock::new(),
            cut: AtomicBool::new(false),
            deaf: AtomicBool::new(false),
            answer_limit: AtomicU64::new(u64::MAX),
            answer_rate: AtomicU64::new(0),
        });
        let (cuts, cut_changes) = watch::channel(0);
        let (pause, paused) = watch::channel(false);
        let (silences, silenced) = watch::channel(0);
        let signals = RelaySignals {
            cut_changes,
            paused,
            silenced,
        };
        let task = tokio::spawn(relay(listener, socket, Arc::clone(&shared), signals));
        Ok(Self {
            address,
            shared,
            cuts,
            pause,
            silences,
            task,
        })
    }

    /// Address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target; later calls have no effect.
    pub fn set_target(&self, target: SocketAddr) {
        let _ = self.shared.target.set(target);
    }

    /// Starts or ends a cut, and closes all connections. During a cut, datagrams
    /// are dropped and new connections are closed.
    pub fn set_cut(&self, cut: bool) {
        self.shared.cut.store(cut, Ordering::SeqCst);
        self.cuts.send_modify(|count| *count += 1);
    }

    /// Holds the data of streams in both directions, or lets it continue.
    pub fn set_paused(&self, paused: bool) {
        self.pause.send_replace(paused);
    }

    /// Holds the data of streams and drops datagrams, as if the machine of the target
    /// were frozen, or ends that.
    pub fn set_frozen(&self, frozen: bool) {
        self.shared.deaf.store(frozen, Ordering::SeqCst);
        self.set_paused(frozen);
    }

    /// Stops relaying on the connections that are open, without closing them.
    /// Later connections are relayed.
    pub fn silence(&self) {
        self.silences.send_modify(|count| *count += 1);
    }

    /// Closes all connections, and ends each new one after the target has sent this
    /// many bytes on it. `None` sets no limit.
    pub fn limit_answers(&self, bytes: Option<u64>) {
        let limit = bytes.unwrap_or(u64::MAX);
        self.shared.answer_limit.store(limit, Ordering::SeqCst);
        self.set_cut(false);
    }

    /// Limits what the target can send on each later connection to this many bytes per
    /// second, with a small window.
    pub fn limit_answer_rate(&self, rate: u64) {
        self.shared.answer_rate.store(rate, Ordering::SeqCst);
    }

    /// Stops the relay, closes its connections and waits until it has ended.
    pub async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// Signals from the owner of the relay to its streams.
#[derive(Clone, Debug)]
struct RelaySignals {
    /// Changes with each [`DropRelay::set_cut`].
    cut_changes: watch::Receiver<u64>,
    /// Whether the data of streams is held.
    paused: watch::Receiver<bool>,
    /// Changes with each [`DropRelay::silence`].
    silenced: watch::Receiver<u64>,
}

/// Relays until the task is aborted.
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
                let drops = shared.cut.load(Ordering::SeqCst) || shared.deaf.load(Ordering::SeqCst);
                if let Some(target) = shared.target.get().filter(|_| !drops) {
                    let _ = socket.send_to(&buffer[..length], target).await;
                }
            }
            Some(_) = streams.join_next() => {}
        }
    }
}

/// Relays one connection until both directions or a cut end it.
async fn relay_stream(stream: TcpStream, shared: Arc<Shared>, mut signals: RelaySignals) {
    // Only a later cut ends the connection; earlier ones are seen in the flag.
    signals.cut_changes.mark_unchanged();
    signals.silenced.mark_unchanged();
    let cut = || shared.cut.load(Ordering::SeqCst);
    let Some(target) = shared.target.get().filter(|_| !cut()) else {
        return;
    };
    let rate = shared.answer_rate.load(Ordering::SeqCst);
    let Ok(out) = connect(*target, rate > 0).await else {
        return;
    };
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = out.into_split();
    let forth = copy_stream(from_caller, to_target, signals.clone(), 0);
    let limit = shared.answer_limit.load(Ordering::SeqCst);
    let back = copy_stream(from_target.take(limit), to_caller, signals.clone(), rate);
    let both = async { tokio::join!(forth, back) };
    tokio::pin!(both);
    tokio::select! {
        _ = &mut both => {}
        _ = signals.cut_changes.changed() => {}
        // The copies are no longer polled, but their connections stay open.
        _ = signals.silenced.changed() => {
            let _ = signals.cut_changes.changed().await;
        }
    }
}

/// Connects to the target, with a small receive buffer if `small` is set.
async fn connect(target: SocketAddr, small: bool) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if small {
        socket.set_recv_buffer_size(SMALL_WINDOW)?;
    }
    socket.connect(target).await
}

/// Copies one direction until its end or a cut; waits while it is held. With a `rate`
/// other than zero, it passes at most so many bytes per second.
async fn copy_stream(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut signals: RelaySignals,
    rate: u64,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if rate > 0 {
            sleep(Duration::from_secs_f64(length as f64 / rate as f64)).await;
        }
        let _ = signals.paused.wait_for(|paused| !paused).await;
        // Data sent after a cut may be read before the cut is noticed, so the
        // signal is checked before the data is written.
        if signals.cut_changes.has_changed().unwrap_or(true) {
            return Ok(());
        }
        match length {
            0 => return to.shutdown().await,
            _ => to.write_all(&buffer[..length]).await?,
        }
    }
}
