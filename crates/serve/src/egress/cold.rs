//! Rate of the cold backend servers of this VM.
//!
//! All requests to a backend server pass its egress, so the egress alone counts them:
//! requests, trials of a closed gate, canaries, forced offers and probes.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use admit::{ColdDecision, ColdEvent, ColdLimit, ColdRate};
use config::{Backend, ConfigTable, Delta, Record, RecordId};
use ids::{MonoTime, ServerId};

use super::{EgressHub, server::EgressServer};
use crate::wire::NotRun;

/// Phases of a server: its service has no cold terms, it is warm, or it is cold.
const NO_TERMS: u8 = 0;
const WARM: u8 = 1;
const COLD: u8 = 2;
/// Time after the start of the daemon in which requests of an earlier process count.
const START_TIME: Duration = Duration::from_secs(1);
/// Time without a tick after which the process counts as suspended meanwhile, and its
/// configuration as old. On a VM with a tenth of a core, ticks can be a second apart
/// under load, and each such gap would throttle the servers.
const MAX_TICK_GAP: Duration = Duration::from_secs(2);
/// Factor by which the slow limit is longer for a cold server. Such a server takes
/// about twice as long, and the factor leaves room for its slower answers.
const SLOW_FACTOR: u32 = 3;

/// Whether a backend server is cold, and what it may be sent.
#[derive(Debug, Default)]
pub(super) struct ColdState {
    phase: AtomicU8,
    rate: Mutex<Option<ColdRate>>,
}

impl ColdState {
    /// Locks the rate, whose holders never panic.
    fn lock(&self) -> MutexGuard<'_, Option<ColdRate>> {
        self.rate
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Permission to send one request to a backend server, with its token if the server
/// is cold.
#[derive(Debug)]
pub(super) struct ColdPass {
    server: Arc<EgressServer>,
    reserved: bool,
    /// Whether the request was counted, and whether it may be sent.
    sent: Option<bool>,
}

impl ColdPass {
    /// Counts the request as sent, and returns whether it may be. A server may have
    /// become cold since the permission was given.
    ///
    /// A request that is passed to another connection, because the first one was
    /// closed, is counted once.
    pub(super) fn send(&mut self) -> bool {
        if let Some(sent) = self.sent {
            return sent;
        }
        let reserved = std::mem::take(&mut self.reserved);
        let sent = self.server.count_cold(reserved);
        self.sent = Some(sent);
        sent
    }

    /// Whether the request was refused when it was to be sent.
    pub(super) fn is_refused(&self) -> bool {
        self.sent == Some(false)
    }
}

impl Drop for ColdPass {
    fn drop(&mut self) {
        if self.reserved
            && let Some(rate) = self.server.cold.lock().as_mut()
        {
            rate.release();
        }
    }
}

impl EgressServer {
    /// Whether the server is cold.
    pub(super) fn is_cold(&self) -> bool {
        self.cold.phase.load(Ordering::Relaxed) == COLD
    }

    /// Sets what the server takes while it is cold; `None` if that is no less than
    /// later.
    fn set_cold_limit(&self, limit: Option<ColdLimit>) {
        if limit.is_none() && self.cold.phase.load(Ordering::Relaxed) == NO_TERMS {
            return;
        }
        let now = self.clock.now();
        let mut rate = self.cold.lock();
        match (rate.as_mut(), limit) {
            (Some(rate), Some(limit)) if rate.limit() != limit => rate.set_limit(now, limit),
            (None, Some(limit)) => *rate = Some(ColdRate::new(limit)),
            (Some(_), None) => *rate = None,
            _ => {}
        }
        self.update_phase(now, &rate);
    }

    /// Passes an event to the rate, if the service has cold terms.
    pub(super) fn handle_cold(&self, event: ColdEvent) {
        if self.cold.phase.load(Ordering::Relaxed) == NO_TERMS {
            return;
        }
        let now = self.clock.now();
        let mut rate = self.cold.lock();
        if let Some(rate) = rate.as_mut() {
            rate.handle(now, event);
        }
        self.update_phase(now, &rate);
    }

    /// Sets the phase by the rate, and logs a change.
    fn update_phase(&self, now: MonoTime, rate: &Option<ColdRate>) {
        let phase = match rate {
            None => NO_TERMS,
            Some(rate) if rate.is_cold(now) => COLD,
            Some(_) => WARM,
        };
        let before = self.cold.phase.swap(phase, Ordering::Relaxed);
        match rate {
            Some(rate) if phase == COLD && before != COLD => log::info!(
                server = self.id.as_str(),
                rate = rate.limit().rate.to_string().as_str();
                "egress: the backend server counts as cold; it gets no more than its rate."
            ),
            _ if before == COLD && phase != COLD => log::info!(
                server = self.id.as_str();
                "egress: the backend server no longer counts as cold."
            ),
            _ => {}
        }
    }

    /// Returns the permission to send a request, or `None` if the server is cold and
    /// the request does not fit its rate.
    fn reserve_cold(self: &Arc<Self>) -> Option<ColdPass> {
        let decision = match self.is_cold() {
            false => ColdDecision::Warm,
            true => {
                let now = self.clock.now();
                let mut rate = self.cold.lock();
                let decision = rate.as_mut().map(|rate| rate.reserve(now));
                self.update_phase(now, &rate);
                decision.unwrap_or(ColdDecision::Warm)
            }
        };
        let pass = |reserved| ColdPass {
            server: Arc::clone(self),
            reserved,
            sent: None,
        };
        match decision {
            ColdDecision::Warm => Some(pass(false)),
            ColdDecision::Reserved => Some(pass(true)),
            ColdDecision::Refused => None,
        }
    }

    /// Counts a request that is sent now, and returns whether it may be.
    pub(super) fn count_cold(&self, reserved: bool) -> bool {
        if !reserved && !self.is_cold() {
            return true;
        }
        let now = self.clock.now();
        let mut rate = self.cold.lock();
        let sent = rate.as_mut().is_none_or(|rate| rate.send(now, reserved));
        self.update_phase(now, &rate);
        sent
    }

    /// Expected time until the server may be sent another request, zero if it is warm.
    pub(super) fn cold_wait(&self, now: MonoTime) -> Duration {
        match self.is_cold() {
            true => {
                let rate = self.cold.lock();
                rate.as_ref().map_or(Duration::ZERO, |rate| rate.wait(now))
            }
            false => Duration::ZERO,
        }
    }

    /// Factor by which answers of the server may be slower than usual.
    pub(super) fn slow_factor(&self) -> u32 {
        match self.is_cold() {
            true => SLOW_FACTOR,
            false => 1,
        }
    }
}

impl EgressHub {
    /// Returns the permission to send a request to a server.
    ///
    /// # Errors
    ///
    /// Returns [`NotRun::Cold`] if the server is cold and the request does not fit its
    /// rate.
    pub(super) fn reserve_cold(&self, server: &Arc<EgressServer>) -> Result<ColdPass, NotRun> {
        self.check_suspension(server);
        server.reserve_cold().ok_or_else(|| self.refuse_cold())
    }

    /// Returns the permission for a request that has waited for its slot. The server may
    /// have become cold meanwhile, and a refusal now saves the transfer of the request.
    ///
    /// # Errors
    ///
    /// Returns [`NotRun::Cold`] as [`EgressHub::reserve_cold`] does.
    pub(super) fn renew_cold(&self, pass: ColdPass) -> Result<ColdPass, NotRun> {
        self.check_suspension(&pass.server);
        match !pass.reserved && pass.server.is_cold() {
            true => self.reserve_cold(&pass.server),
            false => Ok(pass),
        }
    }

    /// Has a server that is used for the first time count as cold if this daemon has just
    /// started: an earlier process may have sent requests to it in the same second.
    pub(super) fn begin_cold(&self, server: &EgressServer) {
        if self.clock.now().since(MonoTime::ZERO) < START_TIME {
            server.handle_cold(ColdEvent::Started);
        }
    }

    /// Counts a refusal and returns its reason.
    pub(super) fn refuse_cold(&self) -> NotRun {
        self.metrics.cold_refused.inc();
        NotRun::Cold
    }

    /// Applies the suspension of this process, if there was one, before a request is
    /// sent: requests may be handled before the next tick.
    fn check_suspension(&self, server: &EgressServer) {
        if server.cold.phase.load(Ordering::Relaxed) != NO_TERMS {
            self.apply_suspension(self.clock.now());
        }
    }

    /// Has all servers count as cold for a short time if this process was suspended:
    /// the configuration in force may be older than a start of theirs.
    fn apply_suspension(&self, now: MonoTime) {
        let last_tick = MonoTime::from_nanos(self.last_tick.load(Ordering::Acquire));
        if now.since(last_tick) > MAX_TICK_GAP {
            self.last_tick.store(now.as_nanos(), Ordering::Release);
            for server in self.servers.load().values() {
                server.handle_cold(ColdEvent::Resumed);
            }
        }
    }

    /// Performs the periodic work. `fresh` tells whether the configuration in force is
    /// recent.
    pub fn tick(&self, fresh: bool) {
        let now = self.clock.now();
        self.apply_suspension(now);
        self.last_tick.store(now.as_nanos(), Ordering::Release);
        for server in self.servers.load().values() {
            match fresh {
                true => server.handle_cold(ColdEvent::Confirmed),
                // Ends a spell that has run out.
                false if server.is_cold() => server.update_phase(now, &server.cold.lock()),
                false => {}
            }
        }
    }

    /// Number of cold backend servers of this VM.
    pub fn cold_servers(&self) -> usize {
        let servers = self.servers.load();
        servers.values().filter(|server| server.is_cold()).count()
    }

    /// Has the servers of this VM count as cold that the configuration in force lists
    /// and `before` does not, or at another address. Their notice may be late.
    ///
    /// `deltas` lead from `before` to the configuration in force, and are empty if that
    /// was read as a whole. Nothing follows from the first configuration: it does not
    /// tell which servers are new.
    pub fn record_listed(&self, before: &ConfigTable, deltas: &[Delta]) {
        let table = self.view.table();
        let has_terms = |backend: &Backend| {
            let service = table.service(&backend.service);
            service.is_some_and(|service| service.cold.is_some())
        };
        let any_terms = || table.services().any(|service| service.cold.is_some());
        let listed: Vec<Backend> = match deltas {
            _ if before.revision().get() == 0 => Vec::new(),
            [] if any_terms() => table.servers().collect(),
            deltas => {
                let puts = deltas.iter().flat_map(|delta| &delta.puts);
                let servers = puts.filter_map(|record| match record {
                    Record::Server(backend) => Some(backend.clone()),
                    _ => None,
                });
                servers.collect()
            }
        };
        // A server may have been removed and listed again since `before`.
        let was_removed = |id: &ServerId| {
            let mut removes = deltas.iter().flat_map(|delta| &delta.removes);
            removes.any(|removed| matches!(removed, RecordId::Server(removed) if removed == id))
        };
        for backend in listed.iter().filter(|backend| backend.vm == self.view.vm) {
            let known = before.server(&backend.id);
            let same = known.is_some_and(|known| known.address == backend.address)
                && !was_removed(&backend.id);
            if !same
                && has_terms(backend)
                && let Some(server) = self.server(&backend.id)
            {
                server.handle_cold(ColdEvent::Listed);
            }
        }
    }

    /// Applies the terms of a server's service and the notice in the configuration.
    pub(super) fn apply_cold(&self, server: &EgressServer, backend: &Backend) {
        let table = self.view.table();
        let service = table.service(&backend.service);
        let terms = service.and_then(|service| service.cold);
        server.set_cold_limit(terms.map(|terms| {
            let settings = self.settings.load();
            ColdLimit {
                rate: terms.rate,
                after_start: terms.after_start(),
                over: settings.policy.cold_over,
                slack: settings.policy.cold_slack,
            }
        }));
        server.handle_cold(ColdEvent::Noticed(backend.cold));
    }
}
