//! Callers: they keep connections open, send until told to stop, and note what
//! they were told.

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

use crate::fleet::{BODY, FREE_ACCOUNT, LIMITED_ACCOUNT, SoakFleet};

/// Callers of each daemon.
const CALLERS: usize = 4;
/// Longest time that a caller waits.
const PATIENCE: Duration = Duration::from_secs(8);
/// Shares of a caller's requests: bookings, and those of the limited account.
const BOOKINGS: f64 = 0.4;
const LIMITED: f64 = 0.3;
/// Longest pause between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;

/// What a caller was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// The backend server's own answer.
    Answered(StatusCode),
    /// That nothing ran.
    NotRun(StatusCode),
    /// That it may have run.
    Unknown,
    /// Nothing: the connection failed.
    Failed,
}

/// One request and what came of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    #[expect(dead_code, reason = "shown with a finding")]
    pub place: usize,
    pub booking: bool,
    pub limited: bool,
    pub claim: Claim,
    /// Whether the answer is that of another request, or not whole.
    pub wrong_answer: bool,
    pub ended: Instant,
}

/// A client with connections of its own.
pub type CallerClient = Client<HttpConnector, Full<Bytes>>;

/// A new client.
pub fn new_client() -> CallerClient {
    Client::builder(TokioExecutor::new()).build(HttpConnector::new())
}

/// Sends one request and says what came of it.
pub async fn send(
    fleet: &SoakFleet,
    client: &CallerClient,
    (place, account, method, id): (usize, &str, Method, &str),
) -> Outcome {
    let booking = method == Method::POST;
    let path = format!("/plans/{id}");
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", fleet.addresses[place].ingress))
        .header("x-api-key", format!("key-of-{account}"))
        .header(RUN_HEADER, id)
        .body(Full::default())
        .expect("the parts are sound");
    let told = timeout(PATIENCE, async {
        let response = client.request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some((head, body))
    });
    let told = told.await.ok().flatten();
    let (claim, wrong_answer) = match told {
        None => (Claim::Failed, false),
        Some((head, body)) => {
            let outcome = head.headers.get("dogwoodshore-outcome");
            match outcome.and_then(|value| value.to_str().ok()) {
                None => {
                    let echo = head.headers.get(ECHO_HEADER);
                    let own = echo.is_some_and(|value| value.as_bytes() == path.as_bytes());
                    let whole = own && body == BODY.as_bytes();
                    let wrong = head.status == StatusCode::OK && !whole;
                    (Claim::Answered(head.status), wrong)
                }
                Some("not-run") => (Claim::NotRun(head.status), false),
                Some(_) => (Claim::Unknown, false),
            }
        }
    };
    Outcome {
        id: id.to_owned(),
        place,
        booking,
        limited: account == LIMITED_ACCOUNT,
        claim,
        wrong_answer,
        ended: Instant::now(),
    }
}

/// Sends requests to all daemons until `over`, and gives all outcomes.
pub async fn call_until(
    fleet: &SoakFleet,
    phase: &str,
    seed: u64,
    over: &AtomicBool,
) -> Vec<Outcome> {
    let outcomes = Mutex::new(Vec::new());
    let caller = async |number: usize| {
        let mut random = StdRng::seed_from_u64(seed ^ (number as u64 + 1));
        let place = number % fleet.daemons.len();
        let client = new_client();
        for count in 0.. {
            if over.load(Ordering::Relaxed) {
                break;
            }
            let id = format!("{phase}-{number}-{count}");
            let account = match random.random_bool(LIMITED) {
                true => LIMITED_ACCOUNT,
                false => FREE_ACCOUNT,
            };
            let method = match random.random_bool(BOOKINGS) {
                true => Method::POST,
                false => Method::GET,
            };
            let outcome = send(fleet, &client, (place, account, method, &id)).await;
            outcomes.lock().expect("no holder panics").push(outcome);
            sleep(Duration::from_millis(random.random_range(0..MAX_PAUSE_MS))).await;
        }
    };
    join_all((0..CALLERS * fleet.daemons.len()).map(caller)).await;
    outcomes.into_inner().expect("no holder panics")
}
