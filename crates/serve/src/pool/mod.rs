//! The backend servers of one service, and which of them gets a request.

mod server;
mod table;

use std::{
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use config::{PoolMembers, Service};
use ids::{Percent, ServerId};
use route::{Candidate, LatencyQuantile, RetryBudget, choose_server, keep_floor};

pub use self::{server::ServerState, table::PoolTable};
use crate::view::FleetView;

/// Delay that a server in another zone must save, for small answers and for
/// large ones: their bytes between zones cost.
const FAR: Duration = Duration::from_millis(10);
const FAR_BULK: Duration = Duration::from_millis(120);

/// The backend servers of one service, with what is shared among requests.
#[derive(Debug)]
pub struct PoolState {
    /// The service's rules.
    pub service: Arc<Service>,
    /// Its backend servers.
    pub servers: Vec<Arc<ServerState>>,
    /// Budget for retries and hedges.
    pub budget: Arc<RetryBudget>,
    /// Latency after which idempotent requests are hedged.
    pub hedge_after: Arc<LatencyQuantile>,
    /// Time after which an unanswered request counts as slow, in
    /// microseconds; zero while unknown.
    pub slow_limit_us: Arc<AtomicU64>,
    /// The members in the configuration that it was made from.
    source: Arc<PoolMembers>,
}

impl PoolState {
    /// A backend server on probation that wants a canary, which is now on its
    /// way.
    pub fn choose_canary(&self, view: &FleetView) -> Option<Arc<ServerState>> {
        let usable =
            |state: &&Arc<ServerState>| view.is_usable(&state.backend.vm) && !state.is_leaving();
        let mut states = self.servers.iter().filter(usable);
        states.find(|state| state.take_canary()).cloned()
    }

    /// Chooses a backend server that is not in `tried`.
    ///
    /// One that is taken for failing is chosen only if there is no other, and
    /// then marked as forced; it may have been tried before.
    pub fn choose(
        &self,
        view: &FleetView,
        tried: &[ServerId],
        wanted: ChoiceOptions,
    ) -> Option<ServerChoice> {
        let ChoiceOptions { idempotent, bulk } = wanted;
        let far = if bulk { FAR_BULK } else { FAR };
        let usable = |state: &&Arc<ServerState>| view.is_usable(&state.backend.vm);
        let states: Vec<&Arc<ServerState>> = self.servers.iter().filter(usable).collect();
        let fresh = |state: &&&Arc<ServerState>| {
            let tried = tried.contains(&state.backend.id);
            !tried && !state.is_silent() && !state.is_failing(idempotent)
        };
        let sound: Vec<&Arc<ServerState>> = states.iter().filter(fresh).copied().collect();
        let rules = PoolRules {
            size: states.len(),
            floor: self.service.floor,
            far,
        };
        if let Some(server) = choose_among(sound, rules) {
            return Some(ServerChoice {
                server,
                forced: false,
            });
        }
        let failing = |state: &&Arc<ServerState>| state.is_failing(false) || state.is_silent();
        let server = choose_among(states.into_iter().filter(failing).collect(), rules)?;
        Some(ServerChoice {
            server,
            forced: true,
        })
    }
}

/// What matters of a request when a server is chosen for it.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceOptions {
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether its answer is large.
    pub bulk: bool,
}

/// A backend server for an attempt.
#[derive(Clone, Debug)]
pub struct ServerChoice {
    /// The backend server.
    pub server: Arc<ServerState>,
    /// Whether it is taken for failing.
    pub forced: bool,
}

/// What holds for a choice in a pool.
#[derive(Clone, Copy, Debug)]
struct PoolRules {
    /// Servers of the pool.
    size: usize,
    /// Share that stays in rotation.
    floor: Percent,
    /// Delay that a server in another zone must save.
    far: Duration,
}

/// Chooses one of several by expected delay.
fn choose_among(mut states: Vec<&Arc<ServerState>>, rules: PoolRules) -> Option<Arc<ServerState>> {
    // One that leaves is asked only if there is no other.
    if states.iter().any(|state| !state.is_leaving()) {
        states.retain(|state| !state.is_leaving());
    }
    let mut candidates: Vec<Candidate> = states.iter().map(|state| state.candidate()).collect();
    keep_floor(&mut candidates, rules.size, rules.floor);
    let place = choose_server(&candidates, [rand::random(), rand::random()], rules.far)?;
    Some(Arc::clone(states[place]))
}
