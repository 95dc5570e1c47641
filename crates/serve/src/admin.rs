//! Serves metrics, the state dump and readiness to operators.

use std::sync::{Arc, atomic::Ordering};

use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE};
use serde_json::{Value, json};

use crate::{
    body::{ProxyBody, full_body},
    clock::MonoClock,
    control::{ControlEvent, ControlSender},
    egress::EgressHub,
    metrics::MetricSet,
    pool::{PoolState, PoolTable},
    view::FleetView,
};

/// Handles requests at the admin address.
#[derive(Debug)]
pub struct AdminHandler {
    /// Configuration and VM list in force.
    pub view: Arc<FleetView>,
    /// Backend servers of each service, with their state as observed here.
    pub pools: Arc<PoolTable>,
    /// The egress of this VM.
    pub egress: Arc<EgressHub>,
    /// Metrics of the daemon.
    pub metrics: Arc<MetricSet>,
    /// Monotonic clock of the process.
    pub clock: MonoClock,
    /// Asks the control loop for its part of the state dump.
    pub control: ControlSender,
}

impl AdminHandler {
    /// Answers a request.
    pub async fn serve(&self, request: &Request<Incoming>) -> Response<ProxyBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/metrics") => text_response("text/plain; version=0.0.4", self.scrape()),
            (&Method::GET, "/dump") => text_response("application/json", self.dump().await),
            (&Method::GET, "/ready") if self.view.is_ready() && !self.view.is_leaving() => {
                text_response("text/plain", "ready\n".to_owned())
            }
            (&Method::GET, "/ready") => {
                let mut response = text_response("text/plain", "not ready\n".to_owned());
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                response
            }
            _ => {
                let help = "ask for /metrics, /dump or /ready\n".to_owned();
                let mut response = text_response("text/plain", help);
                *response.status_mut() = StatusCode::NOT_FOUND;
                response
            }
        }
    }

    /// Updates the gauges and returns all metrics as text.
    fn scrape(&self) -> String {
        let reports = self.egress.reports();
        let sum = |pick: fn(&admit::QueueReport) -> u32| {
            reports
                .iter()
                .map(|(_, report, _)| i64::from(pick(report)))
                .sum::<i64>()
        };
        self.metrics.waiting.set(sum(|report| report.waiting));
        self.metrics.running.set(sum(|report| report.running));
        self.metrics.owed_kinds.set(sum(|report| report.owed));
        self.metrics
            .limited_servers
            .set(sum(|report| u32::from(report.limit.is_some())));
        let cold = self.egress.cold_servers() as i64;
        self.metrics.cold_servers.set(cold);
        self.metrics
            .revision
            .set(self.view.table().revision().get() as i64);
        self.metrics.encode()
    }

    /// Returns the state dump as JSON. It is read from snapshots and atomics, so
    /// requests are not delayed by it.
    async fn dump(&self) -> String {
        let control = self.dump_control().await;
        let table = self.view.table();
        let vms = self.view.vms();
        let pools: Vec<Value> = self
            .pools
            .pools()
            .iter()
            .map(|pool| dump_pool(pool))
            .collect();
        let evacuated = table.zones().filter(|zone| zone.evacuated);
        let evacuated: Vec<&str> = evacuated.map(|zone| zone.id.as_str()).collect();
        let dump = json!({
            "vm": self.view.vm,
            "zone": self.view.zone,
            "up_s": self.clock.now().as_secs_f64(),
            "ready": self.view.is_ready(),
            "leaving": self.view.is_leaving(),
            "isolated": self.view.is_isolated(),
            "config": {
                "revision": table.revision(),
                "state": table.state_digest(),
                "counts": table.counts(),
                "evacuated": evacuated,
            },
            "vms": { "revision": vms.revision, "listed": vms.vms.len() },
            "pools": pools,
            "egress": self.dump_egress(),
            "control": control,
        });
        format!("{dump:#}\n")
    }

    /// Returns the state of the control loop as JSON; null if the control loop
    /// has ended.
    async fn dump_control(&self) -> Value {
        let (reply, receiver) = tokio::sync::oneshot::channel();
        match self.control.send(ControlEvent::Dump(reply)).await {
            true => receiver.await.unwrap_or(Value::Null),
            false => Value::Null,
        }
    }

    /// Returns the state of the backend servers at this egress as JSON.
    fn dump_egress(&self) -> Vec<Value> {
        let entry =
            |(id, report, counts): (ids::ServerId, admit::QueueReport, health::OutcomeCounts)| {
                json!({
                    "server": id,
                    "running": report.running,
                    "free": report.free,
                    "waiting": report.waiting,
                    "delay_ms": report.delay.as_secs_f64() * 1e3,
                    "draining": report.draining,
                    "samples": counts.samples,
                    "failed": counts.failed,
                    "slow": counts.slow,
                })
            };
        self.egress.reports().into_iter().map(entry).collect()
    }
}

/// Returns the state of a pool as JSON.
fn dump_pool(pool: &PoolState) -> Value {
    let servers: Vec<Value> = pool.servers.iter().map(|server| server.dump()).collect();
    json!({
        "service": pool.service.id,
        "retries_available": pool.budget.available(),
        "hedge_after_ms": pool.hedge_after.get().map(|after| after.as_secs_f64() * 1e3),
        "slow_limit_ms": pool.slow_limit_us.load(Ordering::Relaxed) as f64 / 1e3,
        "servers": servers,
    })
}

/// Returns an answer that consists of a text of a media type.
fn text_response(media_type: &'static str, text: String) -> Response<ProxyBody> {
    let mut response = Response::new(full_body(text));
    let value = hyper::header::HeaderValue::from_static(media_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
