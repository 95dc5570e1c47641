//! The attempts of one request, driven by [`AttemptPlan`].

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use config::{Account, KeyDigest};
use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use hyper::{Response, body::Body, http::request::Parts};
use ids::{MonoTime, Rank, WorkPriority};
use route::{
    AttemptEnd, AttemptId, AttemptPlan, FailedOutcome, PlanAction, PlanEvent, PlanOptions,
};

use crate::{
    answer::Refusal,
    attempt::{AttemptResult, RequestAttempt, RequestSource},
    body::ProxyBody,
    ingress::Ingress,
    metrics::ServiceLabel,
    pool::PoolState,
    resume::resumable,
    trail::RequestTrace,
    wire::{self, NotRun},
};

/// Bounds of the time after which a refused caller may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a run needs to know beside the request.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Where its steps are noted.
    pub trace: Arc<RequestTrace>,
    /// The client account.
    pub account: Option<Arc<Account>>,
    /// Digest of its key.
    pub key: Option<KeyDigest>,
    /// Rank among requests that wait for a slot.
    pub rank: Rank,
    /// Place among them where there is no room for all.
    pub work_priority: WorkPriority,
    /// Most backend servers that may run it.
    pub max_attempts: Option<u32>,
    /// Internal work.
    pub internal: bool,
    /// Long transfer.
    pub bulk: bool,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Until when an answer is worth most to the caller.
    pub target: MonoTime,
    /// When the caller's time is up.
    pub deadline: MonoTime,
    /// When the request came.
    pub started: MonoTime,
}

/// One request on its way.
pub struct RequestRun<'a> {
    ingress: &'a Arc<Ingress>,
    pool: Arc<PoolState>,
    source: Arc<RequestSource>,
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
        let source = RequestSource {
            number: rand::random(),
            options,
            head,
            replay,
            body: Mutex::new(Some(body)),
            committed_to: Mutex::default(),
            shortest_wait: Mutex::default(),
        };
        Self {
            ingress,
            pool,
            source: Arc::new(source),
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
        let source = Arc::clone(&self.source);
        let response = self.finish_plain().await?;
        match response.body().is_end_stream() || response.body().size_hint().exact().is_some() {
            // It is held in whole.
            true => Ok(response),
            false => Ok(resumable(ingress, &pool, &source, response)),
        }
    }

    /// Runs until there is an answer or none can come.
    pub async fn finish_plain(mut self) -> Result<Response<ProxyBody>, Refusal> {
        let budget = Arc::clone(&self.pool.budget);
        budget.deposit(self.pool.service.retry_budget);
        let mut plan = AttemptPlan::new(PlanOptions {
            idempotent: self.source.options.idempotent,
            replayable: self.source.replay.is_some(),
            deadline: self.source.options.deadline,
            max_runs: self.source.options.max_attempts,
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
        match self.pool.service.hedge && !self.source.options.bulk {
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
        let options = &self.source.options;
        let may_canary = id.0 == 0 && options.idempotent && self.source.replay.is_some();
        let call = RequestAttempt::new(
            self.ingress,
            Arc::clone(&self.pool),
            Arc::clone(&self.source),
        );
        self.running
            .push(Box::pin(async move { (id, call.run(may_canary).await) }));
    }

    /// Makes the answer for the caller.
    fn deliver(&self, mut response: Response<ProxyBody>, service: Duration) -> Response<ProxyBody> {
        let total = self.ingress.clock.now().since(self.source.options.started);
        self.ingress.note_added(total, service);
        wire::strip_headers(response.headers_mut());
        response
    }

    /// What the caller is told when there is no answer.
    fn refusal(&self, outcome: FailedOutcome) -> Refusal {
        match (outcome, self.reason) {
            (FailedOutcome::NotRun, Some(reason)) => Refusal::NotRun(reason, self.retry_after()),
            (FailedOutcome::NotRun, None) => Refusal::PoolDown,
            (unknown, _) => Refusal::Unknown(unknown),
        }
    }

    /// When a refused caller may come back: when the shortest queue has room
    /// by its egress's forecast, spread so that callers don't come together.
    fn retry_after(&self) -> Duration {
        let wait = self.source.shortest_wait.lock();
        let wait = *wait.unwrap_or_else(|poison| poison.into_inner());
        let spread = 0.75 + rand::random::<f64>() / 2.0;
        let wait = wait.map_or(MAX_RETRY_AFTER, |wait| wait.mul_f64(spread));
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
