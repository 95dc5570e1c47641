//! Failure detectors of the pools that this daemon uses.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use config::DetectionMode;
use health::{Action, DetectorOptions, Event, MemberSpec, Observation, PoolDetector, Reason};
use ids::{FastMap, MonoTime, ServiceId};
use serde_json::{Value, json};

use crate::{
    metrics::{MetricSet, ServiceLabel},
    pool::{PoolState, PoolTable},
    view::FleetView,
};

/// Pool with its failure detector.
struct WatchedPool {
    pool: Arc<PoolState>,
    detector: PoolDetector,
}

/// Failure detectors of a daemon, by service.
pub struct DetectorSet {
    view: Arc<FleetView>,
    pools: Arc<PoolTable>,
    metrics: Arc<MetricSet>,
    watched: FastMap<ServiceId, WatchedPool>,
}

/// Returns the detector options that a service configures.
fn detector_options(pool: &PoolState) -> DetectorOptions {
    DetectorOptions {
        false_ejection_interval: match pool.service.detection {
            DetectionMode::Certain => DetectorOptions::CERTAIN,
            DetectionMode::Balanced => DetectorOptions::BALANCED,
            DetectionMode::Fast => DetectorOptions::FAST,
        },
        floor: pool.service.floor,
    }
}

impl DetectorSet {
    /// Creates a set without detectors.
    pub fn new(view: Arc<FleetView>, pools: Arc<PoolTable>, metrics: Arc<MetricSet>) -> Self {
        Self {
            view,
            pools,
            metrics,
            watched: FastMap::default(),
        }
    }

    /// Passes an event to the detector of a service and applies its decisions.
    ///
    /// The detector is created on first use, and removed if the service has no
    /// pool any more.
    pub fn handle(&mut self, now: MonoTime, service: &ServiceId, event: Event) {
        let Some(pool) = self.pools.pool(service) else {
            self.watched.remove(service);
            return;
        };
        let known = self.watched.get(service);
        if !known.is_some_and(|watched| Arc::ptr_eq(&watched.pool, &pool)) {
            self.update_pool(now, &pool);
        }
        let Some(watched) = self.watched.get_mut(service) else {
            return;
        };
        let canary_server = match &event {
            Event::Canary(server, _) => Some(server.clone()),
            _ => None,
        };
        let actions = watched.detector.handle(now, event);
        apply_actions(&watched.pool, &self.metrics, actions);
        if let Some(server) = canary_server {
            let state = watched
                .pool
                .servers
                .iter()
                .find(|state| state.backend.id == server);
            if let Some(state) = state {
                state.rearm_canary();
            }
        }
    }

    /// Updates the members of all pools from the configuration and the VM list
    /// in force.
    pub fn update_pools(&mut self, now: MonoTime) {
        let services: Vec<ServiceId> = self.watched.keys().cloned().collect();
        for service in services {
            match self.pools.pool(&service) {
                Some(pool) => self.update_pool(now, &pool),
                None => {
                    self.watched.remove(&service);
                }
            }
        }
    }

    /// Passes a tick to all detectors.
    pub fn tick(&mut self, now: MonoTime) {
        for watched in self.watched.values_mut() {
            let actions = watched.detector.handle(now, Event::Tick);
            apply_actions(&watched.pool, &self.metrics, actions);
        }
    }

    /// Discards the evidence after a suspension of this process.
    pub fn resume(&mut self, now: MonoTime) {
        for watched in self.watched.values_mut() {
            let actions = watched.detector.handle(now, Event::Resumed);
            apply_actions(&watched.pool, &self.metrics, actions);
        }
    }

    /// Returns the state of all detectors as JSON.
    pub fn dump(&self) -> Value {
        let pools = self.watched.iter().map(|(service, watched)| {
            let servers = watched.detector.dump().into_iter().map(|member| {
                let scores = member.scores.iter().filter(|(_, score)| *score > 0.0);
                let scores: serde_json::Map<String, Value> = scores
                    .map(|(signal, score)| (signal.to_string(), json!(score)))
                    .collect();
                json!({
                    "server": member.server,
                    "rotation": format!("{:?}", member.rotation),
                    "reason": member.reason.to_string(),
                    "scores": scores,
                    "threshold": member.threshold,
                })
            });
            json!({
                "service": service,
                "capacity": watched.detector.capacity(),
                "floor": watched.detector.floor(),
                "servers": servers.collect::<Vec<Value>>(),
            })
        });
        Value::Array(pools.collect())
    }

    /// Sets the members and options of a pool's detector, which is created if
    /// there is none.
    fn update_pool(&mut self, now: MonoTime, pool: &Arc<PoolState>) {
        let spec = |state: &Arc<crate::pool::ServerState>| MemberSpec {
            server: state.backend.id.clone(),
            slots: state.backend.slots,
            usable: self.view.is_usable(&state.backend.vm)
                && !self.view.is_evacuated(&state.backend.vm),
        };
        let specs = pool.servers.iter().map(spec).collect();
        let options = detector_options(pool);
        let watched = self
            .watched
            .entry(pool.service.id.clone())
            .or_insert_with(|| WatchedPool {
                pool: Arc::clone(pool),
                detector: PoolDetector::new(options),
            });
        watched.pool = Arc::clone(pool);
        watched.detector.set_options(options);
        let actions = watched.detector.handle(now, Event::Members(specs));
        apply_actions(pool, &self.metrics, actions);
    }
}

/// Writes the decisions of a detector to the pool, where the request path
/// reads them.
fn apply_actions(pool: &PoolState, metrics: &MetricSet, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::SetSlowLimit(limit) => {
                let micros = limit.as_micros() as u64;
                pool.slow_limit_us.store(micros, Ordering::Relaxed);
            }
            Action::SetWeight {
                server,
                weight,
                canary,
                reason,
            } => {
                let Some(state) = pool.servers.iter().find(|state| state.backend.id == server)
                else {
                    continue;
                };
                if matches!(reason, Reason::Ejected(_)) && state.weight() > 0.0 {
                    log::warn!(
                        "health: backend server {server} of service {} \
                         is now in the state `{reason}`.",
                        pool.service.id
                    );
                    let label = ServiceLabel {
                        service: pool.service.id.to_string(),
                    };
                    metrics.ejections.get_or_create(&label).inc();
                }
                state.set_weight(weight);
                state.set_canary(canary);
            }
        }
    }
}

/// Returns the event for a VM that could or could not be reached.
pub fn path_event(server: ids::ServerId, reached: bool) -> Option<Event> {
    // If the VM was reached, the egress report that came from it is the evidence.
    (!reached).then_some(Event::Observed(server, Observation::Unreachable))
}

/// Returns the event for the service time of a good answer.
pub fn time_event(server: ids::ServerId, time: Duration) -> Event {
    Event::ServiceTime(server, time)
}
