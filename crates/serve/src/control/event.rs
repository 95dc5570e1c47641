//! Events that the other parts of a daemon send to its control loop.

use std::{sync::Arc, time::Duration};

use config::{ConfigTable, Delta, VmList};
use health::OutcomeCounts;
use ids::{AccountId, Percent, ServerId, ServiceId, VmId};
use limit::{LeaseSlots, TakeRefusal, TokenGrant};
use tokio::sync::{mpsc, oneshot};

/// Maximum number of queued events. Events sent with
/// [`ControlSender::try_send`] are dropped while the queue is full.
const QUEUE_LENGTH: usize = 65_536;

/// Token with the leases of its account, to which it can be given back.
pub type TakenToken = (Arc<LeaseSlots>, TokenGrant);

/// Event that the control loop handles.
#[derive(Debug)]
pub enum ControlEvent {
    /// A request found no leased token and waits for one.
    TakeToken {
        /// Client account of the request.
        account: AccountId,
        /// Channel for the token or the refusal.
        reply: oneshot::Sender<Result<TakenToken, TakeRefusal>>,
    },
    /// An egress reported the outcomes of requests at a backend server.
    Reported {
        /// Service of the backend server.
        service: ServiceId,
        /// The backend server.
        server: ServerId,
        /// Counters of the egress.
        counts: OutcomeCounts,
        /// Service time of the answer, if it was a good one.
        service_time: Option<Duration>,
    },
    /// The VM of a backend server could or could not be reached.
    PathObserved {
        /// Service of the backend server.
        service: ServiceId,
        /// The backend server.
        server: ServerId,
        /// Whether the VM was reached.
        reached: bool,
    },
    /// A canary request has ended.
    CanaryEnded {
        /// Service of the backend server.
        service: ServiceId,
        /// The backend server.
        server: ServerId,
        /// Whether the answer was good.
        good: bool,
    },
    /// The egress has new evidence about a backend server of this VM. The recent
    /// ingresses are told at once, before their next answer from there.
    AnnounceEvidence {
        /// The backend server.
        server: ServerId,
        /// Counters of the egress.
        counts: OutcomeCounts,
        /// Whether the egress refuses ordinary requests for the backend server.
        closed: bool,
        /// Share of recent requests that the backend server rejected.
        rejected: Percent,
        /// VMs of the recent ingresses.
        ingresses: Vec<VmId>,
    },
    /// The configuration was read from the platform.
    ConfigRead {
        /// The configuration, if it is newer than the one in force.
        table: Option<Arc<ConfigTable>>,
        /// Deltas that led to it; empty if it was read as a whole.
        deltas: Vec<Delta>,
    },
    /// The VM list was read from the platform. It is present only if it is newer
    /// than the one in force.
    VmListRead(Option<Arc<VmList>>),
    /// A peer replied to a pull.
    PullReplied(Box<super::pull::PullReply>),
    /// A peer pulls the newer revisions of this daemon.
    PullRequested {
        /// Revisions of the peer.
        request: super::pull::PullRequest,
        /// Channel for the reply.
        reply: oneshot::Sender<super::pull::PullReply>,
    },
    /// Asks for the state of the control loop, for the state dump.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// Sends events to the control loop.
#[derive(Clone, Debug)]
pub struct ControlSender {
    sender: mpsc::Sender<ControlEvent>,
}

/// Receives the events in the control loop.
pub type ControlReceiver = mpsc::Receiver<ControlEvent>;

/// Creates the queue of the control loop and returns both its ends.
pub fn control_queue() -> (ControlSender, ControlReceiver) {
    let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
    (ControlSender { sender }, receiver)
}

impl ControlSender {
    /// Sends an event without waiting; it is dropped if the queue is full.
    pub fn try_send(&self, event: ControlEvent) {
        let _ = self.sender.try_send(event);
    }

    /// Sends an event, and waits while the queue is full. Returns false if the
    /// control loop has ended.
    pub async fn send(&self, event: ControlEvent) -> bool {
        self.sender.send(event).await.is_ok()
    }
}
