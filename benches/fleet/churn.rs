//! Measurement of requests that are lost or run twice while daemons stop and
//! start.

use std::time::Duration;

use fakes::{BackendStub, Behaviour};
use http_body_util::{BodyExt, Full};
use hyper::{Request, body::Bytes};
use tokio::{task::JoinSet, time::Instant};

use crate::{
    ACCOUNT, UNLIMITED_RATE,
    bed::{BenchFleet, target},
    load::{HttpClient, new_client},
};

/// Number of requests of the measurement.
const REQUESTS: u64 = 100_000;
/// Requests per second.
const REQUEST_RATE: u64 = 1_500;
/// Time after which backend servers answer, so that some requests are in flight
/// when a daemon stops.
const ANSWER_TIME: Duration = Duration::from_millis(10);
/// Time between stops of daemons.
const STOP_INTERVAL: Duration = Duration::from_secs(8);

/// Numbers of requests by their outcome, compared with the runs of each.
#[derive(Default)]
struct RunCounts {
    /// Answers of backend servers.
    answered: u64,
    /// Answers that the request did not run.
    not_run: u64,
    /// Answers that the request may have run.
    unknown: u64,
    /// Requests without a complete answer.
    incomplete: u64,
    /// POSTs that ran more than once.
    repeated: u64,
    /// Requests answered as not run that did run.
    false_not_run: u64,
    /// Answers of backend servers to requests that did not run.
    false_answered: u64,
}

/// Sends requests through two daemons while two others are stopped and started
/// again in turn, and prints how outcomes and runs agree.
pub(crate) async fn churn() {
    let mut fleet = BenchFleet::start(4, 6, 16, &[(ACCOUNT, UNLIMITED_RATE)]).await;
    for backend in &fleet.backends {
        backend.set_behaviour(Behaviour::Slow(ANSWER_TIME));
    }
    let client = new_client();
    let targets: Vec<String> = fleet.daemons[..2].iter().map(target).collect();
    let traffic = tokio::spawn(async move {
        let mut tasks = JoinSet::new();
        let mut outcomes = Vec::new();
        let start = Instant::now();
        for number in 0..REQUESTS {
            let due = start + Duration::from_secs_f64(number as f64 / REQUEST_RATE as f64);
            tokio::time::sleep_until(due).await;
            // One in five is a GET: only requests that may be repeated serve as
            // canaries, without which no ejected server would return.
            let method = match number % 5 {
                0 => "GET",
                _ => "POST",
            };
            let request = Request::builder()
                .method(method)
                .uri(&targets[number as usize % 2])
                .header("x-api-key", format!("key-of-{ACCOUNT}"))
                .header(fakes::RUN_HEADER, number.to_string())
                .body(Full::from("spot"))
                .unwrap();
            let client = client.clone();
            tasks.spawn(async move { (number, request_outcome(&client, request).await) });
            while let Some(Ok(done)) = tasks.try_join_next() {
                outcomes.push(done);
            }
        }
        while let Some(Ok(done)) = tasks.join_next().await {
            outcomes.push(done);
        }
        outcomes
    });
    let mut stops = 0;
    while !traffic.is_finished() {
        tokio::time::sleep(STOP_INTERVAL).await;
        let index = 2 + stops % 2;
        fleet.restart(index, ["TERM", "KILL"][stops / 2 % 2]);
        stops += 1;
    }
    let counts = fleet.count_runs(traffic.await.unwrap());
    let server_runs = fleet
        .backends
        .iter()
        .map(BackendStub::count)
        .collect::<Vec<_>>();
    println!("runs by backend server: {server_runs:?}");
    println!(
        "{REQUESTS} requests, four in five POSTs, {stops} stops: {} answered, {} not-run, \
         {} unknown, {} incomplete; repeated {}, answered without a run {}, not-run that ran {}",
        counts.answered,
        counts.not_run,
        counts.unknown,
        counts.incomplete,
        counts.repeated,
        counts.false_answered,
        counts.false_not_run
    );
    fleet.stop().await;
}

/// Returns the outcome that an answer's header gives, empty for an answer of a
/// backend server, or `None` if the answer is not complete.
async fn request_outcome(client: &HttpClient, request: Request<Full<Bytes>>) -> Option<String> {
    let response = client.request(request).await.ok()?;
    let header = response.headers().get("dogwoodshore-outcome");
    let outcome = header
        .map_or("", |value| value.to_str().unwrap_or(""))
        .to_owned();
    response.into_body().collect().await.ok()?;
    Some(outcome)
}

impl BenchFleet {
    /// Compares outcomes with the runs that the backend servers counted.
    fn count_runs(&self, outcomes: Vec<(u64, Option<String>)>) -> RunCounts {
        let mut counts = RunCounts::default();
        for (number, outcome) in outcomes {
            let id = number.to_string();
            let runs: u64 = self.backends.iter().map(|backend| backend.runs(&id)).sum();
            // GETs may be retried, so they may run more than once.
            counts.repeated += u64::from(runs > 1 && !number.is_multiple_of(5));
            match outcome.as_deref() {
                Some("") => {
                    counts.answered += 1;
                    counts.false_answered += u64::from(runs == 0);
                }
                Some("not-run") => {
                    counts.not_run += 1;
                    counts.false_not_run += u64::from(runs > 0);
                }
                Some(_) => counts.unknown += 1,
                None => counts.incomplete += 1,
            }
        }
        counts
    }
}
