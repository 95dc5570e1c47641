//! One attempt of a request: the search for a slot, the commit and the answer.

mod canary;
mod search;

use std::{
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use hop::{OfferId, OfferReply};
use http_body_util::BodyExt;
use hyper::{Request, Response, Version, body::Body, http::request::Parts};
use ids::{FastMap, FastSet, MonoTime, ServerId};
use route::{AttemptEnd, AttemptId, RequestScope};
use tokio::sync::mpsc;

use self::{
    canary::CanaryGuard,
    search::{GrantedSlot, OpenOffers},
};
use crate::{
    body::{BufferedBody, ChargedBody, PrefixedBody, ProxyBody, buffer_body_if, full_body},
    control::ControlEvent,
    egress::EgressAnswer,
    hop::SearchChannel,
    ingress::Ingress,
    ledger::SentKind,
    link::SendError,
    pool::{PoolState, ServerChoice, ServerState},
    run::RunOptions,
    wire::{self, Attempt, EgressOutcome, EgressReport, NotRun},
};

/// Time between checks of a committed request that has no answer yet. It is
/// multiplied by the number of checks without a reply.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit of the checks on a request whose connection was lost.
const LOST_CHECK_TIMEOUT: Duration = Duration::from_millis(120);
/// Number of replies that a request is answered, one per check, after which its
/// connection counts as silent. A busy machine or a lost packet can delay the
/// answer itself by more than a second.
const MAX_ANSWERED_CHECKS: u32 = 8;
/// Number of checks without a reply after which an attempt of an idempotent
/// request counts as stalled. A request whose connection was lost is checked as
/// often.
const MAX_CHECKS: u32 = 3;

/// How an attempt ended.
pub enum AttemptResult {
    /// An answer came that can be delivered; it is given with its service time.
    Answer(Box<Response<ProxyBody>>, Duration),
    /// The backend server answered with an error, which is given with its service
    /// time. Another backend server may give a good answer.
    Failed(Box<Response<ProxyBody>>, Duration),
    /// There is no answer. The reason is given if an egress did not run the
    /// request.
    Ended(AttemptEnd, Option<NotRun>),
    /// There was no backend server to send the request to.
    NoServer,
}

/// One attempt to have a request run by a backend server.
pub struct RequestAttempt<'a> {
    /// The ingress that makes the attempt.
    pub ingress: &'a Ingress,
    /// The backend servers of the service.
    pub pool: Arc<PoolState>,
    /// The request, shared by its attempts.
    pub source: Arc<RequestSource>,
    /// Servers that an offer of this attempt was made to.
    asked: Vec<ServerId>,
    offers: FastMap<OfferId, ServerChoice>,
    /// Offers that have a reply.
    replied: FastSet<OfferId>,
    /// Whether an offer was made to a server that is considered failing.
    forced: bool,
    /// Whether a server refused an offer because it is cold.
    refused_cold: bool,
    /// Reports the result if the request is a canary.
    canary: Option<CanaryGuard<'a>>,
    /// Number of the attempt, and where it reports that it has stalled.
    stall: (AttemptId, StallSender),
}

/// Receives the numbers of attempts whose daemons have become silent.
pub type StallSender = mpsc::UnboundedSender<AttemptId>;

/// Request of a caller, from which each attempt builds the one that it sends.
pub struct RequestSource {
    /// Random number of the request, the same for all its attempts.
    pub number: u64,
    /// Properties of the request.
    pub options: RunOptions,
    /// Head of the request.
    pub head: Parts,
    /// Body of the request, if it was buffered whole and can be sent again.
    pub replay: Option<Bytes>,
    /// Body of the request, if it can be sent only once.
    pub body: Mutex<Option<ProxyBody>>,
    /// Servers that the request was committed to and that may have run it.
    pub committed_to: Mutex<Vec<ServerId>>,
    /// Places that the request may be sent to.
    pub scope: Mutex<RequestScope>,
    /// Shortest expected wait for a slot that an egress sent with a refusal.
    pub shortest_wait: Mutex<Option<Duration>>,
}

impl RequestSource {
    /// Builds the request to forward. Returns `None` if the body can be sent
    /// only once and has been taken.
    fn build_request(&self) -> Option<Request<ProxyBody>> {
        let body = match &self.replay {
            Some(bytes) => full_body(bytes.clone()),
            None => lock(&self.body).take()?,
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        // Requests to backend servers and peers have their target in origin
        // form (RFC 9112, 3.2.1).
        let target = self.head.uri.path_and_query();
        *request.uri_mut() = target.map_or_else(Default::default, |path| path.clone().into());
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = self.head.headers.clone();
        Some(request)
    }

    /// Returns the hash that binds the metadata to the method and the target.
    fn target_hash(&self) -> u64 {
        let target = self.head.uri.path_and_query();
        let target = target.map_or("/", |target| target.as_str());
        wire::target_hash(self.head.method.as_str(), target)
    }
}

/// Locks a mutex whose holders never panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poison| poison.into_inner())
}

impl<'a> RequestAttempt<'a> {
    /// Creates an attempt that has not started.
    pub fn new(
        ingress: &'a Ingress,
        pool: Arc<PoolState>,
        source: Arc<RequestSource>,
        stall: (AttemptId, StallSender),
    ) -> Self {
        Self {
            ingress,
            pool,
            source,
            asked: Vec::new(),
            offers: FastMap::default(),
            replied: FastSet::default(),
            forced: false,
            refused_cold: false,
            canary: None,
            stall,
        }
    }

    /// Runs the attempt to its end. With `may_canary` it may go to a server on
    /// probation.
    pub async fn run(mut self, may_canary: bool) -> AttemptResult {
        let mut offers = OpenOffers::new(self.ingress.transport.open_search());
        let search_started = self.ingress.clock.now();
        let slot = match self.find_slot(&mut offers, may_canary).await {
            Ok(slot) => {
                let waited = self.ingress.clock.now().since(search_started);
                let wait = waited.as_secs_f64();
                self.ingress.metrics.slot_wait.observe(wait);
                slot
            }
            Err(None) => return AttemptResult::NoServer,
            Err(Some(reason)) => {
                // The search has already asked the other servers, so another
                // attempt would find no capacity either.
                return AttemptResult::Ended(AttemptEnd::NoCapacity, Some(reason));
            }
        };
        let Some(request) = self.source.build_request() else {
            offers.withdraw_on_drop(&slot);
            return AttemptResult::NoServer;
        };
        self.options().sent.set();
        lock(&self.source.committed_to).push(slot.choice.server.backend.id.clone());
        let _flight = slot.choice.server.begin();
        let started = self.ingress.clock.now();
        let attempt = self.attempt(&slot);
        let result = self
            .commit(&mut offers.channel, &slot, &attempt, request)
            .await;
        if let Some(canary) = &mut self.canary {
            canary.good = matches!(&result, AttemptResult::Answer(..));
        }
        if let AttemptResult::Answer(..) = &result {
            let total = self.ingress.clock.now().since(started);
            self.pool.hedge_after.record(total);
        }
        result
    }

    /// Returns the properties of the request.
    fn options(&self) -> &RunOptions {
        &self.source.options
    }

    /// Returns the metadata that is sent to the egress with the request.
    fn attempt(&self, slot: &GrantedSlot) -> Attempt {
        let account = self.options().account.as_ref();
        let clock = self.ingress.clock;
        let remaining = clock.until(self.options().deadline);
        let body_deadline = self.options().body_deadline;
        Attempt {
            request: self.source.number,
            from: self.ingress.view.vm.clone(),
            offer: slot.offer,
            server: slot.choice.server.backend.id.clone(),
            account: account.map(|account| account.id.clone()),
            caller_service: self.ingress.local_service.clone(),
            idempotent: self.options().idempotent,
            remaining_us: remaining.as_micros() as u64,
            slow_limit_us: self.pool.slow_limit_us.load(Ordering::Relaxed),
            target_hash: self.source.target_hash(),
            answer_us: body_deadline.map(|end| clock.until(end).as_micros() as u64),
        }
    }

    /// Sends the request to the egress that holds its slot, and waits for the
    /// outcome. Meanwhile it asks a peer at intervals whether the request has
    /// arrived.
    async fn commit(
        &self,
        channel: &mut SearchChannel,
        slot: &GrantedSlot,
        attempt: &Attempt,
        request: Request<ProxyBody>,
    ) -> AttemptResult {
        let server = &slot.choice.server;
        let sent = async {
            match &server.connections {
                None => Ok(self.ingress.egress.commit(attempt, request).await),
                Some(_) => self.send_to_peer(server, attempt, request).await,
            }
        };
        tokio::pin!(sent);
        let is_peer = server.connections.is_some();
        let mut check_at = self.ingress.clock.now() + CHECK_INTERVAL;
        let mut checks_without_reply = 0;
        let mut answered_checks = 0;
        let result = loop {
            tokio::select! {
                biased;
                result = &mut sent => break result,
                Some((id, reply)) = channel.replies.recv() => match reply {
                    OfferReply::Refused(reason, _) if id == slot.offer => {
                        return AttemptResult::Ended(AttemptEnd::Unavailable, Some(reason));
                    }
                    OfferReply::Committed if id == slot.offer => checks_without_reply = 0,
                    OfferReply::Answered if id == slot.offer => {
                        checks_without_reply = 0;
                        answered_checks += 1;
                        if answered_checks == MAX_ANSWERED_CHECKS {
                            return self.silent_connection(server);
                        }
                    }
                    OfferReply::Restarted if id == slot.offer => {
                        return self.restarted(slot);
                    }
                    _ => {}
                },
                () = self.sleep_until(check_at), if is_peer => {
                    if checks_without_reply == MAX_CHECKS && self.options().idempotent {
                        self.report_unreachable(server);
                        // The run that owns the receiver may have ended.
                        let _ = self.stall.1.send(self.stall.0);
                    }
                    checks_without_reply += 1;
                    channel.check(&server.backend.vm, slot.offer, slot.incarnation);
                    check_at = self.ingress.clock.now() + CHECK_INTERVAL * checks_without_reply;
                }
            }
        };
        match result {
            Ok(answer) => self.read_answer(server, answer).await,
            Err(SendError::Full) => {
                channel.withdraw(&server.backend.vm, slot.offer);
                AttemptResult::Ended(AttemptEnd::Unsent, Some(NotRun::Overloaded))
            }
            Err(SendError::Unsent(_) | SendError::Withheld) => {
                channel.withdraw(&server.backend.vm, slot.offer);
                self.report_unreachable(server);
                AttemptResult::Ended(AttemptEnd::Unsent, Some(NotRun::Unreachable))
            }
            Err(SendError::Lost(cause)) => {
                let trace = &self.options().trace;
                trace.record_step(&server.backend.id, format_args!("hop lost: {cause}"));
                self.report_unreachable(server);
                self.check_lost(channel, slot).await
            }
        }
    }

    /// Asks the egress whether a request whose connection was lost has arrived.
    /// Unless the egress refuses it, the request may have run.
    async fn check_lost(&self, channel: &mut SearchChannel, slot: &GrantedSlot) -> AttemptResult {
        let end = self.ingress.clock.now() + LOST_CHECK_TIMEOUT;
        let lost = AttemptResult::Ended(AttemptEnd::Lost, None);
        for _ in 0..MAX_CHECKS {
            channel.check(&slot.vm(), slot.offer, slot.incarnation);
            let step = (self.ingress.clock.now() + LOST_CHECK_TIMEOUT / MAX_CHECKS).min(end);
            loop {
                tokio::select! {
                    biased;
                    Some((id, reply)) = channel.replies.recv() => match reply {
                        OfferReply::Refused(reason, _) if id == slot.offer => {
                            return AttemptResult::Ended(AttemptEnd::Unavailable, Some(reason));
                        }
                        OfferReply::Committed | OfferReply::Answered if id == slot.offer => {
                            return lost;
                        }
                        OfferReply::Restarted if id == slot.offer => return self.restarted(slot),
                        _ => {}
                    },
                    () = self.sleep_until(step) => break,
                }
            }
        }
        lost
    }

    /// Ends an attempt whose egress has restarted since it granted the slot. It
    /// is unknown whether the request ran.
    fn restarted(&self, slot: &GrantedSlot) -> AttemptResult {
        let trace = &self.options().trace;
        trace.record_step(&slot.choice.server.backend.id, "daemon restarted");
        AttemptResult::Ended(AttemptEnd::Lost, None)
    }

    /// Ends an attempt whose answer was sent, but does not arrive. Other idle
    /// connections to the peer may be silent as well, so they are closed.
    fn silent_connection(&self, server: &ServerState) -> AttemptResult {
        let trace = &self.options().trace;
        trace.record_step(&server.backend.id, "connection silent");
        if let Some(connections) = &server.connections {
            connections.close_idle();
        }
        AttemptResult::Ended(AttemptEnd::Lost, None)
    }

    /// Sleeps until `time`.
    async fn sleep_until(&self, time: MonoTime) {
        tokio::time::sleep_until(self.ingress.clock.instant(time)).await;
    }

    /// Sends the request to the daemon on the VM of the backend server.
    async fn send_to_peer(
        &self,
        server: &ServerState,
        attempt: &Attempt,
        mut request: Request<ProxyBody>,
    ) -> Result<EgressAnswer, SendError> {
        let Some(connections) = &server.connections else {
            return Err(SendError::Unsent(
                "the backend server is on this VM".to_owned(),
            ));
        };
        let seal = self.ingress.seal.seal(attempt);
        request.headers_mut().insert(wire::ATTEMPT, seal);
        if let Some(bytes) = request.body().size_hint().exact() {
            let ledger = &self.ingress.metrics.ledger;
            let counter = ledger.counter(SentKind::RequestBody, server.distance);
            counter.inc_by(bytes);
        }
        let response = connections.send(request).await?;
        let header = response.headers().get(wire::REPORT);
        let report = header.and_then(|value| self.ingress.seal.open::<EgressReport>(value));
        let Some(report) = report else {
            return Err(SendError::Lost("the peer sent no report".to_owned()));
        };
        let answered = report.outcome == EgressOutcome::Answered;
        Ok(EgressAnswer {
            report,
            response: answered.then_some(response),
        })
    }

    /// Records the report of the egress, and buffers the answer of an idempotent
    /// request.
    async fn read_answer(&self, server: &Arc<ServerState>, answer: EgressAnswer) -> AttemptResult {
        let report = answer.report;
        server.record_load(&report.load, report.service_us);
        // The egress may restart before this ingress makes its next offer.
        if let Some(notice) = report.notice {
            server.record_notice(notice);
        }
        let status = answer
            .response
            .as_ref()
            .map(|answer| answer.status().as_u16());
        let trace = &self.options().trace;
        match (report.outcome, status) {
            (EgressOutcome::Answered, Some(status)) => {
                trace.record_step(&server.backend.id, format_args!("status {status}"));
            }
            (EgressOutcome::NotRun(reason), _) => trace.record_step(&server.backend.id, reason),
            (outcome, _) => trace.record_step(&server.backend.id, format_args!("{outcome:?}")),
        }
        let service = Duration::from_micros(report.service_us);
        self.report_evidence(server, &report, service);
        match (report.outcome, answer.response) {
            (EgressOutcome::Answered, Some(response)) if self.options().idempotent => {
                self.buffer_answer(response, service).await
            }
            (EgressOutcome::Answered, Some(response)) => {
                AttemptResult::Answer(Box::new(response), service)
            }
            (EgressOutcome::NotRun(reason), _) => {
                match (reason, &server.connections) {
                    (NotRun::Leaving, Some(connections)) => connections.mark_leaving(),
                    (NotRun::Failing | NotRun::Misdirected, _) => server.record_gate(true),
                    (NotRun::Evacuated, _) => self.exclude_zone_of(server),
                    (NotRun::Cold, _) => server.record_cold_refusal(),
                    _ => {}
                }
                AttemptResult::Ended(attempt_end(reason), Some(reason))
            }
            _ => AttemptResult::Ended(AttemptEnd::Lost, None),
        }
    }

    /// Buffers a small answer until it is complete, so that the request can be
    /// sent to another backend server if the answer breaks off.
    async fn buffer_answer(
        &self,
        response: Response<ProxyBody>,
        service: Duration,
    ) -> AttemptResult {
        let (head, body) = response.into_parts();
        let mut charge = self.ingress.account.open();
        // The buffer doubles when it grows.
        let may_hold = |bytes| charge.grow(2 * bytes);
        let max_bytes = self.options().buffered_bytes;
        let body = match buffer_body_if(body, max_bytes, may_hold).await {
            Ok(BufferedBody::Complete(bytes)) => full_body(bytes),
            Ok(BufferedBody::Partial(first, rest)) => PrefixedBody::new(first, rest).boxed_unsync(),
            Err(_) => return AttemptResult::Ended(AttemptEnd::Truncated, None),
        };
        let body = match self.ingress.account.is_bounded() {
            true => ChargedBody::new(body, charge).boxed_unsync(),
            false => body,
        };
        let failed = head.status.is_server_error();
        let response = Box::new(Response::from_parts(head, body));
        match failed {
            true => AttemptResult::Failed(response, service),
            false => AttemptResult::Answer(response, service),
        }
    }

    /// Sends the evidence of an egress and the service time to the control loop. The
    /// service times of a cold server say nothing about the usual ones.
    fn report_evidence(&self, server: &ServerState, report: &EgressReport, service: Duration) {
        self.ingress.control.try_send(ControlEvent::Reported {
            service: self.pool.service.id.clone(),
            server: server.backend.id.clone(),
            counts: report.load.counts,
            service_time: (!service.is_zero() && !server.is_cold()).then_some(service),
        });
    }

    /// Tells the control loop that this VM could not reach that of the server.
    fn report_unreachable(&self, server: &ServerState) {
        self.ingress.control.try_send(ControlEvent::PathObserved {
            service: self.pool.service.id.clone(),
            server: server.backend.id.clone(),
            reached: false,
        });
    }
}

/// Returns how an attempt ends whose committed request the egress refused.
fn attempt_end(reason: NotRun) -> AttemptEnd {
    match reason {
        NotRun::Misdirected | NotRun::Shedding => AttemptEnd::Rejected,
        _ => AttemptEnd::Unavailable,
    }
}
