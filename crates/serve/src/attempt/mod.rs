//! One attempt: the search for a slot, the commit, the answer.

mod search;

use std::{
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use hop::{OfferId, OfferReply};
use http_body_util::BodyExt;
use hyper::{Request, Response, Version, http::request::Parts};
use ids::{FastMap, FastSet, MonoTime, ServerId};
use route::AttemptEnd;

use self::search::{GrantedSlot, OpenOffers};
use crate::{
    body::{HeldBody, PrefixedBody, ProxyBody, full_body, hold_body},
    control::ControlEvent,
    egress::EgressAnswer,
    hop::SearchChannel,
    ingress::Ingress,
    link::LinkError,
    pool::{PoolState, ServerChoice, ServerState},
    run::RunOptions,
    wire::{self, Attempt, EgressOutcome, EgressReport, NotRun},
};

/// Largest answer that is held until it is whole.
const HELD_ANSWER_BYTES: usize = 1024 * 1024;
/// Time between checks of a committed request that has no answer.
const CHECK_EVERY: Duration = Duration::from_millis(250);
/// Time that a lost connection's request has to be accounted for.
const CHECK_WAIT: Duration = Duration::from_millis(120);
/// Checks without an answer after which a request that may run twice is given
/// up at a daemon.
const MOST_CHECKS: u32 = 3;

/// How an attempt ended.
pub enum AttemptResult {
    /// With an answer that can be delivered.
    Answer(Box<Response<ProxyBody>>, Duration),
    /// With an error of the backend server, after which another may do better.
    Failed(Box<Response<ProxyBody>>, Duration),
    /// Without one.
    Ended(AttemptEnd, Option<NotRun>),
    /// There was no backend server to send it to.
    NoServer,
}

/// What an attempt needs to know of its request.
pub struct RequestAttempt<'a> {
    /// The ingress.
    pub ingress: &'a Ingress,
    /// The backend servers.
    pub pool: Arc<PoolState>,
    /// The request.
    pub source: Arc<RequestSource>,
    /// Servers with an offer that is not decided or was refused.
    asked: Vec<ServerId>,
    offers: FastMap<OfferId, ServerChoice>,
    /// Offers that were answered.
    answered: FastSet<OfferId>,
    /// Whether a server that is taken for failing was asked.
    forced: bool,
    /// Tells how it went if this is a canary.
    canary: Option<CanaryGuard<'a>>,
}

/// A request, for as many attempts as it may take.
pub struct RequestSource {
    /// Random number of the request, the same for all its attempts.
    pub number: u64,
    /// What is known of it.
    pub options: RunOptions,
    /// Its head.
    pub head: Parts,
    /// Its body, if it was held in whole.
    pub replay: Option<Bytes>,
    /// Its body, if it can be sent only once.
    pub body: Mutex<Option<ProxyBody>>,
    /// Servers that run it, or may have.
    pub committed_to: Mutex<Vec<ServerId>>,
    /// Shortest wait for a slot that an egress named with a refusal.
    pub shortest_wait: Mutex<Option<Duration>>,
}

impl RequestSource {
    /// The request to forward; `None` if its body is used up.
    fn request(&self) -> Option<Request<ProxyBody>> {
        let body = match &self.replay {
            Some(bytes) => full_body(bytes.clone()),
            None => lock(&self.body).take()?,
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        // Backend servers and peers get the origin form of the target.
        let target = self.head.uri.path_and_query();
        *request.uri_mut() = target.map_or_else(Default::default, |path| path.clone().into());
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = self.head.headers.clone();
        Some(request)
    }

    /// Hash that binds metadata to the request.
    fn target(&self) -> u64 {
        let target = self.head.uri.path_and_query();
        let target = target.map_or("/", |target| target.as_str());
        wire::target_hash(self.head.method.as_str(), target)
    }
}

/// Locks what no holder panics with.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poison| poison.into_inner())
}

impl<'a> RequestAttempt<'a> {
    /// An attempt that has not begun.
    pub fn new(ingress: &'a Ingress, pool: Arc<PoolState>, source: Arc<RequestSource>) -> Self {
        Self {
            ingress,
            pool,
            source,
            asked: Vec::new(),
            offers: FastMap::default(),
            answered: FastSet::default(),
            forced: false,
            canary: None,
        }
    }

    /// Runs the attempt to its end.
    pub async fn run(mut self, may_canary: bool) -> AttemptResult {
        let mut offers = OpenOffers::new(self.ingress.transport.open_search());
        let searched = self.ingress.clock.now();
        let slot = match self.find_slot(&mut offers, may_canary).await {
            Ok(slot) => {
                let waited = self.ingress.clock.now().since(searched);
                let wait = waited.as_secs_f64();
                self.ingress.metrics.slot_wait.observe(wait);
                slot
            }
            Err(None) => return AttemptResult::NoServer,
            Err(Some(reason)) => {
                // The search has asked all others already.
                return AttemptResult::Ended(AttemptEnd::NoCapacity, Some(reason));
            }
        };
        let Some(request) = self.source.request() else {
            offers.take_back(&slot);
            return AttemptResult::NoServer;
        };
        lock(&self.source.committed_to).push(slot.choice.server.backend.id.clone());
        let _flight = slot.choice.server.begin();
        let started = self.ingress.clock.now();
        let attempt = self.attempt(&slot);
        let result = self
            .commit(&mut offers.call, &slot, &attempt, request)
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

    /// What is known of the request.
    fn options(&self) -> &RunOptions {
        &self.source.options
    }

    /// Metadata of the request at the egress.
    fn attempt(&self, slot: &GrantedSlot) -> Attempt {
        let account = self.options().account.as_ref();
        let remaining = self.ingress.clock.until(self.options().deadline);
        Attempt {
            request: self.source.number,
            from: self.ingress.view.vm.clone(),
            offer: slot.offer,
            server: slot.choice.server.backend.id.clone(),
            account: account.map(|account| account.id.clone()),
            caller: self.ingress.local_service.clone(),
            idempotent: self.options().idempotent,
            remaining_us: remaining.as_micros() as u64,
            slow_limit_us: self.pool.slow_limit_us.load(Ordering::Relaxed),
            target: self.source.target(),
        }
    }

    /// Sends the request to where it has a slot, and follows it.
    async fn commit(
        &self,
        call: &mut SearchChannel,
        slot: &GrantedSlot,
        attempt: &Attempt,
        request: Request<ProxyBody>,
    ) -> AttemptResult {
        let server = &slot.choice.server;
        let sent = async {
            match &server.links {
                None => Ok(self.ingress.egress.commit(attempt, request).await),
                Some(_) => self.call_peer(server, attempt, request).await,
            }
        };
        tokio::pin!(sent);
        let is_peer = server.links.is_some();
        let mut check_at = self.ingress.clock.now() + CHECK_EVERY;
        let mut unheard = 0;
        let result = loop {
            tokio::select! {
                biased;
                result = &mut sent => break result,
                Some((id, reply)) = call.replies.recv() => match reply {
                    OfferReply::Refused(reason, _) if id == slot.offer => {
                        return AttemptResult::Ended(AttemptEnd::Unavailable, Some(reason));
                    }
                    OfferReply::Committed if id == slot.offer => unheard = 0,
                    OfferReply::Restarted if id == slot.offer => {
                        return self.forgotten(slot);
                    }
                    _ => {}
                },
                () = self.sleep_until(check_at), if is_peer => {
                    if unheard >= MOST_CHECKS && self.options().idempotent {
                        self.report_unreachable(server);
                        return AttemptResult::Ended(AttemptEnd::Lost, None);
                    }
                    unheard += 1;
                    call.check(&server.backend.vm, slot.offer, slot.incarnation);
                    check_at = self.ingress.clock.now() + CHECK_EVERY * unheard;
                }
            }
        };
        match result {
            Ok(answer) => self.read_answer(server, answer).await,
            Err(LinkError::Full) => {
                call.withdraw(&server.backend.vm, slot.offer);
                AttemptResult::Ended(AttemptEnd::Unsent, Some(NotRun::Overloaded))
            }
            Err(LinkError::Unsent(_)) => {
                call.withdraw(&server.backend.vm, slot.offer);
                self.report_unreachable(server);
                AttemptResult::Ended(AttemptEnd::Unsent, Some(NotRun::Unreachable))
            }
            Err(LinkError::Lost(cause)) => {
                let trace = &self.options().trace;
                trace.record_step(&server.backend.id, format_args!("hop lost: {cause}"));
                self.report_unreachable(server);
                self.account_for(call, slot).await
            }
        }
    }

    /// Finds out whether a request whose connection was lost had arrived.
    async fn account_for(&self, call: &mut SearchChannel, slot: &GrantedSlot) -> AttemptResult {
        let end = self.ingress.clock.now() + CHECK_WAIT;
        let lost = AttemptResult::Ended(AttemptEnd::Lost, None);
        for _ in 0..MOST_CHECKS {
            call.check(&slot.vm(), slot.offer, slot.incarnation);
            let step = (self.ingress.clock.now() + CHECK_WAIT / MOST_CHECKS).min(end);
            loop {
                tokio::select! {
                    biased;
                    Some((id, reply)) = call.replies.recv() => match reply {
                        OfferReply::Refused(reason, _) if id == slot.offer => {
                            return AttemptResult::Ended(AttemptEnd::Unavailable, Some(reason));
                        }
                        OfferReply::Committed if id == slot.offer => return lost,
                        OfferReply::Restarted if id == slot.offer => return self.forgotten(slot),
                        _ => {}
                    },
                    () = self.sleep_until(step) => break,
                }
            }
        }
        lost
    }

    /// The daemon has restarted since it granted the slot; nobody knows whether
    /// the request ran.
    fn forgotten(&self, slot: &GrantedSlot) -> AttemptResult {
        let trace = &self.options().trace;
        trace.record_step(&slot.choice.server.backend.id, "daemon restarted");
        AttemptResult::Ended(AttemptEnd::Lost, None)
    }

    /// Waits for a time.
    async fn sleep_until(&self, time: MonoTime) {
        tokio::time::sleep_until(self.ingress.clock.instant(time)).await;
    }

    /// Sends the attempt to the daemon beside the backend server.
    async fn call_peer(
        &self,
        server: &ServerState,
        attempt: &Attempt,
        mut request: Request<ProxyBody>,
    ) -> Result<EgressAnswer, LinkError> {
        let Some(links) = &server.links else {
            return Err(LinkError::Unsent(
                "the backend server is on this VM".to_owned(),
            ));
        };
        let seal = self.ingress.seal.seal(attempt);
        request.headers_mut().insert(wire::ATTEMPT, seal);
        let response = links.send(request).await?;
        let header = response.headers().get(wire::REPORT);
        let report = header.and_then(|value| self.ingress.seal.open::<EgressReport>(value));
        let Some(report) = report else {
            return Err(LinkError::Lost("the peer sent no report".to_owned()));
        };
        let answered = report.outcome == EgressOutcome::Answered;
        Ok(EgressAnswer {
            report,
            response: answered.then_some(response),
        })
    }

    /// Takes the report and, if need be, the whole answer.
    async fn read_answer(&self, server: &Arc<ServerState>, answer: EgressAnswer) -> AttemptResult {
        let report = answer.report;
        server.record_load(&report.load, report.service_us);
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
                self.hold_answer(response, service).await
            }
            (EgressOutcome::Answered, Some(response)) => {
                AttemptResult::Answer(Box::new(response), service)
            }
            (EgressOutcome::NotRun(reason), _) => {
                match (reason, &server.links) {
                    (NotRun::Leaving, Some(links)) => links.rest(),
                    (NotRun::Failing | NotRun::Misdirected, _) => server.record_gate(true),
                    _ => {}
                }
                AttemptResult::Ended(end_of(reason), Some(reason))
            }
            _ => AttemptResult::Ended(AttemptEnd::Lost, None),
        }
    }

    /// Holds a small answer until it is whole, so that one that breaks off
    /// can be had from another backend server.
    async fn hold_answer(&self, response: Response<ProxyBody>, service: Duration) -> AttemptResult {
        let (head, body) = response.into_parts();
        let body = match hold_body(body, HELD_ANSWER_BYTES).await {
            Ok(HeldBody::Whole(bytes)) => full_body(bytes),
            Ok(HeldBody::Larger(first, rest)) => PrefixedBody::new(first, rest).boxed_unsync(),
            Err(_) => return AttemptResult::Ended(AttemptEnd::Truncated, None),
        };
        let failed = head.status.is_server_error();
        let response = Box::new(Response::from_parts(head, body));
        match failed {
            true => AttemptResult::Failed(response, service),
            false => AttemptResult::Answer(response, service),
        }
    }

    /// Passes the egress's evidence on.
    fn report_evidence(&self, server: &ServerState, report: &EgressReport, service: Duration) {
        self.ingress.control.tell(ControlEvent::Reported {
            service: self.pool.service.id.clone(),
            server: server.backend.id.clone(),
            counts: report.load.counts,
            time: (!service.is_zero()).then_some(service),
        });
    }

    /// Notes that the VM was not reached from here.
    fn report_unreachable(&self, server: &ServerState) {
        self.ingress.control.tell(ControlEvent::Path {
            service: self.pool.service.id.clone(),
            server: server.backend.id.clone(),
            reached: false,
        });
    }
}

/// How the refusal of a committed request ends the attempt.
fn end_of(reason: NotRun) -> AttemptEnd {
    match reason {
        NotRun::Misdirected | NotRun::Shedding => AttemptEnd::Rejected,
        _ => AttemptEnd::Unavailable,
    }
}

/// Tells the control loop how a canary went, also if it was dropped.
struct CanaryGuard<'a> {
    ingress: &'a Ingress,
    server: Arc<ServerState>,
    good: bool,
}

impl<'a> CanaryGuard<'a> {
    /// A canary that has not gone well yet.
    fn new(ingress: &'a Ingress, server: &Arc<ServerState>) -> Self {
        Self {
            ingress,
            server: Arc::clone(server),
            good: false,
        }
    }
}

impl Drop for CanaryGuard<'_> {
    fn drop(&mut self) {
        self.ingress.control.tell(ControlEvent::Canary {
            service: self.server.backend.service.clone(),
            server: self.server.backend.id.clone(),
            good: self.good,
        });
    }
}
