//! One backend server of six that is slow or fails.

use std::time::Duration;

use config::{DetectionMode, Record};
use fakes::{BackendStub, Behaviour};
use ids::Percent;
use tokio::time::Instant;

use crate::{
    ACCOUNT, PLENTY, SPAN,
    bed::{Bench, BenchShape, is_ejected},
    load::Stream,
};

/// Time of a lookup at a good server.
const LOOKUP_TIME: Duration = Duration::from_millis(20);
/// Requests a second and server.
const SERVER_RATE: f64 = 10.0;
/// Backend servers.
const SERVERS: usize = 6;

async fn slow_bench(change: impl FnOnce(&mut Vec<Record>)) -> Bench {
    let shape = BenchShape {
        daemons: 3,
        services: &[("plans", SERVERS)],
        slots: 5,
        accounts: &[(ACCOUNT, PLENTY)],
    };
    let bench = Bench::start_with(&shape, change).await;
    for backend in &bench.backends {
        backend.set_behaviour(Behaviour::Slow(LOOKUP_TIME));
    }
    bench
}

/// Changes the rules of all services.
fn change_services(records: &mut [Record], change: impl Fn(&mut config::Service)) {
    for record in records {
        if let Record::Service(service) = record {
            change(service);
        }
    }
}

/// Lookups while one server is ten times slower and can't be ejected, with
/// hedging and without: latency, and what was sent beyond one each.
pub(crate) async fn hedge() {
    println!("servers  hedging  good  p50 ms  p99 ms  p99.9 ms  extra load %");
    for (slow, hedge) in [(false, false), (false, true), (true, false), (true, true)] {
        let bench = slow_bench(|records| {
            change_services(records, |service| {
                service.hedge = hedge;
                // Nobody may be ejected.
                service.floor = Percent(100);
            });
        })
        .await;
        if slow {
            bench.backends[0].set_behaviour(Behaviour::Slow(LOOKUP_TIME * 10));
        }
        let lookups = Stream::new(bench.targets("/plans/today"), ACCOUNT, 300.0);
        // The hedge delay is learned.
        lookups.run(Duration::from_secs(3)).await;
        let lookups = Stream::new(bench.targets("/plans/today"), ACCOUNT, 300.0);
        let before: u64 = bench.backends.iter().map(BackendStub::count).sum();
        lookups.run(SPAN).await;
        let after: u64 = bench.backends.iter().map(BackendStub::count).sum();
        print_hedge(slow, hedge, &lookups, after - before);
        bench.stop().await;
    }
}

/// Prints latencies, and what was sent beyond one request each.
fn print_hedge(slow: bool, hedge: bool, lookups: &Stream, runs: u64) {
    let tally = lookups.tally.lock().unwrap();
    let sent = tally.good + tally.refused + tally.lost;
    println!(
        "{}  {hedge:<7}  {}  {:>6.1}  {:>6.1}  {:>8.1}  {:>6.1}",
        if slow { "one 10x" } else { "good   " },
        tally.good,
        tally.at(0.5),
        tally.at(0.99),
        tally.at(0.999),
        100.0 * runs as f64 / sent as f64 - 100.0
    );
}

/// Pools in which a fault of [`detect`] begins at the same time.
const POOLS: [&str; 8] = ["p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7"];
/// Time after which a fault counts as not detected.
const DETECT_LIMIT: Duration = Duration::from_secs(20);
/// Traffic before the onset, from which the detectors learn what is usual.
const LEARN_TIME: Duration = Duration::from_secs(12);
/// Time between looks at the daemons.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Time from the onset of a fault until every ingress has taken the server out
/// of rotation.
pub(crate) async fn detect() {
    println!("preference  fault    out of rotation at all daemons, s: each pool");
    for detection in [DetectionMode::Fast, DetectionMode::Certain] {
        for (name, behaviour) in [
            ("errors", Behaviour::Status(500)),
            ("hang", Behaviour::HangBeforeHead),
            ("slow 5x", Behaviour::Slow(LOOKUP_TIME * 5)),
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

/// One onset in each pool; the times, sorted.
async fn detect_in_pools(detection: DetectionMode, behaviour: Behaviour) -> Vec<Duration> {
    let shape = BenchShape {
        daemons: 3,
        services: &POOLS.map(|pool| (pool, SERVERS)),
        slots: 5,
        accounts: &[(ACCOUNT, PLENTY)],
    };
    let set_detection = |records: &mut Vec<Record>| {
        change_services(records, |service| service.detection = detection);
    };
    let bench = Bench::start_with(&shape, set_detection).await;
    for backend in &bench.backends {
        backend.set_behaviour(Behaviour::Slow(LOOKUP_TIME));
    }
    let rate = SERVER_RATE * SERVERS as f64;
    let stream = |pool| Stream::new(bench.targets(&format!("/{pool}/today")), ACCOUNT, rate);
    let streams: Vec<Stream> = POOLS.map(stream).into();
    let traffic = tokio::spawn(async move {
        let runs = streams
            .iter()
            .map(|stream| stream.run(LEARN_TIME + DETECT_LIMIT));
        futures::future::join_all(runs).await;
    });
    tokio::time::sleep(LEARN_TIME).await;
    for pool in 0..POOLS.len() {
        bench.backends[pool * SERVERS].set_behaviour(behaviour);
    }
    let times = ejection_times(&bench).await;
    traffic.abort();
    let _ = traffic.await;
    bench.stop().await;
    times
}

/// Times from now until the first server of each pool is out of rotation at
/// every daemon, sorted.
async fn ejection_times(bench: &Bench) -> Vec<Duration> {
    let onset = Instant::now();
    let mut waiting: Vec<String> = POOLS.map(|pool| format!("{pool}-0")).into();
    let mut times = Vec::new();
    while !waiting.is_empty() && onset.elapsed() < DETECT_LIMIT {
        tokio::time::sleep(LOOK_EVERY).await;
        let dumps = bench.dumps().await;
        let at = onset.elapsed();
        waiting.retain(|server| {
            let out = dumps.iter().all(|dump| is_ejected(dump, server));
            times.extend(out.then_some(at));
            !out
        });
    }
    times.resize(POOLS.len(), DETECT_LIMIT);
    times
}
