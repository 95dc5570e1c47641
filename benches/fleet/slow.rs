//! Measurements with one of six backend servers slow or failing.

use std::time::Duration;

use config::{DetectionMode, Record};
use fakes::{BackendStub, Behaviour};
use ids::Percent;
use tokio::time::Instant;

use crate::{
    ACCOUNT, MEASUREMENT_TIME, UNLIMITED_RATE,
    bed::{BenchFleet, BenchShape, is_ejected},
    load::RequestStream,
};

/// Time after which a healthy backend server answers.
const ANSWER_TIME: Duration = Duration::from_millis(20);
/// Requests per second and backend server.
const SERVER_RATE: f64 = 10.0;
/// Number of backend servers of a service.
const SERVERS: usize = 6;

/// Starts a fleet whose records `change` may edit, and whose backend servers
/// answer after [`ANSWER_TIME`].
async fn slow_fleet(change: impl FnOnce(&mut Vec<Record>)) -> BenchFleet {
    let shape = BenchShape {
        daemons: 3,
        services: &[("plans", SERVERS)],
        slots: 5,
        accounts: &[(ACCOUNT, UNLIMITED_RATE)],
    };
    let fleet = BenchFleet::start_with(&shape, change).await;
    for backend in &fleet.backends {
        backend.set_behaviour(Behaviour::Slow(ANSWER_TIME));
    }
    fleet
}

/// Applies `change` to all services among the records.
fn change_services(records: &mut [Record], change: impl Fn(&mut config::Service)) {
    for record in records {
        if let Record::Service(service) = record {
            change(service);
        }
    }
}

/// Measures latency and extra load with hedging and without, while all backend
/// servers are healthy and while one is ten times slower and can't be ejected.
pub(crate) async fn hedge() {
    println!("servers  hedging  good  p50 ms  p99 ms  p99.9 ms  extra load %");
    for (slow, hedge) in [(false, false), (false, true), (true, false), (true, true)] {
        let fleet = slow_fleet(|records| {
            change_services(records, |service| {
                service.hedge = hedge;
                // No backend server may be ejected.
                service.floor = Percent(100);
            });
        })
        .await;
        if slow {
            fleet.backends[0].set_behaviour(Behaviour::Slow(ANSWER_TIME * 10));
        }
        let requests = RequestStream::new(fleet.targets("/plans/today"), ACCOUNT, 300.0);
        // Daemons learn the hedge delay from these requests.
        requests.run(Duration::from_secs(3)).await;
        let requests = RequestStream::new(fleet.targets("/plans/today"), ACCOUNT, 300.0);
        let before: u64 = fleet.backends.iter().map(BackendStub::count).sum();
        requests.run(MEASUREMENT_TIME).await;
        let after: u64 = fleet.backends.iter().map(BackendStub::count).sum();
        print_hedging(slow, hedge, &requests, after - before);
        fleet.stop().await;
    }
}

/// Prints latencies, and how many more runs there were than requests.
fn print_hedging(slow: bool, hedge: bool, requests: &RequestStream, runs: u64) {
    let tally = requests.tally.lock().unwrap();
    let sent = tally.good + tally.refused + tally.lost;
    println!(
        "{}  {hedge:<7}  {}  {:>6.1}  {:>6.1}  {:>8.1}  {:>6.1}",
        if slow { "one 10x" } else { "good   " },
        tally.good,
        tally.quantile_ms(0.5),
        tally.quantile_ms(0.99),
        tally.quantile_ms(0.999),
        100.0 * runs as f64 / sent as f64 - 100.0
    );
}

/// Services in which [`detect`] starts a fault at the same time.
const POOLS: [&str; 8] = ["p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7"];
/// Time after which a fault counts as not detected.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(20);
/// Time of traffic before the fault, from which detectors learn the usual
/// latency and errors.
const LEARNING_TIME: Duration = Duration::from_secs(12);
/// Time between fetches of the daemons' dumps.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Measures the time from the onset of a fault until every daemon has the
/// backend server out of rotation.
pub(crate) async fn detect() {
    println!("detection   fault    out of rotation at all daemons, s: each pool");
    for detection in [DetectionMode::Fast, DetectionMode::Certain] {
        for (name, behaviour) in [
            ("errors", Behaviour::Status(500)),
            ("hang", Behaviour::HangBeforeHead),
            ("slow 5x", Behaviour::Slow(ANSWER_TIME * 5)),
        ] {
            let times = detect_in_pools(detection, behaviour).await;
            let times: Vec<String> = times
                .iter()
                .map(|time| format!("{:.2}", time.as_secs_f64()))
                .collect();
            println!("{detection:?}  {name:<8} {}", times.join(" "));
        }
    }
}

/// Starts the fault at one backend server of each pool, and returns the sorted
/// times until detection.
async fn detect_in_pools(detection: DetectionMode, behaviour: Behaviour) -> Vec<Duration> {
    let shape = BenchShape {
        daemons: 3,
        services: &POOLS.map(|pool| (pool, SERVERS)),
        slots: 5,
        accounts: &[(ACCOUNT, UNLIMITED_RATE)],
    };
    let set_detection = |records: &mut Vec<Record>| {
        change_services(records, |service| service.detection = detection);
    };
    let fleet = BenchFleet::start_with(&shape, set_detection).await;
    for backend in &fleet.backends {
        backend.set_behaviour(Behaviour::Slow(ANSWER_TIME));
    }
    let rate = SERVER_RATE * SERVERS as f64;
    let stream = |pool| RequestStream::new(fleet.targets(&format!("/{pool}/today")), ACCOUNT, rate);
    let streams: Vec<RequestStream> = POOLS.map(stream).into();
    let traffic = tokio::spawn(async move {
        let runs = streams
            .iter()
            .map(|stream| stream.run(LEARNING_TIME + DETECTION_TIMEOUT));
        futures::future::join_all(runs).await;
    });
    tokio::time::sleep(LEARNING_TIME).await;
    for pool in 0..POOLS.len() {
        fleet.backends[pool * SERVERS].set_behaviour(behaviour);
    }
    let times = ejection_times(&fleet).await;
    traffic.abort();
    let _ = traffic.await;
    fleet.stop().await;
    times
}

/// Returns the times from now until the first backend server of each pool is out
/// of rotation at every daemon, sorted. [`DETECTION_TIMEOUT`] stands for a pool
/// that had none.
async fn ejection_times(fleet: &BenchFleet) -> Vec<Duration> {
    let onset = Instant::now();
    let mut pending: Vec<String> = POOLS.map(|pool| format!("{pool}-0")).into();
    let mut times = Vec::new();
    while !pending.is_empty() && onset.elapsed() < DETECTION_TIMEOUT {
        tokio::time::sleep(POLL_INTERVAL).await;
        let dumps = fleet.dumps().await;
        let at = onset.elapsed();
        pending.retain(|server| {
            let out = dumps.iter().all(|dump| is_ejected(dump, server));
            times.extend(out.then_some(at));
            !out
        });
    }
    times.resize(POOLS.len(), DETECTION_TIMEOUT);
    times
}
