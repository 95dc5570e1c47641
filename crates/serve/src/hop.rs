//! Carries offers and their answers between the ingresses and egresses of the
//! fleet, by datagrams or, on the same VM, by a call.

use std::sync::{
    Arc, Mutex, MutexGuard, OnceLock, Weak,
    atomic::{AtomicU64, Ordering},
};

use hop::{EgressIncarnation, HopMessage, OfferId, OfferJob, OfferReply};
use ids::{FastMap, VmId};
use mesh::PeerMessage;
use tokio::sync::mpsc;

use crate::{control::PeerSender, egress::EgressHub};

/// Numbers that one search may use.
const IDS_PER_SEARCH: u64 = 64;

/// Answers to the offers of one search.
pub type ReplyReceiver = mpsc::UnboundedReceiver<(OfferId, OfferReply)>;

/// One daemon's side of the hop.
#[derive(Debug)]
pub struct HopTransport {
    vm: VmId,
    peers: Arc<PeerSender>,
    egress: OnceLock<Weak<EgressHub>>,
    /// Who waits for answers, by the first number of a search.
    inbox: Mutex<FastMap<u64, mpsc::UnboundedSender<(OfferId, OfferReply)>>>,
    next_search: AtomicU64,
}

/// The numbers of one search, and the answers to them until it is dropped.
#[derive(Debug)]
pub struct SearchChannel {
    transport: Arc<HopTransport>,
    search: u64,
    /// Answers to the offers.
    pub replies: ReplyReceiver,
}

impl HopTransport {
    /// A port of the daemon on `vm`.
    pub fn new(vm: VmId, peers: Arc<PeerSender>) -> Arc<Self> {
        Arc::new(Self {
            vm,
            peers,
            egress: OnceLock::new(),
            inbox: Mutex::default(),
            // Random, so that numbers of an earlier incarnation don't come again.
            next_search: AtomicU64::new(rand::random::<u64>() / IDS_PER_SEARCH),
        })
    }

    /// Sets the egress of this VM, once.
    pub fn set_egress(&self, egress: &Arc<EgressHub>) {
        let _ = self.egress.set(Arc::downgrade(egress));
    }

    /// Takes numbers for a search.
    pub fn open_search(self: &Arc<Self>) -> SearchChannel {
        let search = self.next_search.fetch_add(1, Ordering::Relaxed);
        let (sender, replies) = mpsc::unbounded_channel();
        self.lock().insert(search, sender);
        SearchChannel {
            transport: Arc::clone(self),
            search,
            replies,
        }
    }

    /// Sends a message to the daemon of a VM, which may be this one.
    pub fn send(self: &Arc<Self>, to: &VmId, message: HopMessage) {
        match *to == self.vm {
            true => self.receive(to, message),
            false => self.peers.send(to, PeerMessage::Hop(message)),
        }
    }

    /// Takes a message of a daemon.
    pub fn receive(self: &Arc<Self>, from: &VmId, message: HopMessage) {
        match message {
            HopMessage::Reply { offer, reply } => self.deliver(offer, reply),
            message => match self.egress.get().and_then(Weak::upgrade) {
                Some(egress) => egress.receive(self, from, message),
                None => log::debug!("hop: a message came before the egress was there."),
            },
        }
    }

    /// Passes an answer to the search that waits for it.
    fn deliver(self: &Arc<Self>, offer: OfferId, reply: OfferReply) {
        let search = offer.0 / IDS_PER_SEARCH;
        if let Some(sender) = self.lock().get(&search) {
            let _ = sender.send((offer, reply));
        }
    }

    /// The inbox; no holder panics.
    fn lock(&self) -> MutexGuard<'_, FastMap<u64, mpsc::UnboundedSender<(OfferId, OfferReply)>>> {
        self.inbox
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

impl SearchChannel {
    /// First number of the search.
    pub fn first_id(&self) -> OfferId {
        OfferId(self.search.wrapping_mul(IDS_PER_SEARCH))
    }

    /// Makes or repeats an offer.
    pub fn offer(&self, to: &VmId, offer: OfferId, job: OfferJob) {
        let job = Box::new(job);
        self.transport.send(to, HopMessage::Offer { offer, job });
    }

    /// Takes an offer back.
    pub fn withdraw(&self, to: &VmId, offer: OfferId) {
        self.transport.send(to, HopMessage::Withdraw { offer });
    }

    /// Asks the egress that granted an offer in `incarnation` whether the request
    /// that was committed to it arrived.
    pub fn check(&self, to: &VmId, offer: OfferId, incarnation: EgressIncarnation) {
        self.transport
            .send(to, HopMessage::Check { offer, incarnation });
    }
}

impl Drop for SearchChannel {
    fn drop(&mut self) {
        self.transport.lock().remove(&self.search);
    }
}
