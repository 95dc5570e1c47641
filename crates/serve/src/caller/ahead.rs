//! Requests that were sent ahead on a caller's connection, shared between the
//! stream, the HTTP library's service and the task of the connection.

use std::{
    collections::VecDeque,
    future::Future,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use hyper::{
    HeaderMap, Method, Request, Response, Uri, Version,
    body::Incoming,
    header::{HOST, HeaderValue, UPGRADE},
};

use super::{
    plan::{AheadHead, AheadLimits, AheadPlan, BegunRequest, closes},
    runs::{AheadBytes, AheadRun},
    state::CallerState,
};
use crate::{
    body::{ProxyBody, empty_body},
    budget::ByteAccount,
    ingress::Ingress,
    settings::Budgets,
};

/// What is needed to tell whether requests may run ahead of the one in flight.
#[derive(Debug)]
struct FlightHead {
    method: Method,
    uri: Uri,
    host: Option<HeaderValue>,
}

/// Plan and runs of one connection.
struct AheadParts {
    plan: AheadPlan,
    runs: VecDeque<AheadRun>,
    /// The run of the request in flight, until its answer is taken. The library may
    /// not ask for it while the client does not read, and the run has to go on.
    current: Option<AheadRun>,
    /// The request in flight, until it was checked whether requests may run ahead
    /// of it; `None` if none ever may.
    in_flight: Option<FlightHead>,
    /// Number of bytes that were passed on of those held.
    fed: usize,
}

/// Requests that were sent ahead on a connection.
///
/// All users are polled by the task of the connection, so the lock is never
/// contended.
pub struct SentAhead {
    parts: Mutex<AheadParts>,
    /// Whether bytes are held or requests run ahead. Ordinary connections need no
    /// work beside the HTTP library's.
    active: AtomicBool,
    budget: AheadBytes,
}

impl SentAhead {
    /// Creates the state of a connection that has just been accepted. `head_bytes`
    /// is the maximum size of a head.
    pub fn new(budgets: &Budgets, head_bytes: usize, account: Arc<ByteAccount>) -> Self {
        let mut plan = AheadPlan::new(AheadLimits {
            requests: budgets.requests_ahead,
            held_bytes: head_bytes,
        });
        if budgets.requests_ahead == 0 {
            plan.serve_plainly();
        }
        Self {
            parts: Mutex::new(AheadParts {
                plan,
                runs: VecDeque::new(),
                current: None,
                in_flight: None,
                fed: 0,
            }),
            active: AtomicBool::new(false),
            budget: AheadBytes::new(budgets.ahead_bytes, account),
        }
    }

    /// Whether bytes are held or requests run ahead.
    pub fn is_active(&self) -> bool {
        self.active.load(Ordering::Relaxed)
    }

    /// Passes held bytes to `put`, at most `room`. Returns whether there were any.
    pub fn feed(&self, busy: bool, room: usize, put: impl FnOnce(&[u8])) -> bool {
        let mut parts = self.lock();
        if !parts.plan.is_holding() {
            return false;
        }
        let bytes = parts.plan.feed(busy, room);
        parts.fed += bytes.len();
        put(&bytes);
        !bytes.is_empty()
    }

    /// Whether more bytes may be read while a request is in flight.
    pub fn may_read(&self) -> bool {
        !self.is_active() || self.lock().plan.may_read()
    }

    /// Takes bytes that were read, and returns how many of them to pass on.
    pub fn arrive(&self, busy: bool, chunk: &[u8]) -> usize {
        let mut parts = self.lock();
        let passed = match parts.plan.is_holding() {
            true => {
                parts.plan.hold(chunk);
                0
            }
            false => parts.plan.arrive(busy, chunk),
        };
        if passed < chunk.len() {
            self.active.store(true, Ordering::Relaxed);
        }
        passed
    }

    /// Whether bytes are held.
    pub fn is_holding(&self) -> bool {
        self.is_active() && self.lock().plan.is_holding()
    }

    /// Whether requests run ahead that the HTTP library has not read yet.
    pub fn has_runs(&self) -> bool {
        self.is_active() && !self.lock().runs.is_empty()
    }

    /// Records that the HTTP library has read the head of a request, whose body has
    /// the given length if it is known. Returns whether it runs already, so that
    /// [`Self::poll_answer`] yields its answer.
    pub fn begin(&self, request: &Request<Incoming>, length: Option<u64>) -> bool {
        let mut parts = self.lock();
        let run = match parts.plan.begin(length) {
            BegunRequest::Next => None,
            BegunRequest::Ahead => {
                let run = parts.runs.pop_front();
                let run = run.filter(|run| run.is_for(request.method(), request.uri()));
                if run.is_none() {
                    log::error!(
                        "caller: a request was read differently, its connection is served plainly."
                    );
                    parts.plan.serve_plainly();
                }
                run
            }
        };
        if parts.plan.is_plain() {
            parts.runs.clear();
        }
        match &run {
            // It was checked before it was run.
            Some(_) => parts.in_flight = None,
            None => {
                parts.in_flight = flight_head(request, length);
                if parts.in_flight.is_none() {
                    parts.plan.bar();
                }
            }
        }
        parts.current = run;
        parts.current.is_some()
    }

    /// Waits for the answer to the request in flight, which runs already.
    pub fn poll_answer(&self, context: &mut Context<'_>) -> Poll<Response<ProxyBody>> {
        match &mut self.lock().current {
            Some(run) => Pin::new(run).poll(context),
            None => Poll::Pending,
        }
    }

    /// Starts the requests that may run ahead and advances those that do. Returns
    /// the number of bytes passed on so far if the HTTP library can have more.
    pub fn advance(
        &self,
        state: &CallerState,
        ingress: &Arc<Ingress>,
        context: &mut Context<'_>,
    ) -> Option<usize> {
        let mut guard = self.lock();
        let parts = &mut *guard;
        let busy = state.is_busy();
        if parts.plan.is_holding() && busy && !ingress.view.is_leaving() {
            if let Some(head) = parts.in_flight.take()
                && !ingress.may_run_ahead(&head.method, &head.uri, head.host.as_ref())
            {
                parts.plan.bar();
            }
            self.start_runs(parts, ingress);
        }
        let was_full = self.budget.is_full();
        for run in parts.current.iter_mut().chain(&mut parts.runs) {
            run.poll_ahead(context);
        }
        if self.budget.is_full() && !was_full {
            ingress.metrics.ahead_full.inc();
            if ingress.answer_lines.take() {
                log::info!("caller: the answers ahead on a connection fill its buffer.");
            }
        }
        let holds = parts.plan.is_holding();
        let waits = parts.current.as_ref().is_some_and(|run| !run.is_taken());
        let has_runs = waits || !parts.runs.is_empty();
        self.active.store(holds || has_runs, Ordering::Relaxed);
        (holds && !state.is_busy()).then_some(parts.fed)
    }

    /// Starts the requests that may run ahead of the one in flight.
    fn start_runs(&self, parts: &mut AheadParts, ingress: &Arc<Ingress>) {
        let may_run = |head: &AheadHead| {
            let host = single_host(&head.headers);
            ingress.may_run_ahead(&head.method, &head.uri, host.as_ref())
        };
        while !self.budget.is_full()
            && ingress.account.has_spare()
            && let Some(head) = parts.plan.next_ahead(true, may_run)
        {
            let (method, uri) = (head.method.clone(), head.uri.clone());
            let mut request = Request::new(empty_body());
            *request.method_mut() = head.method;
            *request.uri_mut() = head.uri;
            *request.headers_mut() = head.headers;
            let ingress = Arc::clone(ingress);
            ingress.metrics.ahead_requests.inc();
            let codec = Arc::clone(&ingress.codec);
            let answer = Box::pin(async move { ingress.serve_ahead(request).await });
            let run = AheadRun::new(method, uri, answer, self.budget.clone(), codec);
            parts.runs.push_back(run);
        }
    }

    /// Locks the parts. The lock is never poisoned, since no holder panics.
    fn lock(&self) -> MutexGuard<'_, AheadParts> {
        self.parts
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Returns what tells whether requests may run ahead of this one; `None` if none
/// may, whatever its route is.
fn flight_head(request: &Request<Incoming>, length: Option<u64>) -> Option<FlightHead> {
    let headers = request.headers();
    let read_only = matches!(*request.method(), Method::GET | Method::HEAD);
    let plain = length == Some(0) && request.version() == Version::HTTP_11;
    if !read_only || !plain || headers.contains_key(UPGRADE) || closes(headers) {
        return None;
    }
    Some(FlightHead {
        method: request.method().clone(),
        uri: request.uri().clone(),
        host: single_host(headers),
    })
}

/// Returns the `Host` field, if there is exactly one.
fn single_host(headers: &HeaderMap) -> Option<HeaderValue> {
    let mut hosts = headers.get_all(HOST).iter();
    let host = hosts.next().cloned();
    host.filter(|_| hosts.next().is_none())
}
