//! What the parts of a daemon tell its control loop.

use std::{sync::Arc, time::Duration};

use config::{ConfigTable, Delta, VmList};
use health::OutcomeCounts;
use ids::{AccountId, ServerId, ServiceId, VmId};
use limit::{LeaseSlots, TakeRefusal, TokenGrant};
use tokio::sync::{mpsc, oneshot};

/// Events that wait for the control loop; evidence beyond it is dropped.
const QUEUE_LENGTH: usize = 65_536;

/// A token, with the cell that it can be given back to.
pub type TakenToken = (Arc<LeaseSlots>, TokenGrant);

/// Something for the control loop.
#[derive(Debug)]
pub enum ControlEvent {
    /// A request found no token at hand.
    TakeToken {
        /// Its account.
        account: AccountId,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<TakenToken, TakeRefusal>>,
    },
    /// An egress reported on a backend server.
    Reported {
        /// Its service.
        service: ServiceId,
        /// The backend server.
        server: ServerId,
        /// Its counters.
        counts: OutcomeCounts,
        /// Time of a good answer.
        service_time: Option<Duration>,
    },
    /// The VM of a backend server could not be reached, or could.
    PathObserved {
        /// Its service.
        service: ServiceId,
        /// The backend server.
        server: ServerId,
        /// Whether it was reached.
        reached: bool,
    },
    /// A canary request has ended.
    CanaryEnded {
        /// Its service.
        service: ServiceId,
        /// The backend server.
        server: ServerId,
        /// Whether it went well.
        good: bool,
    },
    /// A backend server of this VM gave bad evidence; recent ingresses are to
    /// hear of it before their next answer from there.
    AnnounceEvidence {
        /// The backend server.
        server: ServerId,
        /// Its counters.
        counts: OutcomeCounts,
        /// Whether ordinary requests are kept away from it.
        closed: bool,
        /// VMs of recent ingresses.
        ingresses: Vec<VmId>,
    },
    /// The platform was read, and a newer configuration was found or not.
    ConfigRead {
        /// The newer one.
        table: Option<Arc<ConfigTable>>,
        /// Deltas that led to it.
        deltas: Vec<Delta>,
    },
    /// The platform was read, and a newer VM list was found or not.
    VmListRead(Option<Arc<VmList>>),
    /// A pull from a peer brought this.
    PullReplied(Box<super::pull::PullReply>),
    /// A peer asks for what is newer than it knows.
    PullRequested {
        /// What it knows.
        request: super::pull::PullRequest,
        /// Where the answer goes.
        reply: oneshot::Sender<super::pull::PullReply>,
    },
    /// Somebody wants the state.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// Where events go.
#[derive(Clone, Debug)]
pub struct ControlSender {
    sender: mpsc::Sender<ControlEvent>,
}

/// Where events come from.
pub type ControlReceiver = mpsc::Receiver<ControlEvent>;

/// Both ends of the control loop's queue.
pub fn control_queue() -> (ControlSender, ControlReceiver) {
    let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
    (ControlSender { sender }, receiver)
}

impl ControlSender {
    /// Sends an event that may be dropped when the loop is behind.
    pub fn try_send(&self, event: ControlEvent) {
        let _ = self.sender.try_send(event);
    }

    /// Sends an event that must arrive; false if the loop has ended.
    pub async fn send(&self, event: ControlEvent) -> bool {
        self.sender.send(event).await.is_ok()
    }
}
