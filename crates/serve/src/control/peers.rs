//! Datagrams to and from peers.

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

use crate::{metrics::MetricSet, view::FleetView};

/// Peers that are remembered by the address they send from.
const MAX_SEEN: usize = 4_096;

/// Sends datagrams to peers, from any task.
#[derive(Debug)]
pub struct PeerSender {
    socket: UdpSocket,
    seal: FrameSeal,
    view: Arc<FleetView>,
    metrics: Arc<MetricSet>,
    /// Incarnation of this daemon, a random number.
    incarnation: u64,
    number: AtomicU64,
    /// Addresses of peers that the configuration does not list: a daemon
    /// whose backend server is gone still serves its callers.
    seen: Mutex<FastMap<VmId, SocketAddr>>,
}

/// Receives datagrams of peers.
pub struct PeerSocket {
    sender: Arc<PeerSender>,
    guard: ReplayGuard,
    buffer: Vec<u8>,
}

/// Binds the datagram socket at the peer address.
///
/// # Errors
///
/// The error of binding, or of registering it with the runtime.
pub fn bind_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

impl PeerSender {
    /// A sender over a socket that was bound by [`bind_datagrams`].
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
            number: AtomicU64::new(0),
            seen: Mutex::default(),
        })
    }

    /// Sends a message; one that can't be sent is lost, as on the network.
    pub fn send(&self, to: &VmId, message: PeerMessage) {
        let Some(address) = self.address(to) else {
            return;
        };
        let frame = PeerFrame {
            from: self.view.vm.clone(),
            to: to.clone(),
            incarnation: self.incarnation,
            number: self.number.fetch_add(1, Ordering::Relaxed) + 1,
            message,
        };
        if let Ok(bytes) = self.seal.seal(&frame) {
            self.metrics.peer_bytes.inc_by(bytes.len() as u64);
            let _ = self.socket.try_send_to(&bytes, address);
        }
    }

    /// Address of a peer: by the configuration, else by where it sent from.
    fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        let listed = self.view.table().vm(vm).map(|vm| vm.address);
        listed.or_else(|| self.lock_seen().get(vm).copied())
    }

    /// Notes where a peer that is not listed sends from.
    fn note_seen(&self, vm: &VmId, address: SocketAddr) {
        if self.view.table().vm(vm).is_some() {
            return;
        }
        let mut seen = self.lock_seen();
        if seen.len() >= MAX_SEEN {
            seen.clear();
        }
        seen.insert(vm.clone(), address);
    }

    /// The addresses; no holder panics.
    fn lock_seen(&self) -> MutexGuard<'_, FastMap<VmId, SocketAddr>> {
        self.seen
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    /// Counts a datagram.
    fn count(&self, reason: &str) {
        let label = crate::metrics::OutcomeLabel {
            outcome: "received",
            reason: reason.to_owned(),
        };
        self.metrics.peer_messages.get_or_create(&label).inc();
    }
}

impl PeerSocket {
    /// The receiving side of a sender's socket.
    pub fn new(sender: Arc<PeerSender>) -> Self {
        Self {
            sender,
            guard: ReplayGuard::default(),
            buffer: vec![0; MAX_FRAME_BYTES + 1],
        }
    }

    /// Waits for the next good message.
    pub async fn receive(&mut self) -> (VmId, PeerMessage) {
        loop {
            let received = self.sender.socket.recv_from(&mut self.buffer).await;
            let Ok((length, address)) = received else {
                // An ICMP error of an earlier send; the next call goes on.
                continue;
            };
            match self.open(length) {
                Ok(frame) => {
                    self.sender.count("good");
                    self.sender.note_seen(&frame.from, address);
                    return (frame.from, frame.message);
                }
                Err(error) => self.sender.count(&error.to_string()),
            }
        }
    }

    /// Sends a message.
    pub fn send(&self, to: &VmId, message: PeerMessage) {
        self.sender.send(to, message);
    }

    /// Opens a datagram of that length in the buffer.
    fn open(&mut self, length: usize) -> Result<PeerFrame, FrameError> {
        let frame = self.sender.seal.open(&self.buffer[..length])?;
        if frame.to != self.sender.view.vm {
            return Err(FrameError::Misdirected);
        }
        match self
            .guard
            .accept(&frame.from, frame.incarnation, frame.number)
        {
            true => Ok(frame),
            false => Err(FrameError::Replayed),
        }
    }
}
