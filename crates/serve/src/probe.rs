//! Probes the health and load endpoints of the backend servers of this VM.
//!
//! The answers of these endpoints lag behind and can be misleading. A bad
//! answer therefore only lowers the amount of evidence that an ejection needs,
//! and a good answer counts for nothing. A refused connection is the only result
//! that is evidence by itself: nothing listens at the address.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::join_all;
use hyper::{Request, Response, header::AGE};
use tokio::time::timeout;

use crate::{
    body::{BufferedBody, ProxyBody, buffer_body, empty_body},
    egress::{EgressHub, ProbedServer},
    link::SendError,
    task::StopSignal,
};

/// Interval between probes of a backend server.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for the answer of an endpoint.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Age above which the answer of an endpoint is ignored, in seconds.
const MAX_ANSWER_AGE_S: u64 = 3;
/// Maximum size of the answer of a load endpoint, in bytes.
const MAX_LOAD_BYTES: usize = 1_024;
/// Load from which a backend server counts as loaded: its full capacity.
const FULL_LOAD: f64 = 1.0;

/// Probes all backend servers of this VM until `stop` is triggered.
pub async fn probe_all(egress: Arc<EgressHub>, mut stop: StopSignal) {
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.stopped() => return,
            _ = ticks.tick() => {}
        }
        let servers = egress.probed_servers();
        let probes = servers.iter().map(probe);
        tokio::select! {
            () = stop.stopped() => return,
            _ = join_all(probes) => {}
        }
    }
}

/// Probes the endpoints that the service of a backend server names.
async fn probe(server: &ProbedServer) {
    if let Some(path) = &server.service.health_path {
        match send_probe(server, path).await {
            ProbeResult::Answered(response) => {
                server.record_cold(response.headers());
                server.record_health(response.status().is_success());
            }
            ProbeResult::Missing => server.record_health(false),
            ProbeResult::Refused => server.record_refused(),
            ProbeResult::Inconclusive => {}
        }
    }
    if let Some(path) = &server.service.load_path
        && let ProbeResult::Answered(response) = send_probe(server, path).await
    {
        let load = timeout(PROBE_TIMEOUT, read_load(response)).await;
        server.record_load(load.ok().flatten().is_some_and(|load| load >= FULL_LOAD));
    }
}

/// Result of a probe.
enum ProbeResult {
    /// The endpoint answered, and the answer is not too old.
    Answered(Box<Response<ProxyBody>>),
    /// No answer came in time, or the connection was lost before it.
    Missing,
    /// Nothing listens at the address.
    Refused,
    /// All connections are in use, the answer is too old, or the server is cold and
    /// takes no request now.
    Inconclusive,
}

/// Sends a request to an endpoint and waits for the answer.
async fn send_probe(server: &ProbedServer, path: &str) -> ProbeResult {
    let request = Request::get(path)
        .header("host", server.connections().address().to_string())
        .body(empty_body());
    let Ok(request) = request else {
        return ProbeResult::Inconclusive;
    };
    if !server.count_probe() {
        return ProbeResult::Inconclusive;
    }
    match timeout(PROBE_TIMEOUT, server.connections().send(request)).await {
        Ok(Ok(response)) if age_s(&response) > MAX_ANSWER_AGE_S => ProbeResult::Inconclusive,
        Ok(Ok(response)) => ProbeResult::Answered(Box::new(response)),
        Ok(Err(SendError::Unsent(_))) => ProbeResult::Refused,
        Ok(Err(SendError::Full | SendError::Withheld)) => ProbeResult::Inconclusive,
        Ok(Err(SendError::Lost(_))) | Err(_) => ProbeResult::Missing,
    }
}

/// Returns the age of an answer in seconds from its `Age` header, or 0.
fn age_s(response: &Response<ProxyBody>) -> u64 {
    let age = response.headers().get(AGE);
    age.and_then(|age| age.to_str().ok()?.trim().parse().ok())
        .unwrap_or(0)
}

/// Reads the load from the body of an answer: a JSON number, or the member
/// `load` of a JSON object.
async fn read_load(response: Box<Response<ProxyBody>>) -> Option<f64> {
    if !response.status().is_success() {
        return None;
    }
    match buffer_body(response.into_body(), MAX_LOAD_BYTES)
        .await
        .ok()?
    {
        BufferedBody::Complete(bytes) => parse_load(&bytes),
        BufferedBody::Partial(..) => None,
    }
}

/// Parses the load; `None` if there is no number or if it is negative.
fn parse_load(bytes: &Bytes) -> Option<f64> {
    let value: serde_json::Value = serde_json::from_slice(bytes).ok()?;
    let load = value.as_f64().or_else(|| value.get("load")?.as_f64())?;
    (load >= 0.0).then_some(load)
}
