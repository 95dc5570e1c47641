//! Pool of the backend servers of one service, and the choice among them.

mod server;
mod table;

use std::{
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use config::{PoolMembers, Service};
use hop::SearchReach;
use ids::{Percent, ServerId};
use route::{Candidate, LatencyQuantile, RetryBudget, choose_server, keep_floor};

pub use self::{server::ServerState, table::PoolTable};
use crate::view::FleetView;

/// Backend servers of one service, and the state that its requests share.
#[derive(Debug)]
pub struct PoolState {
    /// Rules of the service.
    pub service: Arc<Service>,
    /// Backend servers of the service.
    pub servers: Vec<Arc<ServerState>>,
    /// Budget for retries and hedged requests.
    pub budget: Arc<RetryBudget>,
    /// Latency after which idempotent requests are hedged.
    pub hedge_after: Arc<LatencyQuantile>,
    /// Time after which an unanswered request counts as slow, in
    /// microseconds; zero while unknown.
    pub slow_limit_us: Arc<AtomicU64>,
    /// Members in the configuration that the pool was built from.
    source: Arc<PoolMembers>,
}

impl PoolState {
    /// Returns a backend server on probation that is to get a canary, and marks
    /// the canary as sent.
    pub fn choose_canary(&self, view: &FleetView) -> Option<Arc<ServerState>> {
        // The refusal of a canary for a cold server would count as a failed canary.
        let usable = |state: &&Arc<ServerState>| {
            view.is_usable(&state.backend.vm) && !state.is_leaving() && !state.is_cold()
        };
        let mut states = self.servers.iter().filter(usable);
        states.find(|state| state.take_canary()).cloned()
    }

    /// Chooses a backend server that is not in `tried`.
    ///
    /// A server that is considered failing, or whose daemon does not reply, is
    /// chosen only if there is no other. The choice is then marked as forced,
    /// and the server may be in `tried`.
    pub fn choose(
        &self,
        view: &FleetView,
        tried: &[ServerId],
        options: ChoiceOptions,
    ) -> Option<ServerChoice> {
        let ChoiceOptions {
            idempotent,
            reach,
            zone_penalty,
            avoids_cold,
        } = options;
        let usable = |state: &&Arc<ServerState>| view.is_usable(&state.backend.vm);
        let states: Vec<&Arc<ServerState>> = self.servers.iter().filter(usable).collect();
        let fresh = |state: &&&Arc<ServerState>| {
            let tried = tried.contains(&state.backend.id);
            let leaving = state.notice().leaving;
            !tried && !leaving && !state.is_silent() && !state.is_failing(idempotent)
        };
        let healthy: Vec<&Arc<ServerState>> = states.iter().filter(fresh).copied().collect();
        let rules = PoolRules {
            size: states.len(),
            floor: self.service.floor,
            reach,
            zone_penalty,
            avoids_cold: false,
        };
        let warm = avoids_cold.then(|| {
            let rules = PoolRules {
                avoids_cold,
                ..rules
            };
            choose_among(healthy.clone(), rules)
        });
        match warm.flatten().or_else(|| choose_among(healthy, rules)) {
            Some(server) => {
                return Some(ServerChoice {
                    server,
                    forced: false,
                });
            }
            None if reach == SearchReach::Zone => return None,
            None => {}
        }
        let failing = |state: &&Arc<ServerState>| {
            !state.notice().leaving && (state.is_failing(false) || state.is_silent())
        };
        let server = choose_among(states.into_iter().filter(failing).collect(), rules)?;
        Some(ServerChoice {
            server,
            forced: true,
        })
    }
}

/// Properties of a request that the choice of a server depends on.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceOptions {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Servers that may be chosen.
    pub reach: SearchReach,
    /// Delay that a server in another zone must save to be preferred. Traffic
    /// between zones costs money by the byte.
    pub zone_penalty: Duration,
    /// Whether a cold server is chosen only if there is no other healthy one.
    pub avoids_cold: bool,
}

/// Backend server that was chosen for an attempt.
#[derive(Clone, Debug)]
pub struct ServerChoice {
    /// The backend server.
    pub server: Arc<ServerState>,
    /// Whether it was chosen for lack of another although it is considered
    /// failing or its daemon does not reply.
    pub forced: bool,
}

/// Rules for a choice in a pool.
#[derive(Clone, Copy, Debug)]
struct PoolRules {
    /// Number of usable servers in the pool.
    size: usize,
    /// Share of the pool that stays in rotation.
    floor: Percent,
    /// Servers that may be chosen.
    reach: SearchReach,
    /// Delay that a server in another zone must save to be preferred.
    zone_penalty: Duration,
    /// Whether no cold server may be chosen.
    avoids_cold: bool,
}

/// Chooses one of several servers by expected delay.
fn choose_among(mut states: Vec<&Arc<ServerState>>, rules: PoolRules) -> Option<Arc<ServerState>> {
    // A server whose daemon is leaving is chosen only if there is no other.
    if states.iter().any(|state| !state.is_leaving()) {
        states.retain(|state| !state.is_leaving());
    }
    let mut candidates: Vec<Candidate> = states.iter().map(|state| state.candidate()).collect();
    keep_floor(&mut candidates, rules.size, rules.floor);
    if rules.reach == SearchReach::Zone {
        let outside = |item: &&mut Candidate| !item.is_same_zone();
        candidates
            .iter_mut()
            .filter(outside)
            .for_each(|item| item.weight = 0.0);
    }
    if rules.avoids_cold {
        // They stay in the count for the floor, so that no ejected server returns to
        // rotation because of them.
        let cold = candidates.iter_mut().zip(&states);
        cold.filter(|(_, state)| state.is_cold())
            .for_each(|(item, _)| item.weight = 0.0);
    }
    let index = choose_server(
        &candidates,
        [rand::random(), rand::random(), rand::random()],
        rules.zone_penalty,
    )?;
    Some(Arc::clone(states[index]))
}
