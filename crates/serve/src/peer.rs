//! HTTP server for peers: attempts of their requests, and pulls.

use std::sync::Arc;

use hyper::{
    Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{CONNECTION, HeaderValue},
};

use ids::VmId;
use route::Distance;
use tokio::net::TcpStream;

use crate::{
    body::{ProxyBody, box_body, empty_body},
    control::{ControlSender, PullRequest, reply_to_pull},
    egress::EgressHub,
    ledger::{SentKind, StreamMeter},
    listener::{ListenerLimits, serve_connection},
    metrics::MetricSet,
    task::StopSignal,
    view::FleetView,
    wire::{self, Attempt, EgressOutcome, HeaderSeal},
};

/// Handles the HTTP requests of peers.
#[derive(Debug)]
pub struct PeerHandler {
    /// Egress of this VM.
    pub egress: Arc<EgressHub>,
    /// Verifies attempts and pulls, and seals reports.
    pub seal: HeaderSeal,
    /// Queue of the control loop, which replies to pulls.
    pub control: ControlSender,
    /// The fleet, for the distance of the peer.
    pub view: Arc<FleetView>,
    /// Metrics of the daemon.
    pub metrics: Arc<MetricSet>,
}

impl PeerHandler {
    /// Serves a connection until it ends, or until `stop` has it shut down.
    pub async fn serve_connection(
        self: Arc<Self>,
        stream: TcpStream,
        limits: ListenerLimits,
        stop: StopSignal,
    ) {
        let handler = |request| {
            let handler = Arc::clone(&self);
            async move { handler.serve(request).await }
        };
        serve_connection(stream, handler, limits, stop).await;
    }

    /// Answers a request of a peer. A request that does not prove knowledge of
    /// the fleet secret gets status 403 and is not processed any further.
    pub async fn serve(&self, mut request: Request<Incoming>) -> Response<ProxyBody> {
        let pull = request.headers_mut().remove(wire::PULL);
        if let Some(pull) = pull.and_then(|value| self.seal.open::<PullRequest>(&value)) {
            let distance = self.identify(&request, &pull.from);
            let response = reply_to_pull(&self.control, &self.seal, pull).await;
            self.count_body(SentKind::Pull, distance, &response);
            return response;
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
        let distance = self.identify(&request, &attempt.from);
        let answer = self.egress.commit(&attempt, request.map(box_body)).await;
        let mut response = match answer.response {
            Some(response) => response,
            None => status_response(status_of(answer.report.outcome)),
        };
        let headers = response.headers_mut();
        wire::sanitize_headers(headers);
        headers.insert(wire::REPORT, self.seal.seal(&answer.report));
        if self.egress.is_draining() {
            // The peer closes the connection, so that this daemon does not close
            // it while another request is on its way.
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        self.count_body(SentKind::AnswerBody, distance, &response);
        response
    }

    /// Returns the distance of the peer that sent a request, and has the bytes
    /// written to its connection counted.
    fn identify(&self, request: &Request<Incoming>, from: &VmId) -> Distance {
        let distance = self.view.distance(from);
        if let Some(meter) = request.extensions().get::<Arc<StreamMeter>>() {
            meter.identify(self.metrics.ledger.counter(SentKind::Answer, distance));
        }
        distance
    }

    /// Counts the body of an answer, if its length is known.
    fn count_body(&self, kind: SentKind, distance: Distance, response: &Response<ProxyBody>) {
        if let Some(bytes) = response.body().size_hint().exact() {
            self.metrics.ledger.counter(kind, distance).inc_by(bytes);
        }
    }
}

/// Returns the status of an answer that does not come from a backend server.
///
/// It is meant for people who read traces; peers use the report instead.
fn status_of(outcome: EgressOutcome) -> StatusCode {
    match outcome {
        EgressOutcome::Answered => StatusCode::OK,
        EgressOutcome::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        EgressOutcome::Lost => StatusCode::BAD_GATEWAY,
        EgressOutcome::TimedOut => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// Returns an answer without a body.
fn status_response(status: StatusCode) -> Response<ProxyBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
