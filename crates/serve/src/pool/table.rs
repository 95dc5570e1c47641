//! Pools that this ingress has used, and its connections to peers.

use std::sync::Arc;

use arc_swap::ArcSwap;
use config::{Backend, PoolMembers, Service};
use hop::ServerNotice;
use ids::{FastMap, Percent, ServerId, ServiceId, VmId};
use route::{Distance, LatencyQuantile};

use super::{PoolState, ServerState};
use crate::{
    link::ConnectionPool, metrics::MetricSet, settings::LiveSettings, task::TaskGroup,
    view::FleetView,
};

/// Quantile of the latency after which idempotent requests are hedged.
const HEDGE_QUANTILE: f64 = 0.95;
/// Maximum number of connections to one peer.
const PEER_CONNECTIONS: usize = 512;

/// Pools of the services, each created when it is first used.
#[derive(Debug)]
pub struct PoolTable {
    view: Arc<FleetView>,
    tasks: Arc<TaskGroup>,
    pools: ArcSwap<FastMap<ServiceId, Arc<PoolState>>>,
    peers: ArcSwap<FastMap<VmId, Arc<ConnectionPool>>>,
    settings: LiveSettings,
    metrics: Arc<MetricSet>,
}

impl PoolTable {
    /// Creates an empty table. The tasks of its connections join `tasks`.
    pub fn new(
        view: Arc<FleetView>,
        tasks: Arc<TaskGroup>,
        settings: LiveSettings,
        metrics: Arc<MetricSet>,
    ) -> Self {
        Self {
            settings,
            metrics,
            view,
            tasks,
            pools: ArcSwap::default(),
            peers: ArcSwap::default(),
        }
    }

    /// Returns the pool of a service in the current configuration, or `None` if
    /// the service has no backend server.
    pub fn pool(&self, id: &ServiceId) -> Option<Arc<PoolState>> {
        let table = self.view.table();
        let source = table.pool(id)?;
        let service = table.service(id)?;
        let known = self.pools.load().get(id).cloned();
        match known {
            Some(pool)
                if Arc::ptr_eq(&pool.source, source) && Arc::ptr_eq(&pool.service, service) =>
            {
                Some(pool)
            }
            known => {
                let pool = Arc::new(self.make_pool(service, source, known.as_deref()));
                self.pools.rcu(|pools| {
                    let mut pools = FastMap::clone(pools);
                    pools.insert(id.clone(), Arc::clone(&pool));
                    pools
                });
                Some(pool)
            }
        }
    }

    /// Records what the egress of a server has announced: whether it refuses ordinary
    /// requests, and the share of requests that the server rejected.
    pub fn record_announced(
        &self,
        service: &ServiceId,
        server: &ServerId,
        closed: bool,
        rejected: Percent,
    ) {
        if let Some(state) = self.state(service, server) {
            state.record_gate(closed);
            state.record_rejections(rejected);
        }
    }

    /// Records what a server says about itself.
    pub fn record_notice(&self, service: &ServiceId, server: &ServerId, notice: ServerNotice) {
        if let Some(state) = self.state(service, server) {
            state.record_notice(notice);
        }
    }

    /// Returns the state of a server if its pool was used.
    fn state(&self, service: &ServiceId, server: &ServerId) -> Option<Arc<ServerState>> {
        let pools = self.pools.load();
        let mut states = pools.get(service)?.servers.iter();
        states.find(|state| state.backend.id == *server).cloned()
    }

    /// Returns all pools that were used.
    pub fn pools(&self) -> Vec<Arc<PoolState>> {
        self.pools.load().values().cloned().collect()
    }

    /// Closes connections to peers that have been idle for too long.
    pub fn sweep_idle(&self) {
        for connections in self.peers.load().values() {
            connections.sweep();
        }
    }

    /// Closes all idle connections to peers.
    pub fn clear_idle(&self) {
        for connections in self.peers.load().values() {
            connections.close_idle();
        }
    }

    /// Creates a pool that keeps the state of the servers and the statistics of
    /// the pool before it. The state of a server is kept if its record, apart from
    /// whether it is cold, and the address of its VM are unchanged.
    fn make_pool(
        &self,
        service: &Arc<Service>,
        source: &Arc<PoolMembers>,
        before: Option<&PoolState>,
    ) -> PoolState {
        let keep = |backend: &Backend| {
            let old = before?
                .servers
                .iter()
                .find(|state| state.matches(backend))?;
            let same_address = match &old.connections {
                Some(connections) => {
                    self.view.table().vm(&backend.vm)?.address == connections.address()
                }
                None => true,
            };
            same_address.then(|| Arc::clone(old))
        };
        let state = |backend: Backend| {
            let rate = service.cold.filter(|_| backend.cold).map(|cold| cold.rate);
            let state = keep(&backend).or_else(|| self.make_server(backend, before))?;
            state.set_cold(rate);
            Some(state)
        };
        let members = self.view.table().pool_servers(&service.id);
        let budget = before.map_or_else(Arc::default, |pool| Arc::clone(&pool.budget));
        let slack = self.settings.load().policy.retry_slack;
        budget.set_capacity(slack, self.view.table().vms().count());
        PoolState {
            service: Arc::clone(service),
            servers: members.into_iter().filter_map(state).collect(),
            budget,
            hedge_after: match before {
                Some(pool) => Arc::clone(&pool.hedge_after),
                None => Arc::new(LatencyQuantile::new(HEDGE_QUANTILE)),
            },
            slow_limit_us: before.map_or_else(Arc::default, |pool| Arc::clone(&pool.slow_limit_us)),
            source: Arc::clone(source),
        }
    }

    /// Creates the state of a backend server that is new in its pool, or whose record
    /// in the pool `before` was another.
    fn make_server(
        &self,
        backend: Backend,
        before: Option<&PoolState>,
    ) -> Option<Arc<ServerState>> {
        let earlier = before.and_then(|pool| {
            let mut states = pool.servers.iter().map(|state| state.as_ref());
            states.find(|state| {
                state.backend.id == backend.id && state.backend.address == backend.address
            })
        });
        let distance = self.view.distance(&backend.vm);
        let connections = match distance {
            Distance::Local => None,
            _ => Some(self.peer_connections(&backend.vm)?),
        };
        let state = ServerState::new(backend, distance, connections);
        Some(Arc::new(match earlier {
            Some(earlier) => state.with_notice_of(earlier),
            None => state,
        }))
    }

    /// Returns the connections to the daemon on a VM, or `None` if the VM is
    /// unknown.
    pub fn peer_connections(&self, vm: &VmId) -> Option<Arc<ConnectionPool>> {
        let address = self.view.table().vm(vm)?.address;
        if let Some(connections) = self.peers.load().get(vm)
            && connections.address() == address
        {
            return Some(Arc::clone(connections));
        }
        let meter = self.metrics.ledger.opened(self.view.distance(vm));
        let tasks = Arc::clone(&self.tasks);
        let connections = ConnectionPool::new(address, PEER_CONNECTIONS, tasks, meter);
        self.peers.rcu(|peers| {
            let mut peers = FastMap::clone(peers);
            peers.insert(vm.clone(), Arc::clone(&connections));
            peers
        });
        Some(connections)
    }
}
