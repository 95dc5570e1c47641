//! A zone that is lost at once: its daemons are gone, and the configuration still lists
//! their backend servers.

mod harness;

use std::time::Duration;

use config::{Access, Record};
use fakes::{Behaviour, Deployment};
use harness::{Answer, Fleet, FleetShape};
use hyper::{Method, StatusCode};
use tokio::time::{Instant, sleep};

/// Time after which no request may wait for a daemon that is gone: longer than a search
/// waits for a daemon without a reply.
const GONE_AFTER: Duration = Duration::from_millis(1_600);
/// Bound of a refusal that waits for no daemon. A search gives up on a daemon after
/// 700 ms, and asks another one after 40 ms.
const PROMPT: Duration = Duration::from_millis(400);
/// Number of requests after the loss, and the time between them. Together they take
/// longer than the longest time for which a daemon without a reply is avoided.
const REQUESTS: usize = 60;
const PAUSE: Duration = Duration::from_millis(80);
/// Number of requests that may be late because the machine is busy.
const MAX_LATE: usize = 1;

/// Opens all routes, so that no test waits for rate tokens, and sets the timeout.
fn open_routes(deployment: &mut Deployment) {
    for record in &mut deployment.records {
        if let Record::Route(route) = record {
            route.access = Access::Open;
            route.terms.timeout_ms = Some(3_000);
        }
    }
}

/// Sends a request and returns its answer and its time.
async fn timed(fleet: &Fleet, daemon: usize) -> (Answer, Duration) {
    let started = Instant::now();
    let request = fleet.request(daemon, Method::POST, "/plans/today");
    let answer = fleet.send(request).await.unwrap();
    (answer, started.elapsed())
}

/// Starts a fleet, kills the daemon of `zone-1` and sends requests until it counts as
/// gone.
async fn lose_zone() -> Fleet {
    let shape = FleetShape {
        servers: 6,
        ..FleetShape::default()
    };
    let mut fleet = Fleet::start_configured(shape, open_routes).await;
    fleet.daemons[1].take().unwrap().kill().await;
    let end = Instant::now() + GONE_AFTER;
    while Instant::now() < end {
        timed(&fleet, 0).await;
        sleep(Duration::from_millis(5)).await;
    }
    fleet
}

// Guards against refusals that come late: when all servers that are left refuse, each
// request waited 0.7 s for a daemon that was gone.
#[tokio::test(flavor = "multi_thread")]
async fn refused_at_once() {
    let fleet = lose_zone().await;
    for (index, backend) in fleet.backends.iter().enumerate() {
        if index % 3 != 1 {
            backend.set_behaviour(Behaviour::Shed(Some(20)));
        }
    }
    // Until the daemons know that the servers shed load.
    for _ in 0..8 {
        timed(&fleet, 0).await;
    }
    let mut times = Vec::new();
    for _ in 0..REQUESTS {
        let (answer, time) = timed(&fleet, 0).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
        times.push(time);
        sleep(PAUSE).await;
    }
    let late = times.iter().filter(|time| **time > PROMPT).count();
    assert!(late <= MAX_LATE, "{late} are late: {times:?}");
    fleet.stop().await;
}

// Guards against requests that are lost with the zone, or that wait for it.
#[tokio::test(flavor = "multi_thread")]
async fn served_by_the_rest() {
    let fleet = lose_zone().await;
    let mut late = 0;
    for round in 0..REQUESTS {
        let (answer, time) = timed(&fleet, round % 2 * 2).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        late += usize::from(time > PROMPT);
        sleep(PAUSE).await;
    }
    assert!(late <= MAX_LATE, "{late} are late");
    fleet.stop().await;
}
