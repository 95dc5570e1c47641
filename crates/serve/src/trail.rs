//! What became of one request, for the one line that is logged of it.

use std::{
    fmt,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use ids::{AccountId, ServerId, ServiceId};

/// Steps of one request that are kept.
const MAX_STEPS: usize = 24;

/// Something that happened to a request at a backend server.
#[derive(Clone, Debug)]
struct TraceStep {
    at: Duration,
    server: ServerId,
    what: String,
}

/// What is known of a request beside its steps.
#[derive(Clone, Debug, Default)]
struct TraceState {
    service: Option<ServiceId>,
    account: Option<AccountId>,
    revision: u64,
    steps: Vec<TraceStep>,
}

/// How a request ended, for its line.
#[derive(Clone, Copy, Debug)]
pub struct RequestEnd<'a> {
    /// Status that the caller got.
    pub status: u16,
    /// What the caller was told of its being run.
    pub outcome: &'a str,
    /// Why it was refused or failed; empty if it was answered.
    pub reason: &'a str,
    /// When the caller was asked to come back.
    pub retry_after: Option<Duration>,
}

/// The way of one request through the fleet, as its ingress saw it.
#[derive(Debug)]
pub struct RequestTrace {
    /// The caller's name for it, or a random number.
    pub name: String,
    started: Instant,
    head: Mutex<TraceState>,
}

impl RequestTrace {
    /// A request that begins now.
    pub fn new(name: String) -> Self {
        Self {
            name,
            started: Instant::now(),
            head: Mutex::default(),
        }
    }

    /// Whether the request was let in for no client account.
    pub fn is_open(&self) -> bool {
        let head = self.lock();
        head.service.is_some() && head.account.is_none()
    }

    /// Notes what the request was let in as, under a configuration revision.
    pub fn record_admission(&self, service: &ServiceId, account: Option<&AccountId>, revision: u64) {
        let mut head = self.lock();
        head.service = Some(service.clone());
        head.account = account.cloned();
        head.revision = revision;
    }

    /// Notes a step.
    pub fn record_step(&self, server: &ServerId, what: impl fmt::Display) {
        let mut head = self.lock();
        if head.steps.len() < MAX_STEPS {
            head.steps.push(TraceStep {
                at: self.started.elapsed(),
                server: server.clone(),
                what: what.to_string(),
            });
        }
    }

    /// Time since the request began.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes the line of a request that has ended.
    pub fn log(&self, level: log::Level, end: &RequestEnd<'_>) {
        let head = self.lock();
        let service = head.service.as_ref().map_or("", ServiceId::as_str);
        let account = head.account.as_ref().map_or("", AccountId::as_str);
        log::log!(
            level,
            request = self.name.as_str(),
            service = service,
            account = account,
            revision = head.revision,
            status = end.status,
            outcome = end.outcome,
            reason = end.reason,
            retry_after_ms = end.retry_after.map_or(0, |after| after.as_millis() as u64),
            total_ms = self.elapsed().as_millis() as u64,
            steps = steps_text(&head.steps).as_str();
            "ingress: request ended."
        );
    }

    /// The head; no holder panics.
    fn lock(&self) -> MutexGuard<'_, TraceState> {
        self.head
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Steps as `milliseconds server what`, in order.
fn steps_text(steps: &[TraceStep]) -> String {
    let step = |step: &TraceStep| format!("{} {} {}", step.at.as_millis(), step.server, step.what);
    steps.iter().map(step).collect::<Vec<_>>().join("; ")
}

/// Bounds the lines of one kind: so many a second, the rest is counted.
#[derive(Debug)]
pub struct LineLimiter {
    per_s: u64,
    started: Instant,
    /// The second that is counted, and the lines in it.
    window: AtomicU64,
}

/// Bits of the number of lines in a window.
const COUNT_BITS: u32 = 24;

impl LineLimiter {
    /// At most `per_s` lines a second.
    pub fn new(per_s: u64) -> Self {
        Self {
            per_s,
            started: Instant::now(),
            window: AtomicU64::new(0),
        }
    }

    /// Takes a line, if one is left in this second.
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
