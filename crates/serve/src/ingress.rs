//! The ingress, which receives requests of callers and answers them.
//!
//! A request passes through these steps in order: remove the headers that
//! callers may not set, find the route, check the key, read the body, take a
//! rate token, make attempts. No backend server sees a request before the
//! attempts, so every refusal up to there has the outcome `not-run`.

use std::{
    hash::{BuildHasher, RandomState},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use config::{Access, Account, CheckedKey, KeyHasher, Route, TrafficClass};
use hyper::{
    Method, Request, Response, Uri,
    body::Body,
    header::{CONNECTION, HeaderValue},
    http::request::Parts,
};
use ids::{Rank, ServiceId, WorkPriority};
use route::{HomeRegions, RequestScope};

use crate::{
    answer::Refusal,
    body::{
        BufferedBody, ChargedBody, DeadlineBody, PrefixedBody, ProxyBody, TimeoutBody,
        buffer_body_if, full_body,
    },
    budget::{BODY_BUFFER_BYTES, ByteAccount, ByteCharge, request_bytes},
    caller::{OverrunFlag, SizedBody},
    clock::MonoClock,
    control::ControlSender,
    edge::{CallerMetadata, EdgeCodec},
    egress::EgressHub,
    gate::{HeldToken, RateLimiter},
    hop::HopTransport,
    host::{host_of, request_host},
    metrics::MetricSet,
    pool::{HomeShortages, PoolState, PoolTable},
    run::{RequestRun, RunOptions},
    settings::LiveSettings,
    trail::{LineLimiter, RequestEnd, RequestTrace},
    view::FleetView,
    wire::HeaderSeal,
};
use http_body_util::BodyExt;

/// Maximum size of a request body that is buffered so that it can be sent
/// again, in bytes.
const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Size up to which an answer is buffered until it is complete.
const MAX_BUFFERED_ANSWER_BYTES: usize = 1024 * 1024;
/// The same for a request that runs before its turn. With 16 such requests on each
/// connection, a few clients that do not read could fill the memory of a small VM.
const MAX_BUFFERED_AHEAD_BYTES: usize = 64 * 1024;

/// The ingress of a daemon, with the shared state that it uses.
#[derive(Debug)]
pub struct Ingress {
    /// Configuration and VM list in force.
    pub view: Arc<FleetView>,
    /// Backend servers of each service, with their state as observed here.
    pub pools: Arc<PoolTable>,
    /// The egress of this VM.
    pub egress: Arc<EgressHub>,
    /// Computes the digests of callers' keys.
    pub hasher: KeyHasher,
    /// Reads and writes the headers of callers.
    pub codec: Arc<dyn EdgeCodec>,
    /// Service of the backend server on this VM, if there is one. Backend
    /// servers receive it as the calling service.
    pub local_service: Option<ServiceId>,
    /// Sends offers to egresses and receives the replies.
    pub transport: Arc<HopTransport>,
    /// Seals the metadata of attempts for peers.
    pub seal: HeaderSeal,
    /// Monotonic clock of the process.
    pub clock: MonoClock,
    /// Bytes that clients hold.
    pub account: Arc<ByteAccount>,
    /// Settings in force.
    pub settings: LiveSettings,
    /// Metrics of the daemon.
    pub metrics: Arc<MetricSet>,
    /// Takes the rate tokens of client accounts.
    pub limiter: RateLimiter,
    /// Passes observations of backend servers to the control loop.
    pub control: ControlSender,
    /// Services without a backend server in the homes of requests.
    pub shortages: HomeShortages,
    /// Hashes the ids of pieces of work to their priorities.
    pub priority_hasher: RandomState,
    /// Bounds the log lines of answered requests.
    pub answer_lines: LineLimiter,
    /// Bounds the log lines of refused and failed requests.
    pub failure_lines: LineLimiter,
}

impl Ingress {
    /// Maximum number of log lines per second for answered requests, of which
    /// only a sample is logged.
    pub const ANSWER_LINES_PER_S: u64 = 2;
    /// Maximum number of log lines per second for refused and failed requests.
    pub const FAILURE_LINES_PER_S: u64 = 50;
}

/// Route, backend servers and caller of a request that was accepted.
struct RequestContext {
    route: Route,
    pool: Arc<PoolState>,
    /// Key and client account of the caller; `None` on an open route.
    caller: Option<(CheckedKey, Arc<Account>)>,
    /// Regions that the request may be run in.
    homes: HomeRegions,
}

impl RequestContext {
    /// Returns the maximum time until the caller is answered. A caller can only
    /// shorten the timeout of the route or of its service.
    fn timeout_for(&self, metadata: &CallerMetadata) -> Duration {
        let timeout_ms = self.route.terms.timeout_ms;
        let longest = match timeout_ms {
            Some(millis) => Duration::from_millis(u64::from(millis)),
            None => self.pool.service.deadline(),
        };
        metadata
            .timeout
            .map_or(longest, |timeout| timeout.min(longest))
    }

    /// Returns the maximum time until the answer of the caller has ended; `None` if
    /// neither the caller nor the route limits it. The deadline of a service is
    /// for the head of the answer.
    fn body_timeout(&self, metadata: &CallerMetadata) -> Option<Duration> {
        let timeout_ms = self.route.terms.timeout_ms;
        let route = timeout_ms.map(|millis| Duration::from_millis(u64::from(millis)));
        route.into_iter().chain(metadata.timeout).min()
    }
}

impl Ingress {
    /// Answers a caller's request.
    pub async fn serve(self: &Arc<Self>, request: Request<ProxyBody>) -> Response<ProxyBody> {
        self.serve_with(request, MAX_BUFFERED_ANSWER_BYTES).await
    }

    /// Answers a caller's request that runs before its turn. What an attempt buffers of
    /// its answer is not counted in the budget of the connection, so it is less.
    pub async fn serve_ahead(self: &Arc<Self>, request: Request<ProxyBody>) -> Response<ProxyBody> {
        self.serve_with(request, MAX_BUFFERED_AHEAD_BYTES).await
    }

    /// Answers a caller's request. An answer of at most `buffered_bytes` is buffered
    /// until it is complete.
    async fn serve_with(
        self: &Arc<Self>,
        request: Request<ProxyBody>,
        buffered_bytes: usize,
    ) -> Response<ProxyBody> {
        let id = self.codec.request_id(request.headers());
        let id = id.and_then(|id| id.to_str().map(str::to_owned).ok());
        let id = id.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
        let trace = Arc::new(RequestTrace::new(id));
        let mut charge = self.account.open();
        let result = match charge.grow(request_bytes(request.headers())) {
            true => {
                self.try_serve(request, &trace, &mut charge, buffered_bytes)
                    .await
            }
            false => Err(Refusal::NoMemory),
        };
        self.record_end(&trace, &result);
        if self.may_be_nested_call(&trace) && !is_success(&result) {
            self.egress.record_failed_call();
        }
        let refused_bytes = matches!(result, Err(Refusal::NoMemory));
        let mut response = result.unwrap_or_else(|refusal| refusal.response(&*self.codec));
        if self.account.is_bounded() {
            response = response.map(|body| ChargedBody::new(body, charge).boxed_unsync());
        }
        if self.view.is_leaving() || refused_bytes {
            // A caller whose connection is closed sends its next request to
            // another daemon.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    /// Whether the backend server on this VM may have made the request while it
    /// ran another one. Such calls use open routes, and they occur only on a VM
    /// that has a backend server.
    fn may_be_nested_call(&self, trace: &RequestTrace) -> bool {
        self.local_service.is_some() && trace.is_open()
    }

    /// Counts and logs how a request ended. The log lines per second are
    /// limited, with a higher limit for refusals and failures than for answers;
    /// requests beyond the limit are only counted.
    fn record_end(&self, trace: &RequestTrace, result: &Result<Response<ProxyBody>, Refusal>) {
        let (level, status, outcome, reason) = match result {
            Ok(response) => {
                let level = match response.status().is_server_error() {
                    true => log::Level::Warn,
                    false => log::Level::Info,
                };
                (level, response.status(), "answered", String::new())
            }
            Err(refusal) => {
                let reason = refusal.to_string();
                (
                    log::Level::Warn,
                    refusal.status(),
                    refusal.outcome(),
                    reason,
                )
            }
        };
        self.metrics.count_outcome(outcome, &reason);
        self.metrics.total.observe(trace.elapsed().as_secs_f64());
        let budget = match level {
            log::Level::Info => &self.answer_lines,
            _ => &self.failure_lines,
        };
        match budget.take() {
            true => {
                let refusal = result.as_ref().err();
                let end = RequestEnd {
                    status: status.as_u16(),
                    outcome,
                    reason: &reason,
                    retry_after: refusal.and_then(|refusal| refusal.retry_after()),
                };
                trace.log(level, &end);
            }
            false => {
                self.metrics.unlogged.inc();
            }
        }
    }

    /// Answers a caller's request, or returns why there is no answer.
    async fn try_serve(
        self: &Arc<Self>,
        request: Request<ProxyBody>,
        trace: &Arc<RequestTrace>,
        charge: &mut ByteCharge,
        buffered_bytes: usize,
    ) -> Result<Response<ProxyBody>, Refusal> {
        let started = self.clock.now();
        let (mut head, body) = request.into_parts();
        let metadata = self.codec.read_caller(&mut head.headers);
        let context = self.authorize(&head, &metadata)?;
        let deadline = started + context.timeout_for(&metadata);
        let body_deadline = context.body_timeout(&metadata);
        let body_deadline = body_deadline.map(|timeout| started + timeout);
        let account = context.caller.as_ref().map(|(_, account)| &account.id);
        let revision = self.view.table().revision().get();
        let access = context.route.access;
        trace.record_admission(&context.pool.service.id, account, access, revision);
        let overrun = OverrunFlag::default();
        let body = self.limit_body(body, &overrun)?;
        let buffered = self.buffer_small_body(body, charge).await;
        let (body, replay) = buffered.map_err(|refusal| match overrun.is_set() {
            true => Refusal::BodyTooLarge,
            false => refusal,
        })?;
        let token = match &context.caller {
            Some((_, account)) if account.is_limited() => {
                Some(self.limiter.take(&account.id).await?)
            }
            _ => None,
        };
        let route = &context.route;
        let account = context.caller.as_ref().map(|(_, account)| account);
        let options = RunOptions {
            trace: Arc::clone(trace),
            rank: self.queue_rank(route, account),
            work_priority: self.work_priority(&trace.request_id),
            homes: context.homes,
            kind: work_kind(route, head.method.as_str()),
            max_attempts: route.terms.max_attempts,
            account: context
                .caller
                .as_ref()
                .map(|(_, account)| Arc::clone(account)),
            key: context.caller.as_ref().map(|(key, _)| *key),
            internal: route.class == TrafficClass::Internal,
            bulk: route.bulk,
            idempotent: route::is_idempotent(head.method.as_str(), route.idempotent),
            buffered_bytes,
            target: route.terms.target_ms.map_or(deadline, |millis| {
                deadline.min(started + Duration::from_millis(u64::from(millis)))
            }),
            deadline,
            body_deadline,
            started,
            sent: token.as_ref().map(HeldToken::sent_mark).unwrap_or_default(),
        };
        let run = RequestRun::new(self, context.pool, head, body, replay, options);
        let result = run.finish().await;
        match (token, &result) {
            (Some(token), Err(refusal)) if refusal.outcome() == "not-run" => token.give_back(),
            _ => {}
        }
        let response = result.map_err(|refusal| match refusal {
            Refusal::Unknown(_) if overrun.is_set() => Refusal::BodyOverrun,
            refusal => refusal,
        })?;
        Ok(match body_deadline {
            Some(deadline) if !response.body().is_end_stream() => {
                let deadline = self.clock.instant(deadline);
                response.map(|body| DeadlineBody::new(body, deadline).boxed_unsync())
            }
            _ => response,
        })
    }

    /// Finds the route of a request and checks the caller's key.
    fn authorize(
        &self,
        head: &Parts,
        metadata: &CallerMetadata,
    ) -> Result<RequestContext, Refusal> {
        if !self.view.is_ready() {
            return Err(Refusal::NotReady);
        }
        let host = request_host(head).ok_or(Refusal::BadRequest)?;
        let table = self.view.table();
        let route = table
            .route(&host, head.uri.path())
            .ok_or(Refusal::NoRoute)?;
        let caller = match route.access {
            Access::Open => None,
            // Without accounts, there is no key that a caller could have.
            Access::Keyed if !table.has_accounts() => None,
            Access::Keyed if self.view.is_isolated() => return Err(Refusal::Isolated),
            Access::Keyed => {
                let digest = self
                    .hasher
                    .digest(metadata.key.as_deref().ok_or(Refusal::BadKey)?);
                let key = table.key(&digest).ok_or(Refusal::BadKey)?;
                let account = table.account(&key.account).ok_or(Refusal::BadKey)?;
                let checked = CheckedKey {
                    digest,
                    revision: table.revision(),
                };
                Some((checked, Arc::new(account)))
            }
        };
        let service = route.pick_service(rand::random());
        let pool = self.pools.pool(service).ok_or(Refusal::PoolDown)?;
        let account = caller.as_ref().map(|(_, account)| account.homes.as_slice());
        let homes = HomeRegions::new(&route.terms.homes, account.unwrap_or_default());
        // Refused at once, before a token is taken and the body is read.
        let scope = RequestScope::new(homes.clone());
        let refusal = pool.scope_refusal(&self.view, &scope);
        self.shortages
            .record(&self.metrics, service, &homes, refusal.is_none());
        if let Some(refusal) = refusal {
            return Err(refusal);
        }
        Ok(RequestContext {
            route,
            pool,
            caller,
            homes,
        })
    }

    /// Whether requests of a route may run more than once, which a request needs to
    /// run before those that were sent before it are answered. `host` is its only
    /// `Host` field.
    pub fn may_run_ahead(&self, method: &Method, uri: &Uri, host: Option<&HeaderValue>) -> bool {
        let host = match (uri.authority(), host) {
            (Some(authority), _) => host_of(authority.as_str()),
            (None, Some(host)) => host.to_str().ok().and_then(host_of),
            (None, None) => None,
        };
        let table = self.view.table();
        let route = host.and_then(|host| table.route(&host, uri.path()));
        route.is_some_and(|route| route::is_idempotent(method.as_str(), route.idempotent))
    }

    /// Returns the rank of a request among those that wait for a slot.
    ///
    /// Requests on open routes on a VM with a backend server are calls made by
    /// requests that already run and hold a slot elsewhere. Therefore they go
    /// first.
    fn queue_rank(&self, route: &Route, account: Option<&Arc<Account>>) -> Rank {
        match account {
            Some(account) => account.rank.unwrap_or(route.terms.rank),
            None if self.local_service.is_some() && route.access == Access::Open => Rank(0),
            None => route.terms.rank,
        }
    }

    /// Returns the priority of a request among others of the same rank when not
    /// all of them can run.
    ///
    /// All calls of one piece of work have the same priority at every backend
    /// server, so overload rejects whole pieces of work. All of them go through
    /// this daemon, so the random state of the hash need not be shared.
    fn work_priority(&self, request_id: &str) -> WorkPriority {
        match self.codec.work_id(request_id) {
            Some(work) => WorkPriority((self.priority_hasher.hash_one(work) as u32).max(1)),
            None => WorkPriority::default(),
        }
    }

    /// Limits the size of a body, as the configuration demands.
    fn limit_body(&self, body: ProxyBody, overrun: &OverrunFlag) -> Result<ProxyBody, Refusal> {
        match self.view.limits().body_bytes {
            Some(limit) if body.size_hint().lower() > limit => Err(Refusal::BodyTooLarge),
            // A body of unknown length shows its size only while it is read.
            Some(limit) if body.size_hint().exact().is_none() => {
                Ok(SizedBody::new(body, limit, overrun.clone()).boxed_unsync())
            }
            _ => Ok(body),
        }
    }

    /// Buffers a small body so that it can be sent again. Returns the body to
    /// send, and its bytes if it was buffered completely.
    async fn buffer_small_body(
        &self,
        body: ProxyBody,
        charge: &mut ByteCharge,
    ) -> Result<(ProxyBody, Option<Bytes>), Refusal> {
        if body.is_end_stream() {
            return Ok((full_body(Bytes::new()), Some(Bytes::new())));
        }
        // The guard of the settings must not be kept while the body arrives.
        let (limit, stall) = {
            let budgets = &self.settings.load().budgets;
            (budgets.head_timeout(), budgets.stall_timeout())
        };
        let mut fits = true;
        let mut buffer = BODY_BUFFER_BYTES;
        let may_hold = |bytes| {
            // The buffer doubles when it grows.
            fits = charge.grow(2 * bytes + std::mem::take(&mut buffer));
            fits
        };
        let buffered = buffer_body_if(body, MAX_BUFFERED_BODY_BYTES, may_hold);
        match tokio::time::timeout(limit, buffered).await {
            Ok(Ok(_)) if !fits => Err(Refusal::NoMemory),
            Ok(Ok(BufferedBody::Complete(bytes))) => Ok((full_body(bytes.clone()), Some(bytes))),
            Ok(Ok(BufferedBody::Partial(first, rest))) => {
                // A caller that stops sending in the middle of the body must
                // not occupy a slot of a backend server.
                let rest = TimeoutBody::new(rest, stall).boxed_unsync();
                Ok((PrefixedBody::new(first, rest).boxed_unsync(), None))
            }
            Ok(Err(_)) => Err(Refusal::BadRequest),
            Err(_) => Err(Refusal::SlowRequest),
        }
    }

    /// Records the latency that the proxy added: the part of `total` that the
    /// backend server did not need.
    pub fn record_added_latency(&self, total: Duration, service: Duration) {
        self.metrics
            .added
            .observe(total.saturating_sub(service).as_secs_f64());
    }
}

/// Returns the kind of a request: a hash of its route and method that is the same in
/// every daemon and not 0.
fn work_kind(route: &Route, method: &str) -> u32 {
    let route = ids::stable_pair_hash(ids::stable_hash(route.host.as_bytes()), &route.prefix);
    (ids::stable_pair_hash(route, method) as u32).max(1)
}

/// Whether the caller gets a successful answer of a backend server.
fn is_success(result: &Result<Response<ProxyBody>, Refusal>) -> bool {
    result
        .as_ref()
        .is_ok_and(|response| response.status().is_success())
}
