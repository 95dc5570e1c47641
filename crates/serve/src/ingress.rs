//! The ingress: from a caller's request to its answer.
//!
//! The order matters: strip, route, key, body, tokens, attempts. A refusal
//! before the attempts is `not-run` by construction.

use std::{
    hash::{BuildHasher, RandomState},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use config::{Access, Account, KeyDigest, KeyHasher, Route, TrafficClass};
use hyper::{
    Request, Response,
    body::Body,
    header::{CONNECTION, HOST, HeaderValue},
    http::request::Parts,
};
use ids::{Rank, ServiceId, WorkPriority};

use crate::{
    answer::Refusal,
    body::{HeldBody, PrefixedBody, ProxyBody, StallBody, full_body, hold_body},
    clock::MonoClock,
    control::ControlSender,
    edge::{CallerHead, EdgeCodec},
    egress::EgressHub,
    gate::RateLimiter,
    hop::HopTransport,
    metrics::MetricSet,
    pool::{PoolState, PoolTable},
    run::{RequestRun, RunOptions},
    settings::LiveSettings,
    trail::{LineLimiter, RequestEnd, RequestTrace},
    view::FleetView,
    wire::HeaderSeal,
};
use http_body_util::BodyExt;

/// Largest request body that is held, so that it can be sent again.
const HELD_BODY_BYTES: usize = 64 * 1024;

/// What the ingress works with.
#[derive(Debug)]
pub struct Ingress {
    /// Configuration and VM list.
    pub view: Arc<FleetView>,
    /// Backend servers as seen from here.
    pub pools: Arc<PoolTable>,
    /// The egress of this VM.
    pub egress: Arc<EgressHub>,
    /// Digests callers' keys.
    pub hasher: KeyHasher,
    /// Reads what callers say.
    pub codec: Arc<dyn EdgeCodec>,
    /// The service on this VM, which backend servers are told as the caller's.
    pub local_service: Option<ServiceId>,
    /// Offers to egresses.
    pub transport: Arc<HopTransport>,
    /// Seals attempts for peers.
    pub seal: HeaderSeal,
    /// The clock.
    pub clock: MonoClock,
    /// Settings in force.
    pub settings: LiveSettings,
    /// Counters.
    pub metrics: Arc<MetricSet>,
    /// Rate tokens.
    pub limiter: RateLimiter,
    /// The control loop, which takes evidence.
    pub control: ControlSender,
    /// Hashes the names of pieces of work to their priorities.
    pub priority_hasher: RandomState,
    /// Lines of answered requests, and of all others.
    pub answer_lines: LineLimiter,
    pub failure_lines: LineLimiter,
}

impl Ingress {
    /// Lines a second of answered requests: a sample.
    pub const ANSWER_LINES: u64 = 2;
    /// Lines a second of refused and failed requests.
    pub const FAILURE_LINES: u64 = 50;
}

/// A request that was let in.
struct Admission {
    route: Route,
    pool: Arc<PoolState>,
    caller: Option<(KeyDigest, Arc<Account>)>,
}

impl Admission {
    /// Longest time that the caller is kept waiting.
    fn patience(&self, said: &CallerHead) -> Duration {
        let timeout = self.route.terms.timeout_ms;
        let longest = match timeout {
            Some(millis) => Duration::from_millis(u64::from(millis)),
            None => self.pool.service.deadline(),
        };
        said.budget.map_or(longest, |budget| budget.min(longest))
    }
}

impl Ingress {
    /// Answers a caller's request.
    pub async fn serve<B>(self: &Arc<Self>, request: Request<B>) -> Response<ProxyBody>
    where
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<crate::body::BodyError>,
    {
        let request = request.map(crate::body::box_body);
        let name = self.codec.request_name(request.headers());
        let name = name.and_then(|name| name.to_str().map(str::to_owned).ok());
        let name = name.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
        let trace = Arc::new(RequestTrace::new(name));
        let result = self.try_serve(request, &trace).await;
        self.note_end(&trace, &result);
        if self.is_call(&trace) && !is_good(&result) {
            self.egress.record_failed_call();
        }
        let mut response = result.unwrap_or_else(|refusal| refusal.response(&*self.codec));
        if self.view.is_leaving() {
            // The caller's next request goes to another daemon.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    /// Whether a request may be a call of one that runs on this VM: these have
    /// no account, and only a backend server's VM makes them.
    fn is_call(&self, trace: &RequestTrace) -> bool {
        self.local_service.is_some() && trace.is_open()
    }

    /// Counts and logs how a request ended; answers as far as the volume of
    /// the log allows, refusals and failures before them.
    fn note_end(&self, trace: &RequestTrace, result: &Result<Response<ProxyBody>, Refusal>) {
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

    /// Answers a caller's request, or says why not.
    async fn try_serve(
        self: &Arc<Self>,
        request: Request<ProxyBody>,
        trace: &Arc<RequestTrace>,
    ) -> Result<Response<ProxyBody>, Refusal> {
        let started = self.clock.now();
        let (mut head, body) = request.into_parts();
        let caller = self.codec.read_caller(&mut head.headers);
        let admission = self.admit(&head, &caller)?;
        let deadline = started + admission.patience(&caller);
        let account = admission.caller.as_ref().map(|(_, account)| &account.id);
        let revision = self.view.table().revision().get();
        trace.record_admission(&admission.pool.service.id, account, revision);
        let (body, replay) = self.take_body(body).await?;
        let token = match &admission.caller {
            Some((_, account)) => Some(self.limiter.take(&account.id).await?),
            None => None,
        };
        let route = &admission.route;
        let account = admission.caller.as_ref().map(|(_, account)| account);
        let options = RunOptions {
            trace: Arc::clone(trace),
            rank: self.rank_of(route, account),
            work_priority: self.work_priority_of(&trace.name),
            max_attempts: route.terms.max_attempts,
            account: admission
                .caller
                .as_ref()
                .map(|(_, account)| Arc::clone(account)),
            key: admission.caller.as_ref().map(|(digest, _)| *digest),
            internal: route.class == TrafficClass::Internal,
            bulk: route.bulk,
            idempotent: route::is_idempotent(head.method.as_str(), route.idempotent),
            target: route.terms.target_ms.map_or(deadline, |millis| {
                deadline.min(started + Duration::from_millis(u64::from(millis)))
            }),
            deadline,
            started,
        };
        let run = RequestRun::new(self, admission.pool, head, body, replay, options);
        let result = run.finish().await;
        match (token, &result) {
            // What was certainly not run costs no token.
            (Some(token), Err(refusal)) if refusal.outcome() == "not-run" => drop(token),
            (Some(token), _) => token.spend(),
            (None, _) => {}
        }
        result
    }

    /// Finds the route and checks the key.
    fn admit(&self, head: &Parts, said: &CallerHead) -> Result<Admission, Refusal> {
        if !self.view.is_ready() {
            return Err(Refusal::NotReady);
        }
        let host = host_of(head).ok_or(Refusal::BadRequest)?;
        let table = self.view.table();
        let route = table
            .route(&host, head.uri.path())
            .ok_or(Refusal::NoRoute)?;
        let caller = match route.access {
            Access::Open => None,
            Access::Keyed if self.view.is_isolated() => return Err(Refusal::Isolated),
            Access::Keyed => {
                let digest = self
                    .hasher
                    .digest(said.key.as_deref().ok_or(Refusal::BadKey)?);
                let key = table.key(&digest).ok_or(Refusal::BadKey)?;
                let account = table.account(&key.account).ok_or(Refusal::BadKey)?;
                Some((digest, Arc::new(account)))
            }
        };
        let service = route.pick_service(rand::random());
        let pool = self.pools.pool(service).ok_or(Refusal::PoolDown)?;
        Ok(Admission {
            route,
            pool,
            caller,
        })
    }

    /// Rank of a request among those that wait for a slot.
    ///
    /// What comes for no account to a VM with a backend server are calls of
    /// requests that run and hold a slot elsewhere, so they go first.
    fn rank_of(&self, route: &Route, account: Option<&Arc<Account>>) -> Rank {
        match account {
            Some(account) => account.rank.unwrap_or(route.terms.rank),
            None if self.local_service.is_some() => Rank(0),
            None => route.terms.rank,
        }
    }

    /// Place of a request among its equals where there is no room for all.
    ///
    /// All calls of one piece of work have the same, at every server: what is
    /// shed of them is whole pieces of work. The state of the hash is this
    /// daemon's, through which they all go.
    fn work_priority_of(&self, name: &str) -> WorkPriority {
        match self.codec.work_name(name) {
            Some(work) => WorkPriority((self.priority_hasher.hash_one(work) as u32).max(1)),
            None => WorkPriority::default(),
        }
    }

    /// Holds a small body so that it can be sent again.
    async fn take_body(&self, body: ProxyBody) -> Result<(ProxyBody, Option<Bytes>), Refusal> {
        if body.is_end_stream() {
            return Ok((full_body(Bytes::new()), Some(Bytes::new())));
        }
        let budgets = &self.settings.load().budgets;
        let (limit, stall) = (budgets.head_timeout(), budgets.stall_timeout());
        match tokio::time::timeout(limit, hold_body(body, HELD_BODY_BYTES)).await {
            Ok(Ok(HeldBody::Whole(bytes))) => Ok((full_body(bytes.clone()), Some(bytes))),
            Ok(Ok(HeldBody::Larger(first, rest))) => {
                // A caller that stops in the middle must not hold a slot.
                let rest = StallBody::new(rest, stall).boxed_unsync();
                Ok((PrefixedBody::new(first, rest).boxed_unsync(), None))
            }
            Ok(Err(_)) => Err(Refusal::BadRequest),
            Err(_) => Err(Refusal::SlowRequest),
        }
    }

    /// Notes what the proxy added to a request.
    pub fn note_added(&self, total: Duration, service: Duration) {
        self.metrics
            .added
            .observe(total.saturating_sub(service).as_secs_f64());
    }
}

/// Whether the caller got what it asked for.
fn is_good(result: &Result<Response<ProxyBody>, Refusal>) -> bool {
    result
        .as_ref()
        .is_ok_and(|response| response.status().is_success())
}

/// Host of a request in lower case, without port.
fn host_of(head: &Parts) -> Option<String> {
    let authority = match head.uri.authority() {
        Some(authority) => authority.as_str(),
        None => {
            let mut hosts = head.headers.get_all(HOST).iter();
            let host = hosts.next()?.to_str().ok()?;
            // Two hosts would let a caller choose which route applies.
            match hosts.next() {
                Some(_) => return None,
                None => host,
            }
        }
    };
    let authority: hyper::http::uri::Authority = authority.parse().ok()?;
    Some(authority.host().to_ascii_lowercase())
}
