//! Asks the health and load endpoints of the backend servers of this VM.
//!
//! Their words lag and mislead: a bad word only lowers the evidence that an
//! ejection takes, a good one counts for nothing. Just one answer is evidence
//! by itself: nothing listens at the address.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::join_all;
use hyper::{Request, Response, header::AGE};
use tokio::time::timeout;

use crate::{
    body::{HeldBody, ProxyBody, empty_body, hold_body},
    egress::{EgressHub, ProbedServer},
    link::LinkError,
    task::StopSignal,
};

/// Time between probes of a backend server.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Time for the answer of an endpoint.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Age from which the word of an endpoint says nothing.
const MAX_AGE_S: u64 = 3;
/// Longest answer of a load endpoint, in bytes.
const MAX_LOAD_BYTES: usize = 1_024;
/// Load from which a backend server counts as loaded: all that it can take.
const FULL_LOAD: f64 = 1.0;

/// Probes until `stop` turns.
pub async fn probe_all(egress: Arc<EgressHub>, mut stop: StopSignal) {
    let mut ticks = tokio::time::interval(PROBE_EVERY);
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

/// Asks the endpoints of one backend server that its service names.
async fn probe(server: &ProbedServer) {
    if let Some(path) = &server.service.health_path {
        match ask(server, path).await {
            Answer::Got(response) => server.record_health(response.status().is_success()),
            Answer::Late => server.record_health(false),
            Answer::Refused => server.record_refused(),
            Answer::Unasked => {}
        }
    }
    if let Some(path) = &server.service.load_path
        && let Answer::Got(response) = ask(server, path).await
    {
        let load = timeout(PROBE_TIMEOUT, read_load(response)).await;
        server.record_load(load.ok().flatten().is_some_and(|load| load >= FULL_LOAD));
    }
}

/// What became of a probe.
enum Answer {
    /// An answer that is not too old.
    Got(Box<Response<ProxyBody>>),
    /// None in time, or none that was whole.
    Late,
    /// Nothing listens.
    Refused,
    /// All connections are in use, or the answer is too old.
    Unasked,
}

/// Asks an endpoint.
async fn ask(server: &ProbedServer, path: &str) -> Answer {
    let request = Request::get(path)
        .header("host", server.links().address().to_string())
        .body(empty_body());
    let Ok(request) = request else {
        return Answer::Unasked;
    };
    match timeout(PROBE_TIMEOUT, server.links().send(request)).await {
        Ok(Ok(response)) if age_s(&response) > MAX_AGE_S => Answer::Unasked,
        Ok(Ok(response)) => Answer::Got(Box::new(response)),
        Ok(Err(LinkError::Unsent(_))) => Answer::Refused,
        Ok(Err(LinkError::Full)) => Answer::Unasked,
        Ok(Err(LinkError::Lost(_))) | Err(_) => Answer::Late,
    }
}

/// Age of an answer in seconds, by its own word.
fn age_s(response: &Response<ProxyBody>) -> u64 {
    let age = response.headers().get(AGE);
    age.and_then(|age| age.to_str().ok()?.trim().parse().ok())
        .unwrap_or(0)
}

/// Load by an answer: a number, alone or as `load` of a JSON object.
async fn read_load(response: Box<Response<ProxyBody>>) -> Option<f64> {
    if !response.status().is_success() {
        return None;
    }
    match hold_body(response.into_body(), MAX_LOAD_BYTES).await.ok()? {
        HeldBody::Whole(bytes) => parse_load(&bytes),
        HeldBody::Larger(..) => None,
    }
}

/// Load in the text of an answer; `None` if there is no sensible number.
fn parse_load(bytes: &Bytes) -> Option<f64> {
    let value: serde_json::Value = serde_json::from_slice(bytes).ok()?;
    let load = value.as_f64().or_else(|| value.get("load")?.as_f64())?;
    (load >= 0.0).then_some(load)
}
