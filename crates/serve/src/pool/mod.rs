//! Pool of the backend servers of one service, and the choice among them.

mod notice;
#[cfg(test)]
mod notice_tests;
mod scope;
#[cfg(test)]
mod scope_tests;
mod server;
mod shortage;
mod table;

use std::{
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use config::{PoolMembers, Service};
use hop::SearchReach;
use ids::{Percent, ServerId};
use route::{
    Candidate, LatencyQuantile, RequestScope, RetryBudget, choose_server, excess_rejections,
    is_avoided, keep_floor, usual_rejections,
};

pub use self::{server::ServerState, shortage::HomeShortages, table::PoolTable};
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
    /// Returns the time that a server of the pool usually needs for a request, or zero
    /// while none is known.
    pub fn expected_work(&self) -> Duration {
        let times = self.servers.iter().map(|state| state.service_time());
        let known = times.filter(|time| !time.is_zero());
        let (sum, count) = known.fold((Duration::ZERO, 0), |(sum, count), time| {
            (sum + time, count + 1)
        });
        sum.checked_div(count).unwrap_or_default()
    }

    /// Returns a backend server on probation that is to get a canary, and marks
    /// the canary as sent.
    pub fn choose_canary(
        &self,
        view: &FleetView,
        scope: &RequestScope,
    ) -> Option<Arc<ServerState>> {
        let mut states = self.servers_in(view, scope).into_iter();
        states
            // The refusal of a canary for a cold server would count as a failed canary.
            .find(|state| {
                let is_excluded = state.is_leaving() || state.notice().leaving || state.is_cold();
                !is_excluded && state.take_canary()
            })
            .cloned()
    }

    /// Chooses a backend server in `scope` that is not in `tried`. Servers outside
    /// the scope are not part of the pool that the floor applies to.
    ///
    /// A server that rejects much more than its peers is chosen only as a last resort
    /// and before the failing ones.
    ///
    /// A server that is considered failing, or whose daemon does not reply, is
    /// chosen only if there is no other. The choice is then marked as forced,
    /// and the server may be in `tried`. One whose daemon is gone is not chosen in this
    /// way, unless all are.
    pub fn choose(
        &self,
        view: &FleetView,
        scope: &RequestScope,
        tried: &[ServerId],
        options: ChoiceOptions,
    ) -> Option<ServerChoice> {
        let ChoiceOptions {
            idempotent,
            reach,
            zone_penalty,
            avoids_cold,
            last_resort,
        } = options;
        let states = self.servers_in(view, scope);
        let rejections = PoolRejections::new(&states);
        let fresh = |state: &&&Arc<ServerState>| {
            let tried = tried.contains(&state.backend.id);
            let leaving = state.notice().leaving;
            !tried && !leaving && !state.is_silent() && !state.is_failing(idempotent)
        };
        let healthy: Vec<&Arc<ServerState>> = states.iter().filter(fresh).copied().collect();
        let (rejecting, accepting): (Vec<_>, Vec<_>) = healthy
            .into_iter()
            .partition(|state| is_avoided(rejections.excess(state)));
        let rules = PoolRules {
            rejections,
            // The rejecting servers are no candidates, so they don't count as ejected.
            size: states.len() - rejecting.len(),
            floor: self.service.floor,
            reach,
            zone_penalty,
            avoids_cold: false,
        };
        let warm_rules = PoolRules {
            avoids_cold: true,
            ..rules
        };
        let mut choices = [
            (avoids_cold, accepting.clone(), warm_rules),
            (true, accepting, rules),
            (last_resort, rejecting, rules),
        ]
        .into_iter()
        .filter(|(wanted, ..)| *wanted)
        .map(|(_, group, rules)| choose_among(group, rules));
        match choices.find_map(|choice| choice) {
            Some(server) => {
                return Some(ServerChoice {
                    server,
                    forced: false,
                });
            }
            None if reach == SearchReach::Zone => return None,
            None => {}
        }
        let all_gone = states.iter().all(|state| state.is_gone());
        let failing = |state: &&Arc<ServerState>| {
            let excluded = state.notice().leaving || (state.is_gone() && !all_gone);
            !excluded && (state.is_failing(false) || state.is_silent())
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
    /// Whether no other offer of the request is open. Only then may it go to a server
    /// that rejects more than its peers, which has no queue and would be the first to
    /// grant a slot.
    pub last_resort: bool,
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

/// Rejections that are usual in a pool.
#[derive(Clone, Copy, Debug)]
struct PoolRejections {
    usual: f64,
}

impl PoolRejections {
    /// Compares the shares that the servers of a pool reject.
    fn new(states: &[&Arc<ServerState>]) -> Self {
        let shares = || states.iter().map(|state| state.rejections());
        let usual = match shares().any(|share| share > 0.0) {
            true => usual_rejections(shares().collect()),
            false => 0.0,
        };
        Self { usual }
    }

    /// Returns how much more than usual a server rejects.
    fn excess(self, state: &ServerState) -> f64 {
        excess_rejections(state.rejections(), self.usual)
    }
}

/// Rules for a choice in a pool.
#[derive(Clone, Copy, Debug)]
struct PoolRules {
    /// Rejections that are usual in the pool.
    rejections: PoolRejections,
    /// Number of servers in the pool that the floor applies to.
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
    let mut candidates: Vec<Candidate> = states
        .iter()
        .map(|state| state.candidate(rules.rejections.excess(state)))
        .collect();
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
