//! What an ingress knows of the backend servers of each service.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use config::{Backend, PoolMembers, Service};
use hop::ServerLoad;
use ids::{FastMap, Percent, ServerId, ServiceId, VmId};
use route::{Candidate, Distance, LatencyQuantile, RetryBudget, choose_server, keep_floor};

use crate::{link::LinkPool, settings::LiveSettings, task::TaskGroup, view::FleetView};

/// Weight of a backend server in full rotation, in thousandths.
const FULL_WEIGHT: u32 = 1_000;
/// Whether a canary may be sent: no, yes, one is on its way.
const NO_CANARY: u8 = 0;
const CANARY_WANTED: u8 = 1;
const CANARY_SENT: u8 = 2;
/// Quantile after which idempotent requests are hedged.
const HEDGE_QUANTILE: f64 = 0.95;
/// Weight of the newest sample in the moving average of service time.
const SERVICE_TIME_SHIFT: u32 = 3;
/// Age from which a reported load says nothing, in milliseconds, on top of the
/// time in which its jobs take two turns.
const LOAD_AGE_MS: u64 = 200;
/// Time for which a server that is taken for failing is left out after it was
/// last heard to be: for requests that may be its next trial, and for others.
const FAILING_TRIAL_MS: u64 = 120;
const FAILING_MS: u64 = 1_000;
/// Delay that a server in another zone must save, for small answers and for
/// large ones: their bytes between zones cost.
const FAR: Duration = Duration::from_millis(10);
const FAR_BULK: Duration = Duration::from_millis(120);
/// Time for which a server is left out whose daemon did not answer, first and
/// longest; it doubles while there is no answer.
const SILENT_MS: u64 = 150;
const MAX_SILENT_MS: u64 = 3_000;
/// Connections to one peer.
const PEER_CONNECTIONS: usize = 512;

/// A backend server as seen from here.
#[derive(Debug)]
pub struct ServerState {
    /// Its record.
    pub backend: Arc<Backend>,
    /// Distance of its VM.
    pub distance: Distance,
    /// Connections to the daemon on its VM; `None` where that is this one.
    pub links: Option<Arc<LinkPool>>,
    in_flight: AtomicU32,
    running: AtomicU32,
    delay_us: AtomicU64,
    service_us: AtomicU64,
    /// When the egress last reported, in milliseconds from `start`.
    reported_ms: AtomicU64,
    start: Instant,
    weight: AtomicU32,
    canary: AtomicU8,
    /// When it was last heard to be failing, in milliseconds from `start` and
    /// one more; zero if it is not.
    failing_ms: AtomicU64,
    /// Offers in a row that its daemon did not answer, and until when it is
    /// left out, in milliseconds from `start`.
    unanswered: AtomicU32,
    silent_until_ms: AtomicU64,
}

impl ServerState {
    /// Notes whether its egress keeps ordinary requests away.
    pub fn note_gate(&self, closed: bool) {
        let heard = match closed {
            true => self.age_ms() + 1,
            false => 0,
        };
        self.failing_ms.store(heard, Ordering::Relaxed);
    }

    /// Whether a request should go elsewhere, by what was last heard.
    pub fn is_failing(&self, repeatable: bool) -> bool {
        let span = match repeatable {
            true => FAILING_TRIAL_MS,
            false => FAILING_MS,
        };
        match self.failing_ms.load(Ordering::Relaxed) {
            0 => false,
            heard => self.age_ms() + 1 < heard + span,
        }
    }

    /// Counts a request in flight until the guard is dropped.
    pub fn begin(self: &Arc<Self>) -> FlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        FlightGuard(Arc::clone(self))
    }

    /// Takes the load that an egress reports, and the service time of an
    /// answer; zero if there was none.
    pub fn note_load(&self, load: &ServerLoad, service_us: u64) {
        self.running.store(load.running, Ordering::Relaxed);
        self.delay_us.store(load.delay_us, Ordering::Relaxed);
        self.reported_ms.store(self.age_ms(), Ordering::Relaxed);
        self.note_gate(load.closed);
        if service_us > 0 {
            let old = self.service_us.load(Ordering::Relaxed);
            let step = (service_us >> SERVICE_TIME_SHIFT).max(1);
            let new = match old {
                0 => service_us,
                old => old - (old >> SERVICE_TIME_SHIFT) + step,
            };
            self.service_us.store(new, Ordering::Relaxed);
        }
    }

    /// The daemon beside it does not answer.
    pub fn note_silent(&self) {
        let now = self.age_ms();
        if now < self.silent_until_ms.load(Ordering::Relaxed) {
            return;
        }
        let before = self.unanswered.fetch_add(1, Ordering::Relaxed);
        let pause = (SILENT_MS << before.min(6)).min(MAX_SILENT_MS);
        self.silent_until_ms.store(now + pause, Ordering::Relaxed);
    }

    /// The daemon beside it has answered.
    pub fn note_heard(&self) {
        self.unanswered.store(0, Ordering::Relaxed);
        self.silent_until_ms.store(0, Ordering::Relaxed);
    }

    /// Whether its daemon did not answer of late.
    fn is_silent(&self) -> bool {
        self.age_ms() < self.silent_until_ms.load(Ordering::Relaxed)
    }

    /// Sets the share of traffic that it may take, 0 to 1.
    pub fn set_weight(&self, weight: f64) {
        let weight = (weight.clamp(0.0, 1.0) * f64::from(FULL_WEIGHT)) as u32;
        self.weight.store(weight, Ordering::Relaxed);
    }

    /// Sets whether canaries are wanted.
    pub fn set_canary(&self, wanted: bool) {
        let (from, to) = match wanted {
            true => (NO_CANARY, CANARY_WANTED),
            false => (self.canary.load(Ordering::Relaxed), NO_CANARY),
        };
        let _ = self
            .canary
            .compare_exchange(from, to, Ordering::AcqRel, Ordering::Relaxed);
    }

    /// Lets the next canary go after one has ended.
    pub fn rearm_canary(&self) {
        let order = (Ordering::AcqRel, Ordering::Relaxed);
        let _ = self
            .canary
            .compare_exchange(CANARY_SENT, CANARY_WANTED, order.0, order.1);
    }

    /// Takes the right to send a canary.
    fn take_canary(&self) -> bool {
        let order = (Ordering::AcqRel, Ordering::Relaxed);
        self.canary
            .compare_exchange(CANARY_WANTED, CANARY_SENT, order.0, order.1)
            .is_ok()
    }

    /// Share of traffic that it may take.
    pub fn weight(&self) -> f64 {
        f64::from(self.weight.load(Ordering::Relaxed)) / f64::from(FULL_WEIGHT)
    }

    /// Whether its daemon said that it is leaving.
    pub fn is_resting(&self) -> bool {
        self.links.as_ref().is_some_and(|links| links.is_resting())
    }

    /// Milliseconds since this state was made.
    fn age_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Whether the reported load may still hold: jobs end, and a load that
    /// kept requests away for good would never be corrected.
    fn is_load_fresh(&self) -> bool {
        let delay_us = self.delay_us.load(Ordering::Relaxed);
        let turn_us = delay_us + self.service_us.load(Ordering::Relaxed);
        let age_ms = self
            .age_ms()
            .saturating_sub(self.reported_ms.load(Ordering::Relaxed));
        age_ms < LOAD_AGE_MS + 2 * turn_us / 1_000
    }

    /// The numbers for a choice.
    fn candidate(&self) -> Candidate {
        let (running, delay_us) = match self.is_load_fresh() {
            true => (
                self.running.load(Ordering::Relaxed),
                self.delay_us.load(Ordering::Relaxed),
            ),
            false => (0, 0),
        };
        Candidate {
            slots: self.backend.slots.get(),
            running,
            delay: Duration::from_micros(delay_us),
            in_flight: self.in_flight.load(Ordering::Relaxed),
            service_time: Duration::from_micros(self.service_us.load(Ordering::Relaxed)),
            distance: self.distance,
            weight: self.weight(),
        }
    }
}

/// Counts a request in flight while it lives.
#[derive(Debug)]
pub struct FlightGuard(Arc<ServerState>);

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

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
            |state: &&Arc<ServerState>| view.is_usable(&state.backend.vm) && !state.is_resting();
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
        wanted: ChoiceWish,
    ) -> Option<Choice> {
        let ChoiceWish { repeatable, bulk } = wanted;
        let far = if bulk { FAR_BULK } else { FAR };
        let usable = |state: &&Arc<ServerState>| view.is_usable(&state.backend.vm);
        let states: Vec<&Arc<ServerState>> = self.servers.iter().filter(usable).collect();
        let fresh = |state: &&&Arc<ServerState>| {
            let tried = tried.contains(&state.backend.id);
            !tried && !state.is_silent() && !state.is_failing(repeatable)
        };
        let sound: Vec<&Arc<ServerState>> = states.iter().filter(fresh).copied().collect();
        let rules = PoolRules {
            size: states.len(),
            floor: self.service.floor,
            far,
        };
        if let Some(server) = choose_among(sound, rules) {
            return Some(Choice {
                server,
                forced: false,
            });
        }
        let failing = |state: &&Arc<ServerState>| state.is_failing(false) || state.is_silent();
        let server = choose_among(states.into_iter().filter(failing).collect(), rules)?;
        Some(Choice {
            server,
            forced: true,
        })
    }
}

/// What matters of a request when a server is chosen for it.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceWish {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether its answer is large.
    pub bulk: bool,
}

/// A backend server for an attempt.
#[derive(Clone, Debug)]
pub struct Choice {
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
    if states.iter().any(|state| !state.is_resting()) {
        states.retain(|state| !state.is_resting());
    }
    let mut candidates: Vec<Candidate> = states.iter().map(|state| state.candidate()).collect();
    keep_floor(&mut candidates, rules.size, rules.floor);
    let place = choose_server(&candidates, [rand::random(), rand::random()], rules.far)?;
    Some(Arc::clone(states[place]))
}

/// Pools of the services that were used, made when first needed.
#[derive(Debug)]
pub struct PoolTable {
    view: Arc<FleetView>,
    tasks: Arc<TaskGroup>,
    pools: ArcSwap<FastMap<ServiceId, Arc<PoolState>>>,
    peers: ArcSwap<FastMap<VmId, Arc<LinkPool>>>,
    settings: LiveSettings,
}

impl PoolTable {
    /// A table whose connections join `tasks`.
    pub fn new(view: Arc<FleetView>, tasks: Arc<TaskGroup>, settings: LiveSettings) -> Self {
        Self {
            settings,
            view,
            tasks,
            pools: ArcSwap::default(),
            peers: ArcSwap::default(),
        }
    }

    /// The pool of a service; `None` if it has no backend server.
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

    /// Notes whether the egress of a server keeps ordinary requests away.
    pub fn note_gate(&self, service: &ServiceId, server: &ServerId, closed: bool) {
        let pools = self.pools.load();
        let states = pools
            .get(service)
            .into_iter()
            .flat_map(|pool| &pool.servers);
        for state in states.filter(|state| state.backend.id == *server) {
            state.note_gate(closed);
        }
    }

    /// All pools that were used.
    pub fn pools(&self) -> Vec<Arc<PoolState>> {
        self.pools.load().values().cloned().collect()
    }

    /// Closes connections to peers that were idle for too long.
    pub fn sweep_idle(&self) {
        for links in self.peers.load().values() {
            links.sweep();
        }
    }

    /// Closes idle connections to peers.
    pub fn clear_idle(&self) {
        for links in self.peers.load().values() {
            links.clear();
        }
    }

    /// Makes a pool, with the state of the servers that it had before.
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
                .find(|state| *state.backend == *backend)?;
            let same_address = match &old.links {
                Some(links) => self.view.table().vm(&backend.vm)?.address == links.address(),
                None => true,
            };
            same_address.then(|| Arc::clone(old))
        };
        let state = |backend: Backend| keep(&backend).or_else(|| self.make_server(backend));
        let members = self.view.table().pool_servers(&service.id);
        let budget = before.map_or_else(Arc::default, |pool| Arc::clone(&pool.budget));
        let slack = self.settings.load().policy.retry_slack;
        budget.set_fleet(slack, self.view.table().vms().count());
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

    /// State of a backend server that is new here.
    fn make_server(&self, backend: Backend) -> Option<Arc<ServerState>> {
        let distance = self.view.distance(&backend.vm);
        let links = match distance {
            Distance::Local => None,
            _ => Some(self.peer(&backend.vm)?),
        };
        Some(Arc::new(ServerState {
            backend: Arc::new(backend),
            distance,
            links,
            in_flight: AtomicU32::new(0),
            running: AtomicU32::new(0),
            delay_us: AtomicU64::new(0),
            service_us: AtomicU64::new(0),
            reported_ms: AtomicU64::new(0),
            start: Instant::now(),
            weight: AtomicU32::new(FULL_WEIGHT),
            canary: AtomicU8::new(NO_CANARY),
            failing_ms: AtomicU64::new(0),
            unanswered: AtomicU32::new(0),
            silent_until_ms: AtomicU64::new(0),
        }))
    }

    /// Connections to the daemon of a VM.
    pub fn peer(&self, vm: &VmId) -> Option<Arc<LinkPool>> {
        let address = self.view.table().vm(vm)?.address;
        if let Some(links) = self.peers.load().get(vm)
            && links.address() == address
        {
            return Some(Arc::clone(links));
        }
        let links = LinkPool::new(address, PEER_CONNECTIONS, Arc::clone(&self.tasks));
        self.peers.rcu(|peers| {
            let mut peers = FastMap::clone(peers);
            peers.insert(vm.clone(), Arc::clone(&links));
            peers
        });
        Some(links)
    }
}

impl ServerState {
    /// The state as JSON, for the dump.
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "server": self.backend.id,
            "vm": self.backend.vm,
            "slots": self.backend.slots,
            "distance": format!("{:?}", self.distance).to_lowercase(),
            "weight": self.weight(),
            "in_flight": self.in_flight.load(Ordering::Relaxed),
            "running": self.running.load(Ordering::Relaxed),
            "delay_us": self.delay_us.load(Ordering::Relaxed),
            "service_us": self.service_us.load(Ordering::Relaxed),
        })
    }
}
