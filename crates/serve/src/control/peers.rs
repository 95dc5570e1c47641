//! Sealed datagrams to and from peers.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

use ids::{FastMap, VmId};
use mesh::{FrameError, FrameSeal, MAX_FRAME_BYTES, PeerFrame, PeerMessage, ReplayGuard};
use tokio::net::UdpSocket;

use crate::{ledger::SentKind, metrics::MetricSet, view::FleetView};

/// Maximum number of unlisted peers whose addresses are remembered.
const MAX_UNLISTED_PEERS: usize = 4_096;

/// Sends datagrams to peers; usable from any task.
#[derive(Debug)]
pub struct PeerSender {
    socket: UdpSocket,
    seal: FrameSeal,
    view: Arc<FleetView>,
    metrics: Arc<MetricSet>,
    /// Random number that identifies this incarnation of the daemon.
    incarnation: u32,
    /// Sequence number of the latest frame.
    last_number: AtomicU64,
    /// Source addresses of peers that the configuration does not list. A daemon
    /// whose backend server was removed still serves its callers.
    unlisted: Mutex<FastMap<VmId, SocketAddr>>,
}

/// Receives datagrams from peers.
pub struct PeerSocket {
    sender: Arc<PeerSender>,
    guard: ReplayGuard,
    buffer: Vec<u8>,
}

/// Binds the datagram socket to the peer address.
///
/// # Errors
///
/// Returns an error if the socket can't be bound, or can't be registered with
/// the runtime.
pub fn bind_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

impl PeerSender {
    /// Creates a sender over a socket that [`bind_datagrams`] has bound.
    pub fn new(
        socket: UdpSocket,
        secret: &[u8],
        view: Arc<FleetView>,
        metrics: Arc<MetricSet>,
    ) -> Arc<Self> {
        Arc::new(Self {
            socket,
            seal: FrameSeal::new(secret),
            view,
            metrics,
            incarnation: rand::random(),
            last_number: AtomicU64::new(0),
            unlisted: Mutex::default(),
        })
    }

    /// Sends a message to the daemon of a VM.
    ///
    /// A message that can't be sent is dropped: the receiver of datagrams has to
    /// cope with lost ones in any case.
    pub fn send(&self, to: &VmId, message: PeerMessage) {
        let Some(address) = self.address(to) else {
            return;
        };
        let kind = SentKind::of(&message);
        let frame = PeerFrame {
            from: self.view.vm.clone(),
            incarnation: self.incarnation,
            number: self.last_number.fetch_add(1, Ordering::Relaxed) + 1,
            message,
        };
        if let Ok(bytes) = self.seal.seal(&frame, to) {
            let counter = self.metrics.ledger.counter(kind, self.view.distance(to));
            counter.inc_by(bytes.len() as u64);
            let _ = self.socket.try_send_to(&bytes, address);
        }
    }

    /// Returns the address of a peer: the configured one, or else the source of
    /// its latest datagram.
    fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        let listed = self.view.table().vm(vm).map(|vm| vm.address);
        listed.or_else(|| self.lock_unlisted().get(vm).copied())
    }

    /// Records the source address of a peer that the configuration does not list.
    fn record_unlisted(&self, vm: &VmId, address: SocketAddr) {
        if self.view.table().vm(vm).is_some() {
            return;
        }
        let mut unlisted = self.lock_unlisted();
        if unlisted.len() >= MAX_UNLISTED_PEERS {
            unlisted.clear();
        }
        unlisted.insert(vm.clone(), address);
    }

    /// Locks the addresses. The lock is never poisoned, since no holder panics.
    fn lock_unlisted(&self) -> MutexGuard<'_, FastMap<VmId, SocketAddr>> {
        self.unlisted
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    /// Counts a received datagram by the result of its check.
    fn count_received(&self, reason: &str) {
        let label = crate::metrics::OutcomeLabel {
            outcome: "received",
            reason: reason.to_owned(),
        };
        self.metrics.peer_messages.get_or_create(&label).inc();
    }
}

impl PeerSocket {
    /// Creates the receiving side of a sender's socket.
    pub fn new(sender: Arc<PeerSender>) -> Self {
        Self {
            sender,
            guard: ReplayGuard::default(),
            buffer: vec![0; MAX_FRAME_BYTES + 1],
        }
    }

    /// Waits for the next valid message, and returns it with its sender.
    pub async fn receive(&mut self) -> (VmId, PeerMessage) {
        loop {
            let received = self.sender.socket.recv_from(&mut self.buffer).await;
            let Ok((length, address)) = received else {
                // The error is an ICMP error from an earlier send, and the next
                // call reads on.
                continue;
            };
            match self.open(length) {
                Ok(frame) => {
                    self.sender.count_received("good");
                    self.sender.record_unlisted(&frame.from, address);
                    return (frame.from, frame.message);
                }
                Err(error) => self.sender.count_received(&error.to_string()),
            }
        }
    }

    /// Sends a message.
    pub fn send(&self, to: &VmId, message: PeerMessage) {
        self.sender.send(to, message);
    }

    /// Decodes and verifies the datagram in the first `length` bytes of the
    /// buffer.
    fn open(&mut self, length: usize) -> Result<PeerFrame, FrameError> {
        let frame = self
            .sender
            .seal
            .open(&self.buffer[..length], &self.sender.view.vm)?;
        match self
            .guard
            .accept(&frame.from, frame.incarnation, frame.number)
        {
            true => Ok(frame),
            false => Err(FrameError::Replayed),
        }
    }
}
