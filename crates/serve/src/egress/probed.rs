//! Interface of a backend server to the prober.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use admit::ColdEvent;
use config::Service;
use hyper::HeaderMap;
use ids::{MonoTime, ServerId};

use super::{EgressHub, server::EgressServer};
use crate::link::ConnectionPool;

/// Time for which a report of full load from a load endpoint counts.
const LOADED_TIME: Duration = Duration::from_secs(3);

/// A backend server with the rules of its service.
#[derive(Clone, Debug)]
pub struct ProbedServer {
    pub(super) server: Arc<EgressServer>,
    /// Rules of the service.
    pub service: Arc<Service>,
}

impl ProbedServer {
    /// Returns the connections to the backend server.
    pub fn connections(&self) -> &Arc<ConnectionPool> {
        &self.server.connections
    }

    /// Records that nothing listens at the server's address, which counts as a
    /// failure.
    pub fn record_refused(&self) {
        self.server.handle_cold(ColdEvent::Unreachable);
        self.server.evidence.set_unhealthy(true);
        self.server.record_failure(false);
    }

    /// Counts a probe that is sent now, and returns whether it may be: a cold server
    /// takes only its rate.
    pub fn count_probe(&self) -> bool {
        self.server.count_cold(false)
    }

    /// Records for how long the server stays cold, if an answer of its health endpoint
    /// says so.
    pub fn record_cold(&self, headers: &HeaderMap) {
        if let Some(left) = self.server.codec.read_cold(headers) {
            self.server.handle_cold(ColdEvent::Answered(left));
        }
    }

    /// Records the state that the server's health endpoint reported. Notifies
    /// recent ingresses if the server is unhealthy or the state has changed.
    pub fn record_health(&self, healthy: bool) {
        if self.server.evidence.set_unhealthy(!healthy) || !healthy {
            self.server.notify_ingresses();
        }
    }

    /// Records whether the server's load endpoint reported full load.
    pub fn record_load(&self, loaded: bool) {
        let until = match loaded {
            true => self.server.clock.now() + LOADED_TIME,
            false => MonoTime::ZERO,
        };
        let until = until.as_nanos();
        self.server.loaded_until.store(until, Ordering::Relaxed);
    }
}

impl EgressHub {
    /// Returns the backend servers that were used, with the rules of their
    /// services; none while the zone is evacuated, because nothing may reach them
    /// then.
    pub fn probed_servers(&self) -> Vec<ProbedServer> {
        if self.is_evacuated() {
            return Vec::new();
        }
        let table = self.view.table();
        let servers = self.servers.load();
        let probed = |(id, server): (&ServerId, &Arc<EgressServer>)| {
            let backend = table.server(id)?;
            let service = Arc::clone(table.service(&backend.service)?);
            Some(ProbedServer {
                server: Arc::clone(server),
                service,
            })
        };
        servers.iter().filter_map(probed).collect()
    }
}
