//! One backend server of this VM: its queue, its gate, and what is said of it.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use admit::{Job, JobId, QueueEvent, QueueRefusal};
use config::Backend;
use health::{FailedCalls, GateDecision, Outcome, ServerGate};
use hop::{OfferJob, ServerLoad};
use ids::{MonoTime, ServerId, Slots};
use tokio::sync::{Notify, oneshot};

use super::{
    EgressAnswer,
    slot::{GatePass, SlotTicket},
};
use crate::{
    clock::MonoClock,
    control::{ControlEvent, ControlSender},
    desk::QueueState,
    edge::EdgeCodec,
    evidence::ServerEvidence,
    link::LinkPool,
    wire::{EgressOutcome, EgressReport, NotRun},
};

/// Time for which a backend server is not asked after another one answered at
/// its address.
const REPLACED_FOR: Duration = Duration::from_secs(1);
/// Delay that is expected on top at a backend server that is loaded by its own
/// word: others are preferred, and nothing is refused for it.
const LOADED_DELAY: Duration = Duration::from_millis(20);

/// What a waiting job is told.
type JobVerdict = Result<Result<(), QueueRefusal>, oneshot::error::RecvError>;
/// Where it is told.
type VerdictReceiver = oneshot::Receiver<Result<(), QueueRefusal>>;

/// One backend server.
#[derive(Debug)]
pub(super) struct EgressServer {
    pub(super) slots: AtomicU64,
    pub(super) links: Arc<LinkPool>,
    pub(super) clock: MonoClock,
    pub(super) desk: Mutex<QueueState>,
    /// Held by the waiting job that passes time to the queue.
    pub(super) time_keeper: tokio::sync::Mutex<()>,
    /// The next tick of the queue may have changed.
    pub(super) tick_changed: Notify,
    pub(super) evidence: ServerEvidence,
    pub(super) id: ServerId,
    pub(super) codec: Arc<dyn EdgeCodec>,
    pub(super) gate: Mutex<ServerGate>,
    /// Failed calls of requests that run on this VM.
    pub(super) calls: Arc<Mutex<FailedCalls>>,
    pub(super) control: ControlSender,
    pub(super) stall_timeout: Duration,
    /// End of the time for which another server is taken to be at its address.
    pub(super) replaced_until: AtomicU64,
    /// End of the time for which it counts as loaded by its own word.
    pub(super) loaded_until: AtomicU64,
}

impl EgressServer {
    /// Whether the state belongs to the backend server at that address.
    pub(super) fn matches(&self, backend: &Backend) -> bool {
        self.links.address() == backend.address
    }

    /// Whether a request need not even wait.
    pub(super) fn is_shut(&self, job: &OfferJob) -> bool {
        !job.forced && !job.idempotent && self.gate().is_closed(self.clock.now())
    }

    /// Whether another server answered at its address of late.
    pub(super) fn is_replaced(&self) -> bool {
        self.clock.now().as_nanos() < self.replaced_until.load(Ordering::Relaxed)
    }

    /// Another server answered at its address.
    pub(super) fn record_replaced(&self) {
        let until = self.clock.now() + REPLACED_FOR;
        self.replaced_until
            .store(until.as_nanos(), Ordering::Relaxed);
        log::info!(server = self.id.as_str(); "egress: another backend server has its address.");
    }

    /// Asks the gate for a request that holds a slot.
    pub(super) fn pass_gate(self: &Arc<Self>, job: &OfferJob) -> Result<GatePass, NotRun> {
        let now = self.clock.now();
        let verdict = match job.forced {
            true => GateDecision::Open,
            false => self.gate().decide(now, job.idempotent),
        };
        match verdict {
            GateDecision::Closed => Err(NotRun::Failing),
            verdict => Ok(GatePass {
                server: Arc::clone(self),
                trial: verdict == GateDecision::Trial,
                good: false,
            }),
        }
    }

    /// Takes an outcome into the gate, and tells recent ingresses if it closed
    /// or opened.
    pub(super) fn record_outcome(&self, outcome: Outcome) {
        self.change_gate(outcome, |gate, now| gate.record(now, outcome));
    }

    /// Takes a good answer to a request that ran for `service`.
    pub(super) fn record_good(&self, service: Duration) {
        self.change_gate(Outcome::Good, |gate, now| {
            gate.record_good(now, now - service)
        });
    }

    /// Changes the gate by an outcome.
    fn change_gate(&self, outcome: Outcome, change: impl FnOnce(&mut ServerGate, MonoTime)) {
        let now = self.clock.now();
        let mut gate = self.gate();
        let before = gate.is_closed(now);
        change(&mut gate, now);
        let after = gate.is_closed(now);
        let odds = gate.log_odds(now);
        drop(gate);
        if before != after {
            let state = if after { "closed" } else { "open" };
            log::info!(
                server = self.id.as_str(),
                state = state,
                outcome = format!("{outcome:?}").as_str(),
                odds = odds;
                "egress: gate changed."
            );
            self.give_notice();
        }
    }

    /// The gate; no holder panics.
    pub(super) fn gate(&self) -> MutexGuard<'_, ServerGate> {
        self.gate
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    /// Waits for a slot.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        job: &OfferJob,
        deadline: MonoTime,
    ) -> Result<SlotTicket, QueueRefusal> {
        let (ticket, mut verdict) = self.enqueue(job, deadline);
        // The one that keeps the queue's time may be waiting for a later tick.
        self.tick_changed.notify_one();
        let verdict = tokio::select! {
            biased;
            verdict = &mut verdict => verdict,
            turn = self.time_keeper.lock() => {
                self.keep_time(&turn, deadline, &mut verdict).await
            }
        };
        match verdict {
            Ok(Ok(())) => Ok(ticket),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(QueueRefusal::Expired),
        }
    }

    /// Passes time to the queue while a job waits. Of all that wait here only
    /// the one whose turn it is does so: with a timer each, every tick would
    /// wake them all.
    async fn keep_time(
        &self,
        _turn: &tokio::sync::MutexGuard<'_, ()>,
        deadline: MonoTime,
        verdict: &mut VerdictReceiver,
    ) -> JobVerdict {
        loop {
            let tick = self.lock().queue.next_tick().unwrap_or(deadline);
            tokio::select! {
                biased;
                verdict = &mut *verdict => return verdict,
                () = self.tick_changed.notified() => {}
                () = tokio::time::sleep_until(self.clock.instant(tick)) => {
                    self.handle(QueueEvent::Tick);
                }
            }
        }
    }

    /// Puts a job into the queue.
    fn enqueue(
        self: &Arc<Self>,
        offered: &OfferJob,
        deadline: MonoTime,
    ) -> (SlotTicket, VerdictReceiver) {
        let (sender, verdict) = oneshot::channel();
        let mut desk = self.lock();
        let id = JobId(desk.next_job);
        desk.next_job += 1;
        desk.waiters.insert(id, sender);
        let job = Job {
            id,
            rank: offered.rank,
            work_priority: offered.work_priority,
            account: offered.account.clone(),
            internal: offered.internal,
            bulk: offered.bulk,
            weight: offered.weight,
            target: self.clock.now() + Duration::from_micros(offered.target_us),
            deadline,
        };
        desk.handle(self.clock.now(), QueueEvent::Arrive(job));
        drop(desk);
        let ticket = SlotTicket {
            server: Arc::clone(self),
            id,
        };
        (ticket, verdict)
    }

    /// Counts a failure, unless the request was counted as slow already.
    pub(super) fn record_failure(&self, overdue: bool) {
        if !overdue {
            self.evidence.record(true, false);
        }
        self.give_notice();
    }

    /// Tells recent ingresses of bad evidence at once: a server that hangs
    /// gives no answers to tell them with.
    pub(super) fn give_notice(&self) {
        let ingresses = self.evidence.recent().take_due(self.clock.now());
        if !ingresses.is_empty() {
            self.control.tell(ControlEvent::Suspect {
                server: self.id.clone(),
                counts: self.evidence.counts(),
                closed: self.gate().is_closed(self.clock.now()),
                ingresses,
            });
        }
    }

    /// An answer that says nothing ran.
    pub(super) fn refused(&self, reason: NotRun) -> EgressAnswer {
        self.ended(EgressOutcome::NotRun(reason))
    }

    /// An answer without a response.
    pub(super) fn ended(&self, outcome: EgressOutcome) -> EgressAnswer {
        EgressAnswer {
            report: self.report(outcome),
            response: None,
        }
    }

    /// Outcome with load and evidence now.
    pub(super) fn report(&self, outcome: EgressOutcome) -> EgressReport {
        EgressReport {
            outcome,
            service_us: 0,
            load: self.load(),
        }
    }

    /// Load and evidence now.
    pub(super) fn load(&self) -> ServerLoad {
        let now = self.clock.now();
        let load = self.lock().queue.report(now);
        let loaded = now.as_nanos() < self.loaded_until.load(Ordering::Relaxed);
        let extra = if loaded { LOADED_DELAY } else { Duration::ZERO };
        ServerLoad {
            running: load.running,
            delay_us: (load.delay + extra).as_micros() as u64,
            counts: self.evidence.counts(),
            closed: self.gate().is_closed(now),
        }
    }

    /// Passes an event to the queue.
    pub(super) fn handle(&self, event: QueueEvent) {
        let now = self.clock.now();
        self.lock().handle(now, event);
    }

    /// Follows a changed number of slots.
    pub(super) fn resize(&self, slots: Slots) {
        let wanted = u64::from(slots.get());
        if self.slots.swap(wanted, Ordering::AcqRel) != wanted {
            self.handle(QueueEvent::Resize(slots));
        }
    }

    /// The queue; no holder panics.
    pub(super) fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.desk
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}
