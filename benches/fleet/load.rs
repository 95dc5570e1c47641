//! Open-loop request streams, with tallies of the answers.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, body::Bytes};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::{task::JoinSet, time::Instant};

/// HTTP client with a connection pool of its own.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Returns a client without open connections.
pub(crate) fn new_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Latencies and outcomes of the requests of a stream.
pub(crate) struct ResponseTally {
    /// Latencies of good answers, in microseconds.
    pub(crate) micros: Histogram<u64>,
    /// Number of requests answered with status 200.
    pub(crate) good: u64,
    /// Number of requests answered with another status.
    pub(crate) refused: u64,
    /// Number of requests without a complete answer.
    pub(crate) lost: u64,
}

impl ResponseTally {
    /// Returns an empty tally.
    pub(crate) fn new() -> Arc<Mutex<Self>> {
        let micros = Histogram::new_with_bounds(1, 60_000_000, 3).unwrap();
        Arc::new(Mutex::new(Self {
            micros,
            good: 0,
            refused: 0,
            lost: 0,
        }))
    }

    /// Returns a quantile of the latency, in milliseconds.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.micros.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// GET requests of one account, sent at a constant rate to several URIs in turn.
pub(crate) struct RequestStream {
    pub(crate) client: HttpClient,
    /// URIs of the requests.
    pub(crate) targets: Vec<String>,
    /// API key of the account.
    pub(crate) key: String,
    /// Requests per second.
    pub(crate) rate: f64,
    pub(crate) tally: Arc<Mutex<ResponseTally>>,
}

impl RequestStream {
    /// Returns a stream that has sent nothing.
    pub(crate) fn new(targets: Vec<String>, account: &str, rate: f64) -> Self {
        Self {
            client: new_client(),
            targets,
            key: format!("key-of-{account}"),
            rate,
            tally: ResponseTally::new(),
        }
    }

    /// Sends requests at the rate, without waiting for answers, and returns when
    /// all have ended. Latency counts from the time at which a request was due.
    pub(crate) async fn run(&self, duration: Duration) {
        let mut tasks = JoinSet::new();
        let start = Instant::now();
        let count = (duration.as_secs_f64() * self.rate) as u64;
        for number in 0..count {
            let due = start + Duration::from_secs_f64(number as f64 / self.rate);
            tokio::time::sleep_until(due).await;
            let uri = &self.targets[number as usize % self.targets.len()];
            let request = Request::get(uri).header("x-api-key", &self.key);
            let request = request.body(Full::default()).unwrap();
            let client = self.client.clone();
            let tally = Arc::clone(&self.tally);
            tasks.spawn(async move {
                let status = send_request(&client, request).await;
                let micros = due.elapsed().as_micros() as u64;
                let mut tally = tally.lock().unwrap();
                match status {
                    Some(StatusCode::OK) => {
                        tally.good += 1;
                        tally.micros.saturating_record(micros.max(1));
                    }
                    Some(_) => tally.refused += 1,
                    None => tally.lost += 1,
                }
            });
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }
}

/// Sends a request and reads the answer. Returns its status, or `None` if it is
/// not complete.
pub(crate) async fn send_request(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
) -> Option<StatusCode> {
    let response = client.request(request).await.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    Some(status)
}
