//! Callers: clients that send requests on kept-open connections until they are
//! stopped, and record the outcome of each request.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use fakes::{ECHO_HEADER, RUN_HEADER};
use futures::future::join_all;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, body::Bytes};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep, timeout};

use crate::fleet::{ANSWER_BODY, LIMITED_ACCOUNT, SoakFleet, UNLIMITED_ACCOUNT};

/// Number of callers that send to each daemon.
const CALLERS_PER_DAEMON: usize = 4;
/// Longest time that a caller waits for a complete answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// Fraction of requests that are POSTs, which may run once at most.
const POST_SHARE: f64 = 0.4;
/// Fraction of requests that are sent for the account with a rate limit.
const LIMITED_SHARE: f64 = 0.3;
/// Longest pause between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;

/// Outcome of a request, as far as its caller can tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The caller received the backend server's own answer.
    Answered(StatusCode),
    /// The fleet answered that the request did not run.
    NotRun(StatusCode),
    /// The fleet answered that the request may have run.
    Unknown,
    /// The caller received no complete answer: the connection failed, or the
    /// request timed out.
    Failed,
}

/// A request that a caller sent, and its outcome.
#[derive(Clone, Debug)]
pub struct ClientCall {
    /// Id by which the backend servers count runs of the request.
    pub id: String,
    /// Index of the daemon that received the request.
    #[expect(dead_code, reason = "printed with a finding")]
    pub index: usize,
    /// Whether the request is a POST.
    pub post: bool,
    /// Whether the request is sent for the account with a rate limit.
    pub limited: bool,
    /// Outcome that the caller observed.
    pub outcome: CallOutcome,
    /// Whether the answer belongs to another request, or is not complete.
    pub wrong_answer: bool,
    /// Time at which the outcome was known.
    pub ended: Instant,
}

/// HTTP client with a connection pool of its own.
pub type CallerClient = Client<HttpConnector, Full<Bytes>>;

/// Returns a client without open connections.
pub fn new_client() -> CallerClient {
    Client::builder(TokioExecutor::new()).build(HttpConnector::new())
}

/// Sends a request of an account to the daemon at `index`, and returns the call
/// with its outcome.
pub async fn send(
    fleet: &SoakFleet,
    client: &CallerClient,
    (index, account, method, id): (usize, &str, Method, &str),
) -> ClientCall {
    let post = method == Method::POST;
    let path = format!("/plans/{id}");
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", fleet.addresses[index].ingress))
        .header("x-api-key", format!("key-of-{account}"))
        .header(RUN_HEADER, id)
        .body(Full::default())
        .expect("method, address, account and id are valid in a request");
    let response = timeout(REQUEST_TIMEOUT, async {
        let response = client.request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some((head, body))
    });
    let response = response.await.ok().flatten();
    let (outcome, wrong_answer) = match response {
        None => (CallOutcome::Failed, false),
        Some((head, body)) => {
            let header = head.headers.get("dogwoodshore-outcome");
            match header.and_then(|value| value.to_str().ok()) {
                None => {
                    let echo = head.headers.get(ECHO_HEADER);
                    let matches = echo.is_some_and(|value| value.as_bytes() == path.as_bytes());
                    let complete = matches && body == ANSWER_BODY.as_bytes();
                    let wrong = head.status == StatusCode::OK && !complete;
                    (CallOutcome::Answered(head.status), wrong)
                }
                Some("not-run") => (CallOutcome::NotRun(head.status), false),
                Some(_) => (CallOutcome::Unknown, false),
            }
        }
    };
    ClientCall {
        id: id.to_owned(),
        index,
        post,
        limited: account == LIMITED_ACCOUNT,
        outcome,
        wrong_answer,
        ended: Instant::now(),
    }
}

/// Sends requests to all daemons until `stop` is set, and returns all calls.
pub async fn generate_load(
    fleet: &SoakFleet,
    phase: &str,
    seed: u64,
    stop: &AtomicBool,
) -> Vec<ClientCall> {
    let calls = Mutex::new(Vec::new());
    let run_caller = async |caller: usize| {
        let mut random = StdRng::seed_from_u64(seed ^ (caller as u64 + 1));
        let index = caller % fleet.daemons.len();
        let client = new_client();
        for number in 0.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let id = format!("{phase}-{caller}-{number}");
            let account = match random.random_bool(LIMITED_SHARE) {
                true => LIMITED_ACCOUNT,
                false => UNLIMITED_ACCOUNT,
            };
            let method = match random.random_bool(POST_SHARE) {
                true => Method::POST,
                false => Method::GET,
            };
            let call = send(fleet, &client, (index, account, method, &id)).await;
            calls
                .lock()
                .expect("no caller panics while it holds the lock")
                .push(call);
            sleep(Duration::from_millis(random.random_range(0..MAX_PAUSE_MS))).await;
        }
    };
    join_all((0..CALLERS_PER_DAEMON * fleet.daemons.len()).map(run_caller)).await;
    calls
        .into_inner()
        .expect("no caller panics while it holds the lock")
}
