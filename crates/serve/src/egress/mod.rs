//! The egress: queues offers for the backend servers of this VM and runs the
//! requests that are committed to them.

mod cold;
#[cfg(test)]
mod cold_tests;
mod dispatch;
mod evacuation;
mod notice;
mod probed;
mod server;
mod slot;

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use admit::{QueueEvent, QueueLimits, QueueRefusal, QueueReport, SlotQueue};
use arc_swap::ArcSwap;
use config::Backend;
use health::{FailedCalls, OutcomeCounts};
use hop::{
    EgressIncarnation, HopMessage, OfferId, OfferJob, OfferKey, OfferReply, OfferStatus,
    OfferTable, ServerLoad, ServerNotice,
};
use hyper::{Request, Response};
use ids::{FastMap, ServerId, VmId};
use tokio::sync::{Notify, oneshot};

pub use self::probed::ProbedServer;
use self::{cold::ColdState, notice::NoticeSource, server::EgressServer, slot::HeldSlot};
use crate::{
    body::ProxyBody,
    clock::MonoClock,
    control::ControlSender,
    desk::QueueState,
    edge::EdgeCodec,
    evidence::ServerEvidence,
    hop::HopTransport,
    ledger::StreamMeter,
    link::ConnectionPool,
    metrics::MetricSet,
    settings::LiveSettings,
    task::TaskGroup,
    view::FleetView,
    wire::{Attempt, EgressOutcome, EgressReport, NotRun},
};

/// Result of an attempt at an egress.
#[derive(Debug)]
pub struct EgressAnswer {
    /// Outcome of the attempt, and load and evidence of the backend server.
    pub report: EgressReport,
    /// Answer of the backend server, if there is one.
    pub response: Option<Response<ProxyBody>>,
}

/// Offers at this egress. A waiting offer has a sender whose drop signals its
/// withdrawal; a granted offer has its slot.
type EgressOffers = OfferTable<oneshot::Sender<()>, HeldSlot>;

/// Returns the key of an offer that the ingress on `from` made.
fn offer_key(from: &VmId, offer: OfferId) -> OfferKey {
    OfferKey {
        from: from.clone(),
        offer,
    }
}

/// The egress of this VM, with all its backend servers.
#[derive(Debug)]
pub struct EgressHub {
    view: Arc<FleetView>,
    clock: MonoClock,
    tasks: Arc<TaskGroup>,
    servers: ArcSwap<FastMap<ServerId, Arc<EgressServer>>>,
    draining: AtomicBool,
    /// Whether the zone of this VM was evacuated in the last table that was applied.
    evacuated: AtomicBool,
    incarnation: EgressIncarnation,
    control: ControlSender,
    settings: LiveSettings,
    metrics: Arc<MetricSet>,
    stall_timeout: Duration,
    codec: Arc<dyn EdgeCodec>,
    offers: Mutex<EgressOffers>,
    /// Time of the latest tick, by which a suspension of the process is noticed.
    last_tick: AtomicU64,
    /// Failed calls that requests on this VM made to other services.
    calls: Arc<Mutex<FailedCalls>>,
}

impl EgressHub {
    /// Creates an egress that has not used any backend server yet. The tasks of
    /// its connections join `tasks`.
    pub fn new(
        view: Arc<FleetView>,
        clock: MonoClock,
        tasks: Arc<TaskGroup>,
        control: ControlSender,
        settings: LiveSettings,
        metrics: Arc<MetricSet>,
        codec: Arc<dyn EdgeCodec>,
    ) -> Self {
        let incarnation = EgressIncarnation(rand::random());
        let stall_timeout = settings.load().budgets.stall_timeout();
        let last_tick = AtomicU64::new(clock.now().as_nanos());
        Self {
            view,
            clock,
            tasks,
            servers: ArcSwap::default(),
            draining: AtomicBool::new(false),
            evacuated: AtomicBool::new(false),
            incarnation,
            control,
            settings,
            metrics,
            stall_timeout,
            codec,
            offers: Mutex::new(OfferTable::new(incarnation)),
            last_tick,
            calls: Arc::default(),
        }
    }

    /// Handles a message of an ingress about an offer.
    pub fn receive(
        self: &Arc<Self>,
        transport: &Arc<HopTransport>,
        from: &VmId,
        message: HopMessage,
    ) {
        let now = self.clock.now();
        match message {
            HopMessage::Offer { offer, job } => self.handle_offer(transport, from, offer, *job),
            HopMessage::Withdraw { offer } => {
                self.offers().withdraw(now, offer_key(from, offer));
            }
            HopMessage::Check { offer, incarnation } => {
                let status = self
                    .offers()
                    .check(now, offer_key(from, offer), incarnation);
                let reply = match status {
                    OfferStatus::Committed => OfferReply::Committed,
                    OfferStatus::Answered => OfferReply::Answered,
                    OfferStatus::Restarted => OfferReply::Restarted,
                    _ => OfferReply::Refused(NotRun::Lapsed, ServerLoad::default()),
                };
                transport.send(from, HopMessage::Reply { offer, reply });
            }
            HopMessage::Reply { .. } => {}
        }
    }

    /// Queues a new offer, or replies with the status of a known one.
    fn handle_offer(
        self: &Arc<Self>,
        transport: &Arc<HopTransport>,
        from: &VmId,
        offer: OfferId,
        job: OfferJob,
    ) {
        let (withdrawn, withdrawal) = oneshot::channel();
        let key = offer_key(from, offer);
        let status = self
            .offers()
            .offer(self.clock.now(), key.clone(), || withdrawn);
        let load = || {
            let server = self.server(&job.server);
            server.map_or_else(ServerLoad::default, |server| server.load())
        };
        let reply = match status {
            OfferStatus::New => {
                let hub = Arc::clone(self);
                let transport = Arc::clone(transport);
                self.tasks.spawn(async move {
                    hub.process_offer(&transport, key, job, withdrawal).await;
                });
                return;
            }
            OfferStatus::Waiting => OfferReply::Waiting(load()),
            OfferStatus::Granted => OfferReply::Granted(self.incarnation),
            OfferStatus::Committed | OfferStatus::Answered => OfferReply::Committed,
            OfferStatus::Restarted => OfferReply::Restarted,
            OfferStatus::Ended => OfferReply::Refused(NotRun::Lapsed, load()),
        };
        transport.send(from, HopMessage::Reply { offer, reply });
    }

    /// Waits for a slot for an offer and replies to its ingress. Releases the
    /// slot if the request does not arrive before the grant expires.
    async fn process_offer(
        &self,
        transport: &Arc<HopTransport>,
        key: OfferKey,
        job: OfferJob,
        withdrawal: oneshot::Receiver<()>,
    ) {
        let offer = key.offer;
        let send_reply = |reply| transport.send(&key.from, HopMessage::Reply { offer, reply });
        let held = match self.server(&job.server) {
            None => Err((NotRun::Misdirected, ServerLoad::default())),
            Some(server) => {
                if let Some(notice) = server.notice_to_tell() {
                    transport.send_notice(&key.from, &job.server, notice);
                }
                let waiting = || send_reply(OfferReply::Waiting(server.load()));
                let held = tokio::select! {
                    biased;
                    held = self.hold_slot(&server, &job, waiting) => held,
                    _ = withdrawal => return,
                };
                held.map_err(|reason| (reason, server.load()))
            }
        };
        let now = self.clock.now();
        match held {
            Ok(held) => {
                let granted = self.offers().grant(now, &key, held);
                // The offer was withdrawn meanwhile, and its slot is released.
                if granted.is_err() {
                    return;
                }
                send_reply(OfferReply::Granted(self.incarnation));
                tokio::time::sleep(EgressOffers::GRANT_TIMEOUT).await;
                self.offers().expire(self.clock.now());
            }
            Err((reason, load)) => {
                self.offers().refuse(now, &key);
                send_reply(OfferReply::Refused(reason, load));
            }
        }
    }

    /// Waits for a slot, or returns why the request must not run. Calls
    /// `waiting` once if no slot is free at once.
    async fn hold_slot(
        &self,
        server: &Arc<EgressServer>,
        job: &OfferJob,
        waiting: impl FnOnce(),
    ) -> Result<HeldSlot, NotRun> {
        let deadline = self.clock.now() + job.remaining();
        self.check_evacuation()?;
        if server.is_replaced() {
            return Err(NotRun::Misdirected);
        }
        if server.refuses_early(job) {
            return Err(NotRun::Failing);
        }
        let cold = self.reserve_cold(server)?;
        let acquired = server.acquire(job, deadline);
        tokio::pin!(acquired);
        let ticket = tokio::select! {
            biased;
            ticket = &mut acquired => ticket,
            () = std::future::ready(()) => {
                waiting();
                acquired.await
            }
        };
        let ticket = ticket.map_err(|refusal| self.refusal_reason(refusal))?;
        // The zone may have been evacuated, the key withdrawn, or the server may
        // have begun to fail or become cold, while the request waited.
        self.check_evacuation()?;
        match job.key {
            Some(key) if self.view.table().has_withdrawn(&key) => return Err(NotRun::Withdrawn),
            _ => {}
        }
        let cold = self.renew_cold(cold)?;
        let pass = server.pass_gate(job)?;
        Ok(HeldSlot { ticket, pass, cold })
    }

    /// Runs a request whose offer holds a slot, or returns why it did not run.
    pub async fn commit(&self, attempt: &Attempt, request: Request<ProxyBody>) -> EgressAnswer {
        let now = self.clock.now();
        let deadline = now + attempt.remaining();
        let key = offer_key(&attempt.from, attempt.offer);
        let committed = self.offers().commit(now, &key, deadline);
        let Some(server) = self.server(&attempt.server) else {
            return misdirected();
        };
        match committed {
            // The slot is released. The grant may be older than the evacuation.
            Ok(_) if self.is_evacuated() => server.not_run(NotRun::Evacuated),
            Ok(HeldSlot { ticket, pass, cold }) => match self.renew_cold(cold) {
                Ok(cold) => {
                    let held = HeldSlot { ticket, pass, cold };
                    let answer = server.dispatch(attempt, request, deadline, held).await;
                    if answer.report.outcome == EgressOutcome::NotRun(NotRun::Cold) {
                        self.refuse_cold();
                    }
                    if attempt.from != self.view.vm {
                        self.offers().record_answer(&key);
                    }
                    answer
                }
                Err(reason) => {
                    // Releases the slot before the load is reported.
                    drop((ticket, pass));
                    server.not_run(reason)
                }
            },
            // The request arrived twice, and the other copy runs.
            Err(OfferStatus::Committed) => server.without_answer(EgressOutcome::Lost),
            Err(_) => server.not_run(NotRun::Lapsed),
        }
    }

    /// Locks the offers, whose holders never panic.
    fn offers(&self) -> MutexGuard<'_, EgressOffers> {
        self.offers
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    /// Records that a call from this VM got no good answer. A request that runs
    /// on this VM may have made it.
    pub fn record_failed_call(&self) {
        lock_calls(&self.calls).record_failure(self.clock.now());
    }

    /// Refuses all new requests from now on, or accepts them again.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Release);
        let event = match draining {
            true => QueueEvent::Drain,
            false => QueueEvent::Resume,
        };
        for server in self.servers.load().values() {
            server.handle(event.clone());
        }
    }

    /// Applies a new configuration: changed slots, servers that were removed or
    /// have returned, and an evacuation, which refuses what waits.
    pub fn apply_table(&self) {
        let table = self.view.table();
        let evacuated = self.is_evacuated();
        self.log_evacuation(evacuated);
        for (id, server) in self.servers.load().iter() {
            match table.server(id) {
                Some(backend) if backend.vm == self.view.vm => {
                    server.unlisted.store(false, Ordering::Release);
                    server.evacuated.store(evacuated, Ordering::Release);
                    server.resize(backend.slots);
                    self.apply_cold(server, &backend);
                    // An earlier configuration may have lacked the server.
                    match self.is_draining() || server.is_leaving() || evacuated {
                        true => server.handle(QueueEvent::Drain),
                        false => server.handle(QueueEvent::Resume),
                    }
                }
                _ => {
                    server.unlisted.store(true, Ordering::Release);
                    server.forget_leaving();
                    server.handle(QueueEvent::Drain);
                }
            }
        }
    }

    /// Records what a backend server of this VM said about itself, as an ingress
    /// passes it on.
    pub fn record_notice(&self, server: &ServerId, notice: ServerNotice) {
        if let Some(server) = self.server(server) {
            server.record_notice(NoticeSource::Ingress, notice);
        }
    }

    /// Whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Closes connections to backend servers that have been idle for too long.
    pub fn sweep_idle(&self) {
        for server in self.servers.load().values() {
            server.connections.sweep();
        }
    }

    /// Whether no request runs or waits.
    pub fn is_idle(&self) -> bool {
        self.servers
            .load()
            .values()
            .all(|server| server.lock().queue.is_idle())
    }

    /// Returns the load and counters of each backend server that was used.
    pub fn reports(&self) -> Vec<(ServerId, QueueReport, OutcomeCounts)> {
        let now = self.clock.now();
        let servers = self.servers.load();
        let report = |(id, server): (&ServerId, &Arc<EgressServer>)| {
            (
                id.clone(),
                server.lock().queue.report(now),
                server.evidence.counts(),
            )
        };
        servers.iter().map(report).collect()
    }

    /// Returns the state of a backend server, or `None` if it is not on this
    /// VM. The state is created at the first use, and anew if the address has
    /// changed.
    fn server(&self, id: &ServerId) -> Option<Arc<EgressServer>> {
        let table = self.view.table();
        let backend = table
            .server(id)
            .filter(|backend| backend.vm == self.view.vm)?;
        if let Some(server) = self.servers.load().get(id)
            && server.matches(&backend)
        {
            return Some(Arc::clone(server));
        }
        let created = Arc::new(self.make_server(&backend));
        self.apply_cold(&created, &backend);
        self.begin_cold(&created);
        self.servers.rcu(|servers| {
            let mut servers = FastMap::clone(servers);
            match servers.get(id) {
                Some(server) if server.matches(&backend) => {}
                _ => {
                    servers.insert(id.clone(), Arc::clone(&created));
                }
            }
            servers
        });
        self.servers.load().get(id).cloned()
    }

    /// Creates the state of a backend server that was not used yet.
    fn make_server(&self, backend: &Backend) -> EgressServer {
        let limit = backend.connections as usize;
        let order = self.settings.load().policy.shedding_order.into();
        let limits = QueueLimits::for_slots(backend.slots).with_order(order);
        let mut queue = SlotQueue::new(limits);
        if self.draining.load(Ordering::Acquire) {
            queue.handle(self.clock.now(), QueueEvent::Drain);
        }
        EgressServer {
            slots: AtomicU64::new(u64::from(backend.slots.get())),
            unlisted: AtomicBool::new(false),
            evacuated: AtomicBool::new(self.is_evacuated()),
            connections: ConnectionPool::new(
                backend.address,
                limit,
                Arc::clone(&self.tasks),
                StreamMeter::default(),
            ),
            clock: self.clock,
            state: Mutex::new(QueueState {
                queue,
                waiters: FastMap::default(),
                next_job: 0,
                owed_logged_at: None,
            }),
            tick_lock: tokio::sync::Mutex::default(),
            tick_changed: Notify::new(),
            id: backend.id.clone(),
            codec: Arc::clone(&self.codec),
            cold: ColdState::default(),
            gate: Mutex::default(),
            rejections: Mutex::default(),
            notice: Mutex::default(),
            calls: Arc::clone(&self.calls),
            evidence: ServerEvidence::new(self.incarnation.0),
            control: self.control.clone(),
            stall_timeout: self.stall_timeout,
            tasks: Arc::clone(&self.tasks),
            replaced_until: AtomicU64::new(0),
            loaded_until: AtomicU64::new(0),
        }
    }
}

/// Locks the failed calls, whose holders never panic.
fn lock_calls(calls: &Mutex<FailedCalls>) -> MutexGuard<'_, FailedCalls> {
    calls.lock().unwrap_or_else(|poison| poison.into_inner())
}

/// Returns the result for a backend server that is not on this VM.
fn misdirected() -> EgressAnswer {
    EgressAnswer {
        report: EgressReport {
            outcome: EgressOutcome::NotRun(NotRun::Misdirected),
            service_us: 0,
            load: ServerLoad::default(),
            notice: None,
        },
        response: None,
    }
}

/// Returns the reason that an ingress is told for a refusal of the queue.
fn not_run_of(refusal: QueueRefusal) -> NotRun {
    match refusal {
        QueueRefusal::Overloaded => NotRun::Overloaded,
        QueueRefusal::Expired => NotRun::Expired,
        QueueRefusal::Leaving => NotRun::Leaving,
        QueueRefusal::Shedding => NotRun::Shedding,
        QueueRefusal::Limited => NotRun::Limited,
    }
}
