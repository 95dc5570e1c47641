//! Where peers hand over attempts.

use std::sync::Arc;

use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};

use crate::{
    body::{ProxyBody, box_body, empty_body},
    control::{ControlSender, PullRequest, answer_pull},
    egress::EgressHub,
    wire::{self, Attempt, EgressOutcome, HeaderSeal},
};

/// Serves peers' requests.
#[derive(Debug)]
pub struct PeerDesk {
    /// The egress of this VM.
    pub egress: Arc<EgressHub>,
    /// Opens attempts and seals reports.
    pub seal: HeaderSeal,
    /// The control loop, which answers pulls.
    pub control: ControlSender,
}

impl PeerDesk {
    /// Answers a peer; one that does not prove the secret gets 403 and
    /// nothing of it is looked at.
    pub async fn serve(&self, mut request: Request<Incoming>) -> Response<ProxyBody> {
        let pull = request.headers_mut().remove(wire::PULL);
        if let Some(pull) = pull.and_then(|value| self.seal.open::<PullRequest>(&value)) {
            return answer_pull(&self.control, &self.seal, pull).await;
        }
        let header = request.headers_mut().remove(wire::ATTEMPT);
        let attempt = header.and_then(|value| self.seal.open::<Attempt>(&value));
        let target = request
            .uri()
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let target = wire::target_hash(request.method().as_str(), target);
        let attempt = match attempt {
            Some(attempt) if attempt.target_hash == target => attempt,
            _ => return status_response(StatusCode::FORBIDDEN),
        };
        let answer = self.egress.commit(&attempt, request.map(box_body)).await;
        let mut response = match answer.response {
            Some(response) => response,
            None => status_response(status_of(answer.report.outcome)),
        };
        let headers = response.headers_mut();
        wire::sanitize_headers(headers);
        headers.insert(wire::REPORT, self.seal.seal(&answer.report));
        if self.egress.is_draining() {
            // The peer gives the connection up, rather than this daemon.
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Status of a peer answer that is not a backend server's; for people who
/// read traces, since peers go by the report.
fn status_of(outcome: EgressOutcome) -> StatusCode {
    match outcome {
        EgressOutcome::Answered => StatusCode::OK,
        EgressOutcome::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        EgressOutcome::Lost => StatusCode::BAD_GATEWAY,
        EgressOutcome::TimedOut => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// An answer without a body.
fn status_response(status: StatusCode) -> Response<ProxyBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
