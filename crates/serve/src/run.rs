//! The attempts of one request, driven by [`AttemptPlan`].

use std::{sync::Arc, sync::atomic::Ordering, time::Duration};

use bytes::Bytes;
use config::{Account, KeyDigest};
use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use hyper::{Request, Response, Version, body::Body, http::request::Parts};
use ids::{MonoTime, Rank, ServerId, Weight};
use route::{
    AttemptEnd, AttemptId, AttemptPlan, FailedOutcome, PlanAction, PlanEvent, PlanOptions,
};

use crate::{
    answer::Refusal,
    body::{HeldBody, PrefixedBody, ProxyBody, full_body, hold_body},
    control::ControlEvent,
    egress::EgressAnswer,
    ingress::Ingress,
    link::LinkError,
    metrics::ServiceLabel,
    pool::{Choice, PoolState, ServerState},
    resume::resumable,
    wire::{self, Attempt, EgressOutcome, EgressReport, NotRun},
};
use http_body_util::BodyExt;

/// Largest answer that is held until it is whole.
const HELD_ANSWER_BYTES: usize = 64 * 1024;

/// What a run needs to know beside the request.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The client account.
    pub account: Option<Arc<Account>>,
    /// Digest of its key.
    pub key: Option<KeyDigest>,
    /// Rank among requests that wait for a slot.
    pub rank: Rank,
    /// Most backend servers that may run it.
    pub max_attempts: Option<u32>,
    /// Internal work.
    pub internal: bool,
    /// Long transfer.
    pub bulk: bool,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When the caller's time is up.
    pub deadline: MonoTime,
    /// When the request came.
    pub started: MonoTime,
}

/// How an attempt ended.
enum AttemptResult {
    /// With an answer that can be delivered.
    Answer(Box<Response<ProxyBody>>, Duration),
    /// With an error of the backend server, after which another may do better.
    Failed(Box<Response<ProxyBody>>, Duration),
    /// Without one.
    Ended(AttemptEnd, Option<NotRun>),
    /// There was no backend server to send it to.
    NoServer,
}

/// One request on its way.
pub struct RequestRun<'a> {
    ingress: &'a Arc<Ingress>,
    pool: Arc<PoolState>,
    head: Parts,
    body: Option<ProxyBody>,
    replay: Option<Bytes>,
    options: RunOptions,
    request: u64,
    tried: Vec<ServerId>,
    /// Whether it was sent to a server that is taken for failing.
    forced: bool,
    reason: Option<NotRun>,
    running: FuturesUnordered<BoxFuture<'a, (AttemptId, AttemptResult)>>,
}

impl<'a> RequestRun<'a> {
    /// A run of a request whose body can be sent again if `replay` is there.
    pub fn new(
        ingress: &'a Arc<Ingress>,
        pool: Arc<PoolState>,
        head: Parts,
        body: ProxyBody,
        replay: Option<Bytes>,
        options: RunOptions,
    ) -> Self {
        Self {
            ingress,
            pool,
            head,
            body: Some(body),
            replay,
            options,
            request: rand::random(),
            tried: Vec::new(),
            forced: false,
            reason: None,
            running: FuturesUnordered::new(),
        }
    }

    /// Runs until there is an answer or none can come; a large answer that
    /// breaks off later is continued where that is safe.
    ///
    /// Dropping the future cancels all attempts.
    pub async fn finish(self) -> Result<Response<ProxyBody>, Refusal> {
        let ingress = self.ingress;
        let pool = Arc::clone(&self.pool);
        let head = self.head.clone();
        let options = self.options.clone();
        let response = self.finish_plain().await?;
        match response.body().is_end_stream() || response.body().size_hint().exact().is_some() {
            // It is held in whole.
            true => Ok(response),
            false => Ok(resumable(ingress, &pool, &head, &options, response)),
        }
    }

    /// Runs until there is an answer or none can come.
    pub async fn finish_plain(mut self) -> Result<Response<ProxyBody>, Refusal> {
        let budget = Arc::clone(&self.pool.budget);
        budget.deposit(self.pool.service.retry_budget);
        let mut plan = AttemptPlan::new(PlanOptions {
            idempotent: self.options.idempotent,
            replayable: self.replay.is_some(),
            deadline: self.options.deadline,
            max_runs: self.options.max_attempts,
            hedge_after: self.hedge_after(),
        });
        let clock = self.ingress.clock;
        let mut event = PlanEvent::Start;
        let mut answer = None;
        let mut failed = None;
        loop {
            for action in plan.handle(clock.now(), event, &budget) {
                match action {
                    PlanAction::Send(id) => self.send(id),
                    // Dropping the run drops its attempts.
                    PlanAction::Cancel(_) => {}
                    PlanAction::Deliver(_) => {
                        if let Some((response, service)) = answer.take() {
                            return Ok(self.deliver(response, service));
                        }
                    }
                    PlanAction::Fail(outcome) => {
                        return match failed.take() {
                            Some((response, service)) => Ok(self.deliver(response, service)),
                            None => Err(self.refusal(outcome)),
                        };
                    }
                }
            }
            let tick = clock.instant(plan.next_tick());
            event = tokio::select! {
                biased;
                Some((id, result)) = self.running.next() => match result {
                    AttemptResult::Answer(response, service) => {
                        answer = Some((*response, service));
                        PlanEvent::Answered(id)
                    }
                    AttemptResult::Failed(response, service) => {
                        failed = Some((*response, service));
                        PlanEvent::Ended(id, AttemptEnd::Failed)
                    }
                    AttemptResult::NoServer => PlanEvent::NoServer(id),
                    AttemptResult::Ended(end, reason) => {
                        self.reason = reason.or(self.reason);
                        PlanEvent::Ended(id, end)
                    }
                },
                () = tokio::time::sleep_until(tick) => PlanEvent::Tick,
            };
        }
    }

    /// Time after which the request is hedged.
    fn hedge_after(&self) -> Option<Duration> {
        match self.pool.service.hedge && !self.options.bulk {
            true => self.pool.hedge_after.get(),
            false => None,
        }
    }

    /// Sends an attempt to a backend server that had none yet.
    fn send(&mut self, id: AttemptId) {
        if id.0 > 0 {
            let label = ServiceLabel {
                service: self.pool.service.id.to_string(),
            };
            self.ingress.metrics.retries.get_or_create(&label).inc();
        }
        let view = &self.ingress.view;
        let may_risk = id.0 == 0 && self.options.idempotent && self.replay.is_some();
        let canary = match may_risk {
            true => self.pool.choose_canary(view),
            false => None,
        };
        let is_canary = canary.is_some();
        let chosen = match canary {
            Some(server) => Some(Choice {
                server,
                forced: false,
            }),
            None => self
                .pool
                .choose(view, &self.tried, self.options.idempotent)
                // Two forced attempts would repeat each other.
                .filter(|choice| !choice.forced || !self.forced),
        };
        let body = match &self.replay {
            Some(bytes) => Some(full_body(bytes.clone())),
            None => self.body.take(),
        };
        let (Some(Choice { server, forced }), Some(body)) = (chosen, body) else {
            self.running
                .push(Box::pin(async move { (id, AttemptResult::NoServer) }));
            return;
        };
        self.tried.push(server.backend.id.clone());
        self.forced |= forced;
        let attempt = Attempt {
            forced,
            ..self.attempt(&server)
        };
        let request = self.request(body);
        let call = AttemptCall {
            ingress: self.ingress,
            pool: Arc::clone(&self.pool),
            hold: self.options.idempotent,
            tried: self.tried.clone(),
            canary: is_canary.then(|| CanaryGuard::new(self.ingress, &server)),
            server,
            attempt,
        };
        self.running
            .push(Box::pin(async move { (id, call.run(request).await) }));
    }

    /// Metadata of an attempt.
    fn attempt(&self, server: &ServerState) -> Attempt {
        let account = self.options.account.as_ref();
        let target = self
            .head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let remaining = self.ingress.clock.until(self.options.deadline);
        Attempt {
            request: self.request,
            from: self.ingress.view.vm.clone(),
            server: server.backend.id.clone(),
            account: account.map(|account| account.id.clone()),
            key: self.options.key,
            weight: account.map_or(Weight(1), |account| account.weight),
            caller: self.ingress.local_service.clone(),
            rank: self.options.rank,
            internal: self.options.internal,
            bulk: self.options.bulk,
            repeatable: self.options.idempotent,
            forced: false,
            remaining_us: remaining.as_micros() as u64,
            slow_limit_us: self.pool.slow_limit_us.load(Ordering::Relaxed),
            target: wire::target_hash(self.head.method.as_str(), target),
        }
    }

    /// The request to forward.
    fn request(&self, body: ProxyBody) -> Request<ProxyBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        // Backend servers and peers get the origin form of the target.
        let target = self.head.uri.path_and_query();
        *request.uri_mut() = target.map_or_else(Default::default, |path| path.clone().into());
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = self.head.headers.clone();
        request
    }

    /// Makes the answer for the caller.
    fn deliver(&self, mut response: Response<ProxyBody>, service: Duration) -> Response<ProxyBody> {
        let total = self.ingress.clock.now().since(self.options.started);
        self.ingress.note_added(total, service);
        wire::strip_headers(response.headers_mut());
        response
    }

    /// What the caller is told when there is no answer.
    fn refusal(&self, outcome: FailedOutcome) -> Refusal {
        match (outcome, self.reason) {
            (FailedOutcome::NotRun, Some(reason)) => Refusal::NotRun(reason),
            (FailedOutcome::NotRun, None) => Refusal::PoolDown,
            (unknown, _) => Refusal::Unknown(unknown),
        }
    }
}

/// One attempt.
struct AttemptCall<'a> {
    ingress: &'a Ingress,
    pool: Arc<PoolState>,
    server: Arc<ServerState>,
    attempt: Attempt,
    /// Whether a small answer is held until it is whole.
    hold: bool,
    tried: Vec<ServerId>,
    /// Tells how it went if this is a canary.
    canary: Option<CanaryGuard<'a>>,
}

impl AttemptCall<'_> {
    /// Runs the attempt to its end.
    async fn run(mut self, request: Request<ProxyBody>) -> AttemptResult {
        let _flight = self.server.begin();
        let started = self.ingress.clock.now();
        let answer = match &self.server.links {
            None => Ok(self.ingress.egress.run(&self.attempt, request).await),
            Some(_) => self.call_peer(request).await,
        };
        let result = match answer {
            Ok(answer) => self.read_answer(answer).await,
            Err(LinkError::Full) => {
                AttemptResult::Ended(AttemptEnd::Unsent, Some(NotRun::Overloaded))
            }
            Err(LinkError::Unsent(_)) => {
                self.note_unreached();
                AttemptResult::Ended(AttemptEnd::Unsent, Some(NotRun::Unreachable))
            }
            Err(LinkError::Lost(_)) => {
                self.note_unreached();
                AttemptResult::Ended(AttemptEnd::Lost, None)
            }
        };
        if let Some(canary) = &mut self.canary {
            canary.good = matches!(&result, AttemptResult::Answer(..));
        }
        if let AttemptResult::Answer(..) = &result {
            let total = self.ingress.clock.now().since(started);
            self.pool.hedge_after.note(total);
        }
        result
    }

    /// Sends the attempt to the daemon beside the backend server.
    async fn call_peer(&self, mut request: Request<ProxyBody>) -> Result<EgressAnswer, LinkError> {
        let Some(links) = &self.server.links else {
            return Err(LinkError::Unsent(
                "the backend server is on this VM".to_owned(),
            ));
        };
        let seal = self.ingress.seal.seal(&self.attempt);
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
    async fn read_answer(&self, answer: EgressAnswer) -> AttemptResult {
        let report = answer.report;
        self.server.note_report(&report);
        let service = Duration::from_micros(report.service_us);
        self.note_evidence(&report, service);
        match (report.outcome, answer.response) {
            (EgressOutcome::Answered, Some(response)) if self.hold => {
                self.hold_answer(response, service).await
            }
            (EgressOutcome::Answered, Some(response)) => {
                AttemptResult::Answer(Box::new(response), service)
            }
            (EgressOutcome::NotRun(reason), _) => {
                match (reason, &self.server.links) {
                    (NotRun::Leaving, Some(links)) => links.rest(),
                    (NotRun::Failing, _) => self.server.note_gate(true),
                    _ => {}
                }
                AttemptResult::Ended(self.end_of(reason), Some(reason))
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
    fn note_evidence(&self, report: &EgressReport, service: Duration) {
        self.ingress.control.tell(ControlEvent::Reported {
            service: self.pool.service.id.clone(),
            server: self.server.backend.id.clone(),
            counts: report.counts,
            time: (!service.is_zero()).then_some(service),
        });
    }

    /// Notes that the VM was not reached from here.
    fn note_unreached(&self) {
        self.ingress.control.tell(ControlEvent::Path {
            service: self.pool.service.id.clone(),
            server: self.server.backend.id.clone(),
            reached: false,
        });
    }

    /// How an egress's refusal ends the attempt.
    fn end_of(&self, reason: NotRun) -> AttemptEnd {
        match reason {
            NotRun::Leaving | NotRun::Unreachable | NotRun::Failing => AttemptEnd::Moved,
            NotRun::Misdirected | NotRun::Shedding => AttemptEnd::Rejected,
            NotRun::Overloaded if self.pool.has_room(&self.tried) => AttemptEnd::Moved,
            _ => AttemptEnd::Shed,
        }
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
