//! Runs the attempts of one request as its [`AttemptPlan`] decides.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use config::{Account, CheckedKey};
use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use hyper::{Response, body::Body, http::request::Parts};
use ids::{MonoTime, Rank, WorkPriority};
use route::{
    AttemptEnd, AttemptId, AttemptPlan, FailedOutcome, HomeRegions, PlanAction, PlanEvent,
    PlanOptions, RequestScope,
};

use tokio::sync::mpsc;

use crate::{
    answer::Refusal,
    attempt::{AttemptResult, RequestAttempt, RequestSource, StallSender},
    body::ProxyBody,
    gate::SentMark,
    ingress::Ingress,
    metrics::ServiceLabel,
    pool::PoolState,
    resume::make_resumable,
    trail::RequestTrace,
    wire::{self, NotRun},
};

/// Shortest and longest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time after which a caller is told to retry that was refused because of a
/// rate that backend servers have named.
const MAX_LIMITED_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Properties of a request that do not follow from its head and body.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Record of the steps of the request, for the log.
    pub trace: Arc<RequestTrace>,
    /// Client account of the caller; `None` on an open route.
    pub account: Option<Arc<Account>>,
    /// Key of the caller.
    pub key: Option<CheckedKey>,
    /// Rank among the requests that wait for a slot.
    pub rank: Rank,
    /// Priority among otherwise equal requests when not all can be served.
    pub work_priority: WorkPriority,
    /// Regions that the request may be run in.
    pub homes: HomeRegions,
    /// Kind of the request, by which egresses learn how much work it is.
    pub kind: u32,
    /// Maximum number of backend servers that may run the request.
    pub max_attempts: Option<u32>,
    /// Whether the request is internal work.
    pub internal: bool,
    /// Whether the request is a bulk transfer.
    pub bulk: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Size up to which the answer is buffered until it is complete, if the request may
    /// run more than once.
    pub buffered_bytes: usize,
    /// Time of the target latency; a later answer is worth less to the caller.
    pub target: MonoTime,
    /// Time at which the caller gives up.
    pub deadline: MonoTime,
    /// Time at which the body of the answer has to be complete, if it is limited.
    pub body_deadline: Option<MonoTime>,
    /// Time at which the request arrived.
    pub started: MonoTime,
    /// Set when the request is sent for the first time.
    pub sent: SentMark,
}

/// Run of one request: all its attempts, up to an answer or a refusal.
pub struct RequestRun<'a> {
    ingress: &'a Arc<Ingress>,
    pool: Arc<PoolState>,
    source: Arc<RequestSource>,
    /// Latest reason why an attempt was not run.
    not_run: Option<NotRun>,
    attempts: FuturesUnordered<BoxFuture<'a, (AttemptId, AttemptResult)>>,
    /// Reports of attempts whose daemons have become silent.
    stalls: (StallSender, mpsc::UnboundedReceiver<AttemptId>),
}

impl<'a> RequestRun<'a> {
    /// Creates a run that has not started. `replay` is the whole body, if it was
    /// buffered and so can be sent again.
    pub fn new(
        ingress: &'a Arc<Ingress>,
        pool: Arc<PoolState>,
        head: Parts,
        body: ProxyBody,
        replay: Option<Bytes>,
        options: RunOptions,
    ) -> Self {
        let scope = RequestScope::new(options.homes.clone());
        let source = RequestSource {
            number: rand::random(),
            options,
            head,
            replay,
            body: Mutex::new(Some(body)),
            committed_to: Mutex::default(),
            scope: Mutex::new(scope),
            shortest_wait: Mutex::default(),
        };
        Self {
            ingress,
            pool,
            source: Arc::new(source),
            not_run: None,
            attempts: FuturesUnordered::new(),
            stalls: mpsc::unbounded_channel(),
        }
    }

    /// Runs the request until there is an answer, or until none can come any
    /// more. A large answer that breaks off later is resumed from another backend
    /// server where that is safe.
    ///
    /// Dropping the future cancels all attempts.
    pub async fn finish(self) -> Result<Response<ProxyBody>, Refusal> {
        let ingress = self.ingress;
        let pool = Arc::clone(&self.pool);
        let source = Arc::clone(&self.source);
        let response = self.finish_without_resume().await?;
        match response.body().is_end_stream() || response.body().size_hint().exact().is_some() {
            // The whole answer is buffered, so it cannot break off.
            true => Ok(response),
            false => Ok(make_resumable(ingress, &pool, &source, response)),
        }
    }

    /// Runs the request like [`RequestRun::finish`], without resuming the answer.
    pub async fn finish_without_resume(mut self) -> Result<Response<ProxyBody>, Refusal> {
        let budget = Arc::clone(&self.pool.budget);
        budget.deposit(self.pool.service.retry_budget);
        let mut plan = AttemptPlan::new(PlanOptions {
            idempotent: self.source.options.idempotent,
            replayable: self.source.replay.is_some(),
            rank: self.source.options.rank,
            target: self.source.options.target,
            deadline: self.source.options.deadline,
            expected_work: self.pool.expected_work(),
            max_runs: self.source.options.max_attempts,
            hedge_after: self.hedge_after(),
        });
        let clock = self.ingress.clock;
        let mut event = PlanEvent::Start;
        let mut answer = None;
        let mut failed = None;
        loop {
            let rejected = matches!(event, PlanEvent::Ended(_, AttemptEnd::Rejected));
            let actions = plan.handle(clock.now(), event, &budget);
            if rejected {
                self.count_rejection(&actions);
            }
            for action in actions {
                match action {
                    PlanAction::Send(id) => self.start_attempt(id),
                    // The attempt is dropped with the run, so nothing has to be done.
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
                Some((id, result)) = self.attempts.next() => match result {
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
                        self.not_run = reason.or(self.not_run);
                        PlanEvent::Ended(id, end)
                    }
                },
                Some(id) = self.stalls.1.recv() => PlanEvent::Stalled(id),
                () = tokio::time::sleep_until(tick) => PlanEvent::Tick,
            };
        }
    }

    /// Counts an attempt that a backend server rejected, and whether the plan gives up
    /// for that reason.
    fn count_rejection(&self, actions: &[PlanAction]) {
        let label = ServiceLabel {
            service: self.pool.service.id.to_string(),
        };
        let metrics = &self.ingress.metrics;
        metrics.rejections.get_or_create(&label).inc();
        if let [PlanAction::Fail(_)] = actions {
            metrics.retries_denied.get_or_create(&label).inc();
        }
    }

    /// Returns the time after which the request is hedged; `None` for never.
    fn hedge_after(&self) -> Option<Duration> {
        match self.pool.service.hedge && !self.source.options.bulk {
            true => self.pool.hedge_after.get(),
            false => None,
        }
    }

    /// Starts an attempt at a backend server that has not received the request
    /// before.
    fn start_attempt(&mut self, id: AttemptId) {
        if id.0 > 0 {
            let label = ServiceLabel {
                service: self.pool.service.id.to_string(),
            };
            self.ingress.metrics.retries.get_or_create(&label).inc();
        }
        let options = &self.source.options;
        let may_canary = id.0 == 0 && options.idempotent && self.source.replay.is_some();
        let attempt = RequestAttempt::new(
            self.ingress,
            Arc::clone(&self.pool),
            Arc::clone(&self.source),
            (id, self.stalls.0.clone()),
        );
        self.attempts
            .push(Box::pin(async move { (id, attempt.run(may_canary).await) }));
    }

    /// Prepares an answer for the caller.
    fn deliver(&self, mut response: Response<ProxyBody>, service: Duration) -> Response<ProxyBody> {
        let total = self.ingress.clock.now().since(self.source.options.started);
        self.ingress.record_added_latency(total, service);
        wire::sanitize_headers(response.headers_mut());
        response
    }

    /// Returns the refusal that the caller gets when there is no answer.
    fn refusal(&self, outcome: FailedOutcome) -> Refusal {
        match (outcome, self.not_run) {
            (FailedOutcome::NotRun, Some(reason)) => Refusal::NotRun(reason, self.retry_after()),
            (FailedOutcome::NotRun, None) => Refusal::PoolDown,
            (unknown, _) => Refusal::Unknown(unknown),
        }
    }

    /// Returns the time after which a refused caller is told to retry: the
    /// shortest wait for a slot that an egress reported, with jitter so that
    /// callers don't retry at the same moment.
    fn retry_after(&self) -> Duration {
        let wait = self.source.shortest_wait.lock();
        let wait = *wait.unwrap_or_else(|poison| poison.into_inner());
        let jitter = 0.75 + rand::random::<f64>() / 2.0;
        let wait = wait.map_or(MAX_RETRY_AFTER, |wait| wait.mul_f64(jitter));
        let longest = match self.not_run {
            Some(NotRun::Limited) => MAX_LIMITED_RETRY_AFTER,
            _ => MAX_RETRY_AFTER,
        };
        wait.clamp(MIN_RETRY_AFTER, longest)
    }
}
