//! One backend server: a slot, the dispatch, the answer on its way back.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use admit::{Event, Job, JobId, Refusal};
use config::Backend;
use health::{CallLedger, Outcome, STUCK_FACTOR, ServerGate, Verdict};
use hop::{OfferJob, ServerLoad};
use http_body_util::BodyExt;
use hyper::{Request, Response, body::Body, header::HeaderValue};
use ids::{MonoTime, ServerId, Slots};
use tokio::sync::{Notify, oneshot};

use super::{
    EgressAnswer, lock_calls,
    slot::{GatePass, HeldSlot, SlotTicket},
};
use crate::{
    body::{BodyEnd, GuardedBody, ProxyBody, StallBody},
    clock::MonoClock,
    control::{ControlEvent, ControlSender},
    desk::QueueDesk,
    edge::{AnswerKind, DispatchHead, EdgeCodec, shed_pause},
    evidence::Evidence,
    link::{LinkError, LinkPool},
    wire::{Attempt, EgressOutcome, EgressReport, NotRun},
};

/// Time for which a backend server is not asked after another one answered at
/// its address.
const REPLACED_FOR: Duration = Duration::from_secs(1);
/// Longest pause that a backend server can ask for.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Delay that is expected on top at a backend server that is loaded by its own
/// word: others are preferred, and nothing is refused for it.
const LOADED_DELAY: Duration = Duration::from_millis(20);

/// What a waiting job is told.
type JobVerdict = Result<Result<(), Refusal>, oneshot::error::RecvError>;
/// Where it is told.
type VerdictReceiver = oneshot::Receiver<Result<(), Refusal>>;

/// One backend server.
#[derive(Debug)]
pub(super) struct EgressServer {
    pub(super) slots: AtomicU64,
    pub(super) links: Arc<LinkPool>,
    pub(super) clock: MonoClock,
    pub(super) desk: Mutex<QueueDesk>,
    /// Held by the waiting job that passes time to the queue.
    pub(super) time_keeper: tokio::sync::Mutex<()>,
    /// The next tick of the queue may have changed.
    pub(super) tick_changed: Notify,
    pub(super) evidence: Evidence,
    pub(super) id: ServerId,
    pub(super) codec: Arc<dyn EdgeCodec>,
    pub(super) gate: Mutex<ServerGate>,
    /// Failed calls of requests that run on this VM.
    pub(super) calls: Arc<Mutex<CallLedger>>,
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
        !job.forced && !job.repeatable && self.gate().is_closed(self.clock.now())
    }

    /// Whether another server answered at its address of late.
    pub(super) fn is_replaced(&self) -> bool {
        self.clock.now().as_nanos() < self.replaced_until.load(Ordering::Relaxed)
    }

    /// Another server answered at its address.
    fn note_replaced(&self) {
        let until = self.clock.now() + REPLACED_FOR;
        self.replaced_until
            .store(until.as_nanos(), Ordering::Relaxed);
        log::info!(server = self.id.as_str(); "egress: another backend server has its address.");
    }

    /// Asks the gate for a request that holds a slot.
    pub(super) fn pass_gate(self: &Arc<Self>, job: &OfferJob) -> Result<GatePass, NotRun> {
        let now = self.clock.now();
        let verdict = match job.forced {
            true => Verdict::Open,
            false => self.gate().ask(now, job.repeatable),
        };
        match verdict {
            Verdict::Closed => Err(NotRun::Failing),
            verdict => Ok(GatePass {
                server: Arc::clone(self),
                trial: verdict == Verdict::Trial,
                good: false,
            }),
        }
    }

    /// Takes an outcome into the gate, and tells recent ingresses if it closed
    /// or opened.
    fn note_outcome(&self, outcome: Outcome) {
        self.change_gate(outcome, |gate, now| gate.note(now, outcome));
    }

    /// Takes a good answer to a request that ran for `service`.
    fn note_good(&self, service: Duration) {
        self.change_gate(Outcome::Good, |gate, now| {
            gate.note_good(now, now - service)
        });
    }

    /// Changes the gate by an outcome.
    fn change_gate(&self, outcome: Outcome, change: impl FnOnce(&mut ServerGate, MonoTime)) {
        let now = self.clock.now();
        let mut gate = self.gate();
        let before = gate.is_closed(now);
        change(&mut gate, now);
        let after = gate.is_closed(now);
        let odds = gate.odds(now);
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
    ) -> Result<SlotTicket, Refusal> {
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
            Err(_) => Err(Refusal::Expired),
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
                    self.handle(Event::Tick);
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
            lot: offered.lot,
            account: offered.account.clone(),
            internal: offered.internal,
            bulk: offered.bulk,
            weight: offered.weight,
            target: self.clock.now() + Duration::from_micros(offered.target_us),
            deadline,
        };
        desk.handle(self.clock.now(), Event::Arrive(job));
        drop(desk);
        let ticket = SlotTicket {
            server: Arc::clone(self),
            id,
        };
        (ticket, verdict)
    }

    /// Sends a request that holds a slot, and waits for the head.
    pub(super) async fn dispatch(
        self: &Arc<Self>,
        attempt: &Attempt,
        request: Request<ProxyBody>,
        deadline: MonoTime,
        held: HeldSlot,
    ) -> EgressAnswer {
        let started = self.clock.now();
        let request = self.prepare(attempt, request, deadline);
        let name = self.codec.request_name(request.headers());
        let sent = self.links.send(request);
        tokio::pin!(sent);
        self.evidence.recent().note(started, &attempt.from);
        let slow_limit = Duration::from_micros(attempt.slow_limit_us);
        // Times at which it counts as slow and then as stuck.
        let mut marks = match slow_limit.is_zero() {
            true => Vec::new(),
            false => vec![started + slow_limit * STUCK_FACTOR, started + slow_limit],
        };
        let mut overdue = false;
        let result = loop {
            let wake = marks.last().map_or(deadline, |mark| deadline.min(*mark));
            tokio::select! {
                result = &mut sent => break Some(result),
                () = tokio::time::sleep_until(self.clock.instant(wake)) => {
                    if self.clock.now() >= deadline {
                        break None;
                    }
                    // It counts as slow from this moment; a server that hangs
                    // would give no sample otherwise.
                    marks.pop();
                    match overdue {
                        false => {
                            self.evidence.note(false, true);
                            self.note_outcome(Outcome::Overdue);
                        }
                        true => {
                            self.evidence.note_stuck();
                            self.note_outcome(Outcome::Stuck);
                        }
                    }
                    overdue = true;
                    self.give_notice();
                }
            }
        };
        let service = self.clock.now().since(started);
        match result {
            Some(Ok(response)) => {
                let (head, body) = response.into_parts();
                match self.codec.read_answer(name.as_ref(), &head) {
                    AnswerKind::Answer => {
                        let response = Response::from_parts(head, body);
                        self.pass_on(response, service, overdue, held)
                    }
                    AnswerKind::NotRun(reason) => {
                        match reason {
                            NotRun::Shedding => self.note_outcome(Outcome::Rejected),
                            NotRun::Misdirected => self.note_replaced(),
                            _ => {}
                        }
                        self.refused(reason)
                    }
                    AnswerKind::Foreign => {
                        log::warn!("egress: {} answered another request.", self.id);
                        self.note_outcome(Outcome::Broken);
                        self.note_failure(overdue);
                        self.ended(EgressOutcome::Lost)
                    }
                }
            }
            Some(Err(LinkError::Full)) => self.refused(NotRun::Overloaded),
            Some(Err(LinkError::Unsent(_))) => {
                self.note_outcome(Outcome::Lost);
                self.note_failure(overdue);
                self.refused(NotRun::Unreachable)
            }
            Some(Err(LinkError::Lost(cause))) => {
                self.log_lost(name.as_ref(), attempt, &cause, service);
                self.note_outcome(Outcome::Lost);
                self.note_failure(overdue);
                self.ended(EgressOutcome::Lost)
            }
            None => {
                self.note_failure(overdue);
                self.ended(EgressOutcome::TimedOut)
            }
        }
    }

    /// Logs an answer that was lost.
    fn log_lost(
        &self,
        name: Option<&HeaderValue>,
        attempt: &Attempt,
        cause: &str,
        service: Duration,
    ) {
        let number = format!("{:016x}", attempt.request);
        let name = name.and_then(|name| name.to_str().ok());
        log::warn!(
            request = name.unwrap_or(&number),
            server = self.id.as_str(),
            from = attempt.from.as_str(),
            after_us = service.as_micros() as u64,
            cause = cause;
            "egress: answer of the backend server lost."
        );
    }

    /// Makes the request that the backend server sees.
    fn prepare(
        &self,
        attempt: &Attempt,
        mut request: Request<ProxyBody>,
        deadline: MonoTime,
    ) -> Request<ProxyBody> {
        let head = DispatchHead {
            server: &self.id,
            account: attempt.account.as_ref(),
            caller: attempt.caller.as_ref(),
            remaining: self.clock.until(deadline),
        };
        self.codec.write_dispatch(request.headers_mut(), &head);
        request
    }

    /// Passes an answer on; the slot is free when its body has ended.
    fn pass_on(
        self: &Arc<Self>,
        response: Response<ProxyBody>,
        service: Duration,
        overdue: bool,
        mut held: HeldSlot,
    ) -> EgressAnswer {
        let (head, body) = response.into_parts();
        let shed = shed_pause(&head).map(|pause| pause.min(MAX_BACKOFF));
        let failed = head.status.is_server_error() && shed.is_none();
        let excused = failed && self.is_excused(service);
        let response = Response::from_parts(head, body);
        held.pass.good = !failed && !overdue;
        match failed {
            true if excused => {}
            true => self.note_outcome(Outcome::Error),
            false if !overdue => self.note_good(service),
            false => {}
        }
        match shed {
            Some(pause) => self.handle(Event::Backoff(pause)),
            None if excused => {}
            None if failed => self.note_failure(overdue),
            None if !overdue => self.evidence.note(false, false),
            None => {}
        }
        let report = EgressReport {
            service_us: service.as_micros() as u64,
            ..self.report(EgressOutcome::Answered)
        };
        let server = Arc::clone(self);
        let on_end = move |end| {
            if end == BodyEnd::Broken {
                server.note_outcome(Outcome::Broken);
                server.note_failure(false);
            }
            drop(held);
        };
        let stall = self.stall_timeout;
        let response = response.map(|body| {
            let body = match body.is_end_stream() {
                true => body,
                false => StallBody::new(body, stall).boxed_unsync(),
            };
            GuardedBody::new(body, on_end).boxed_unsync()
        });
        EgressAnswer {
            report,
            response: Some(response),
        }
    }

    /// Whether the error of a request that ran for `service` comes from a call
    /// of its own that failed.
    fn is_excused(&self, service: Duration) -> bool {
        let now = self.clock.now();
        let excused = lock_calls(&self.calls).excuse(now, now - service);
        if excused {
            log::debug!(server = self.id.as_str(); "egress: an error follows a failed call.");
        }
        excused
    }

    /// Counts a failure, unless the request was counted as slow already.
    pub(super) fn note_failure(&self, overdue: bool) {
        if !overdue {
            self.evidence.note(true, false);
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
    fn report(&self, outcome: EgressOutcome) -> EgressReport {
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
    pub(super) fn handle(&self, event: Event) {
        let now = self.clock.now();
        self.lock().handle(now, event);
    }

    /// Follows a changed number of slots.
    pub(super) fn resize(&self, slots: Slots) {
        let wanted = u64::from(slots.get());
        if self.slots.swap(wanted, Ordering::AcqRel) != wanted {
            self.handle(Event::Resize(slots));
        }
    }

    /// The queue; no holder panics.
    pub(super) fn lock(&self) -> MutexGuard<'_, QueueDesk> {
        self.desk
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}
