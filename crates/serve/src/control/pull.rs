//! Pulls: requests over TCP for the newer revisions of a peer.

use std::{sync::Arc, time::Duration};

use config::{BucketDigests, Delta, TablePatch, VmList};
use hyper::{Request, Response, StatusCode};
use ids::{Revision, VmId};
use serde::{Deserialize, Serialize};

use super::ControlLoop;
use crate::{
    body::{BufferedBody, ProxyBody, buffer_body, empty_body, full_body},
    control::event::{ControlEvent, ControlSender},
    link::ConnectionPool,
    wire::{HeaderSeal, PULL, REPORT},
};

/// Path of pull requests at the peer address.
const PULL_PATH: &str = "/pull";
/// Time limit of a whole pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a packed reply, in bytes.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// Request of a daemon that lags behind.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PullRequest {
    /// VM of that daemon.
    pub from: VmId,
    /// Revision of its configuration.
    pub config: Revision,
    /// Revision of its VM list.
    pub vms: Revision,
    /// Bucket digests of its records, unless there are too many records.
    pub digests: Option<BucketDigests>,
}

/// Reply with what is newer than at the requesting daemon.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct PullReply {
    /// Deltas from the configuration of the requesting daemon, if the kept deltas
    /// reach back that far.
    pub deltas: Vec<Delta>,
    /// Patch for the records that differ, if the deltas do not reach back that
    /// far and there are not too many records.
    pub patch: Option<TablePatch>,
    /// The VM list, if it is newer.
    pub vms: Option<VmList>,
}

/// Hash of the reply. It is sealed in a header, which proves that the reply
/// comes from a daemon of the fleet.
#[derive(Deserialize, Serialize)]
struct ReplyProof {
    hash: [u8; 32],
}

/// Replies to a pull request of a peer; the status is 503 if the control loop
/// has ended.
pub async fn reply_to_pull(
    control: &ControlSender,
    seal: &HeaderSeal,
    request: PullRequest,
) -> Response<ProxyBody> {
    let (reply, receiver) = tokio::sync::oneshot::channel();
    let event = ControlEvent::PullRequested { request, reply };
    let replied = match control.send(event).await {
        true => receiver.await.ok(),
        false => None,
    };
    let bytes = replied.and_then(|reply| mesh::pack(&reply).ok());
    let Some(bytes) = bytes else {
        let mut response = Response::new(empty_body());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return response;
    };
    let proof = ReplyProof {
        hash: *blake3::hash(&bytes).as_bytes(),
    };
    let mut response = Response::new(full_body(bytes));
    response.headers_mut().insert(REPORT, seal.seal(&proof));
    response
}

/// Pulls from a peer and passes the reply to the control loop.
pub async fn pull_from(
    connections: Arc<ConnectionPool>,
    seal: HeaderSeal,
    request: PullRequest,
    control: ControlSender,
) {
    let fetched = tokio::time::timeout(PULL_TIMEOUT, fetch(&connections, &seal, &request)).await;
    match fetched {
        Ok(Some(reply)) => {
            control
                .send(ControlEvent::PullReplied(Box::new(reply)))
                .await;
        }
        _ => log::debug!(
            "mesh: pull from {} failed or timed out.",
            connections.address()
        ),
    }
}

/// Sends a pull request, and verifies and decodes the reply.
async fn fetch(
    connections: &Arc<ConnectionPool>,
    seal: &HeaderSeal,
    asked: &PullRequest,
) -> Option<PullReply> {
    let request = Request::get(PULL_PATH)
        .header("host", "peer")
        .header(PULL, seal.seal(asked))
        .body(empty_body())
        .ok()?;
    let response = connections.send(request).await.ok()?;
    let proof: ReplyProof = seal.open(response.headers().get(REPORT)?)?;
    let BufferedBody::Complete(bytes) = buffer_body(response.into_body(), MAX_REPLY_BYTES)
        .await
        .ok()?
    else {
        return None;
    };
    if *blake3::hash(&bytes).as_bytes() != proof.hash {
        return None;
    }
    let unpacked = mesh::unpack(&bytes);
    unpacked
        .inspect_err(|error| {
            log::warn!(
                "mesh: undecodable pull reply from {}: {error}.",
                connections.address()
            )
        })
        .ok()
}

impl ControlLoop {
    /// Starts a task that fetches newer revisions from a peer.
    pub(super) fn start_pull(&self, from: &VmId) {
        let Some(connections) = self.parts.pools.peer_connections(from) else {
            return;
        };
        let request = self.pull_request();
        let seal = self.parts.seal.clone();
        let sender = self.parts.sender.clone();
        self.tasks
            .spawn(pull_from(connections, seal, request, sender));
    }
}
