//! A backend server as the prober sees it.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use config::Service;
use ids::MonoTime;

use super::server::EgressServer;
use crate::link::LinkPool;

/// Time for which the word of a load endpoint counts.
const LOADED_FOR: Duration = Duration::from_secs(3);

/// A backend server with the rules of its service.
#[derive(Clone, Debug)]
pub struct ProbedServer {
    pub(super) server: Arc<EgressServer>,
    /// The rules.
    pub service: Arc<Service>,
}

impl ProbedServer {
    /// Connections to it.
    pub fn links(&self) -> &Arc<LinkPool> {
        &self.server.links
    }

    /// Nothing listens at its address, which is a failure like any other.
    pub fn record_refused(&self) {
        self.server.evidence.set_unhealthy(true);
        self.server.record_failure(false);
    }

    /// Takes the word of its health endpoint, and passes a bad one on.
    pub fn record_health(&self, well: bool) {
        if self.server.evidence.set_unhealthy(!well) || !well {
            self.server.give_notice();
        }
    }

    /// Takes the word of its load endpoint.
    pub fn record_load(&self, loaded: bool) {
        let until = match loaded {
            true => self.server.clock.now() + LOADED_FOR,
            false => MonoTime::ZERO,
        };
        let until = until.as_nanos();
        self.server.loaded_until.store(until, Ordering::Relaxed);
    }
}
