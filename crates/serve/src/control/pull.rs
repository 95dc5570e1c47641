//! What a daemon fetches from a peer over TCP.

use std::{sync::Arc, time::Duration};

use config::{BucketDigests, Delta, TablePatch, VmList};
use hyper::{Request, Response, StatusCode};
use ids::Revision;
use serde::{Deserialize, Serialize};

use crate::{
    body::{BufferedBody, ProxyBody, buffer_body, empty_body, full_body},
    control::event::{ControlEvent, ControlSender},
    link::ConnectionPool,
    wire::{HeaderSeal, PULL, REPORT},
};

/// Path of a pull at the peer address.
const PULL_PATH: &str = "/pull";
/// Time for a whole pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest reply as it is sent, in bytes.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// What the asking daemon knows.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PullRequest {
    /// Configuration in force there.
    pub config: Revision,
    /// VM list in force there.
    pub vms: Revision,
    /// Digests of its records, if there are not too many.
    pub digests: Option<BucketDigests>,
}

/// What is newer.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct PullReply {
    /// Deltas from the revision asked for, if they reach back that far.
    pub deltas: Vec<Delta>,
    /// What differs, if they do not and there are not too many records.
    pub patch: Option<TablePatch>,
    /// The VM list, if newer.
    pub vms: Option<VmList>,
}

/// Proof that a reply is from a daemon of the fleet.
#[derive(Deserialize, Serialize)]
struct ReplyProof {
    hash: [u8; 32],
}

/// Answers a peer's pull.
pub async fn answer_pull(
    control: &ControlSender,
    seal: &HeaderSeal,
    request: PullRequest,
) -> Response<ProxyBody> {
    let (reply, answer) = tokio::sync::oneshot::channel();
    let event = ControlEvent::PullAsked { request, reply };
    let answered = match control.send(event).await {
        true => answer.await.ok(),
        false => None,
    };
    let bytes = answered.and_then(|answer| mesh::pack(&answer).ok());
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

/// Fetches from a peer and passes the reply to the control loop.
pub async fn pull_from(
    connections: Arc<ConnectionPool>,
    seal: HeaderSeal,
    request: PullRequest,
    control: ControlSender,
) {
    let fetched = tokio::time::timeout(PULL_TIMEOUT, fetch(&connections, &seal, &request)).await;
    match fetched {
        Ok(Some(reply)) => {
            control.send(ControlEvent::Pulled(Box::new(reply))).await;
        }
        _ => log::debug!("mesh: pull from {} brought nothing.", connections.address()),
    }
}

/// Fetches and checks a reply.
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
        .inspect_err(|error| log::warn!("mesh: reply of {}: {error}.", connections.address()))
        .ok()
}
