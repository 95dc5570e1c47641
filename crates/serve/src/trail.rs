//! Trace of one request: its steps and its end, which are logged in one line.

use std::{
    fmt,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use config::Access;
use ids::{AccountId, ServerId, ServiceId};

/// Maximum number of steps that are kept of one request.
const MAX_STEPS: usize = 24;

/// An event of a request at a backend server.
#[derive(Clone, Debug)]
struct TraceStep {
    at: Duration,
    server: ServerId,
    what: String,
}

/// Properties of an admitted request, and its steps.
#[derive(Clone, Debug, Default)]
struct TraceState {
    service: Option<ServiceId>,
    account: Option<AccountId>,
    /// Access of the route.
    access: Option<Access>,
    revision: u64,
    steps: Vec<TraceStep>,
}

/// End of a request, for its log line.
#[derive(Clone, Copy, Debug)]
pub struct RequestEnd<'a> {
    /// HTTP status that the caller received.
    pub status: u16,
    /// Outcome that the caller was told: whether the request has run.
    pub outcome: &'a str,
    /// Why the request was refused or failed; empty if it was answered.
    pub reason: &'a str,
    /// Time after which the caller was asked to try again.
    pub retry_after: Option<Duration>,
}

/// Trace of one request through the fleet, as its ingress observed it.
#[derive(Debug)]
pub struct RequestTrace {
    /// Id that the caller gave to the request, or a random number.
    pub request_id: String,
    started: Instant,
    state: Mutex<TraceState>,
}

impl RequestTrace {
    /// Creates the trace of a request that begins now.
    pub fn new(request_id: String) -> Self {
        Self {
            request_id,
            started: Instant::now(),
            state: Mutex::default(),
        }
    }

    /// Whether the request was admitted on an open route.
    pub fn is_open(&self) -> bool {
        self.lock().access == Some(Access::Open)
    }

    /// Records the service, the client account and the access of the route with
    /// which the request was admitted, and the revision of the configuration.
    pub fn record_admission(
        &self,
        service: &ServiceId,
        account: Option<&AccountId>,
        access: Access,
        revision: u64,
    ) {
        let mut state = self.lock();
        state.service = Some(service.clone());
        state.account = account.cloned();
        state.access = Some(access);
        state.revision = revision;
    }

    /// Records a step at `server`. Steps beyond the maximum are dropped.
    pub fn record_step(&self, server: &ServerId, what: impl fmt::Display) {
        let mut state = self.lock();
        if state.steps.len() < MAX_STEPS {
            state.steps.push(TraceStep {
                at: self.started.elapsed(),
                server: server.clone(),
                what: what.to_string(),
            });
        }
    }

    /// Returns the time since the request began.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Logs the line of a request that has ended.
    pub fn log(&self, level: log::Level, end: &RequestEnd<'_>) {
        let state = self.lock();
        let service = state.service.as_ref().map_or("", ServiceId::as_str);
        let account = state.account.as_ref().map_or("", AccountId::as_str);
        log::log!(
            level,
            request = self.request_id.as_str(),
            service = service,
            account = account,
            revision = state.revision,
            status = end.status,
            outcome = end.outcome,
            reason = end.reason,
            retry_after_ms = end.retry_after.map_or(0, |after| after.as_millis() as u64),
            total_ms = self.elapsed().as_millis() as u64,
            steps = steps_text(&state.steps).as_str();
            "ingress: request ended."
        );
    }

    /// Locks the state, whose holders never panic.
    fn lock(&self) -> MutexGuard<'_, TraceState> {
        self.state
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Formats steps as `milliseconds server what`, in order.
fn steps_text(steps: &[TraceStep]) -> String {
    let step = |step: &TraceStep| format!("{} {} {}", step.at.as_millis(), step.server, step.what);
    steps.iter().map(step).collect::<Vec<_>>().join("; ")
}

/// Limits the number of log lines of one kind per second. The caller counts the
/// lines that are left out.
#[derive(Debug)]
pub struct LineLimiter {
    per_s: u64,
    started: Instant,
    /// Current second since `started`, and the number of lines in it in the
    /// lowest `COUNT_BITS` bits.
    window: AtomicU64,
}

/// Number of bits that hold the number of lines in a window.
const COUNT_BITS: u32 = 24;

impl LineLimiter {
    /// Creates a limiter that allows `per_s` lines per second.
    pub fn new(per_s: u64) -> Self {
        Self {
            per_s,
            started: Instant::now(),
            window: AtomicU64::new(0),
        }
    }

    /// Takes a line from the limit of this second. Returns false if none is
    /// left.
    pub fn take(&self) -> bool {
        let second = self.started.elapsed().as_secs();
        let next = |window: u64| {
            let count = match window >> COUNT_BITS {
                counted if counted == second => window & ((1 << COUNT_BITS) - 1),
                _ => 0,
            };
            (count < self.per_s).then_some(second << COUNT_BITS | (count + 1))
        };
        let order = Ordering::Relaxed;
        self.window.fetch_update(order, order, next).is_ok()
    }
}
