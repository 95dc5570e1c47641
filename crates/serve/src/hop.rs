//! Transport of the hop protocol: carries offers and their replies between the
//! ingresses and egresses of the fleet, in datagrams or, within one daemon, by
//! a function call.

use std::sync::{
    Arc, Mutex, MutexGuard, OnceLock, Weak,
    atomic::{AtomicU64, Ordering},
};

use hop::{EgressIncarnation, HopMessage, OfferId, OfferJob, OfferReply, ServerNotice};
use ids::{FastMap, ServerId, VmId};
use mesh::PeerMessage;
use tokio::sync::mpsc;

use crate::{control::PeerSender, egress::EgressHub};

/// Number of offer ids that are reserved for each search.
const IDS_PER_SEARCH: u64 = 64;

/// Receives the replies to the offers of one search.
pub type ReplyReceiver = mpsc::UnboundedReceiver<(OfferId, OfferReply)>;

/// Sends and receives the hop messages of one daemon.
#[derive(Debug)]
pub struct HopTransport {
    vm: VmId,
    peers: Arc<PeerSender>,
    egress: OnceLock<Weak<EgressHub>>,
    /// Senders of the replies to each search that is in progress, by the number
    /// of the search.
    reply_senders: Mutex<FastMap<u64, mpsc::UnboundedSender<(OfferId, OfferReply)>>>,
    next_search: AtomicU64,
}

/// Offer ids of one search, and the replies to its offers until it is dropped.
#[derive(Debug)]
pub struct SearchChannel {
    transport: Arc<HopTransport>,
    search: u64,
    /// Replies to the offers of the search.
    pub replies: ReplyReceiver,
}

impl HopTransport {
    /// Creates the transport of the daemon on `vm`.
    pub fn new(vm: VmId, peers: Arc<PeerSender>) -> Arc<Self> {
        Arc::new(Self {
            vm,
            peers,
            egress: OnceLock::new(),
            reply_senders: Mutex::default(),
            // Random, so that the ids of an earlier incarnation are not used
            // again.
            next_search: AtomicU64::new(rand::random::<u64>() / IDS_PER_SEARCH),
        })
    }

    /// Sets the egress of this VM. Later calls have no effect.
    pub fn set_egress(&self, egress: &Arc<EgressHub>) {
        let _ = self.egress.set(Arc::downgrade(egress));
    }

    /// Reserves offer ids for a search and registers it for replies.
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

    /// Passes on to the daemon of another VM what a backend server says about
    /// itself.
    pub fn send_notice(&self, to: &VmId, server: &ServerId, notice: ServerNotice) {
        if *to != self.vm {
            let server = server.clone();
            self.peers.send(to, PeerMessage::Notice { server, notice });
        }
    }

    /// Handles a message from the daemon on `from`.
    pub fn receive(self: &Arc<Self>, from: &VmId, message: HopMessage) {
        match message {
            HopMessage::Reply { offer, reply } => self.deliver(offer, reply),
            message => match self.egress.get().and_then(Weak::upgrade) {
                Some(egress) => egress.receive(self, from, message),
                None => log::debug!("hop: dropped a message because no egress is running."),
            },
        }
    }

    /// Passes a reply to the search that made the offer, if it is still in
    /// progress.
    fn deliver(self: &Arc<Self>, offer: OfferId, reply: OfferReply) {
        let search = offer.0 / IDS_PER_SEARCH;
        if let Some(sender) = self.lock().get(&search) {
            let _ = sender.send((offer, reply));
        }
    }

    /// Locks the senders, whose holders never panic.
    fn lock(&self) -> MutexGuard<'_, FastMap<u64, mpsc::UnboundedSender<(OfferId, OfferReply)>>> {
        self.reply_senders
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

impl SearchChannel {
    /// Returns the first offer id of the search.
    pub fn first_id(&self) -> OfferId {
        OfferId(self.search.wrapping_mul(IDS_PER_SEARCH))
    }

    /// Sends an offer, for the first time or again.
    pub fn offer(&self, to: &VmId, offer: OfferId, job: OfferJob) {
        let job = Box::new(job);
        self.transport.send(to, HopMessage::Offer { offer, job });
    }

    /// Passes on to an egress what one of its servers said about itself.
    pub fn send_notice(&self, to: &VmId, server: &ServerId, notice: ServerNotice) {
        self.transport.send_notice(to, server, notice);
    }

    /// Withdraws an offer.
    pub fn withdraw(&self, to: &VmId, offer: OfferId) {
        self.transport.send(to, HopMessage::Withdraw { offer });
    }

    /// Asks the egress that granted an offer in `incarnation` whether the
    /// request that was committed to it arrived.
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
