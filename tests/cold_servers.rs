//! Backend servers that are cold after a start, and take only so many requests a second
//! from the whole fleet.

mod harness;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use config::{ColdTerms, Record};
use fakes::{Behaviour, SetPublisher};
use futures::future::join_all;
use harness::{Answer, Fleet, FleetShape, test_settings};
use hyper::{Method, StatusCode};
use ids::RequestRate;
use reader::HttpPlatformBuilder;
use serde_json::Value;
use serve::DaemonBuilder;

/// Rate that a cold server takes, and the bound in any second.
const RATE: u64 = 14;
const ALLOWED: u64 = 29;
/// Time for which a server is cold after its start.
const AFTER_START: Duration = Duration::from_millis(1_500);
/// Interval at which the requests of the servers are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Gives all services cold terms, and has some servers count as cold.
fn set_cold(records: &mut [Record], is_cold: impl Fn(&str) -> bool) {
    for record in records {
        match record {
            Record::Service(service) => {
                service.cold = Some(ColdTerms {
                    after_start_ms: AFTER_START.as_millis() as u32,
                    rate: RequestRate::from_thousandths(RATE * 1_000),
                });
            }
            Record::Server(server) => server.cold = is_cold(server.id.as_str()),
            _ => {}
        }
    }
}

/// Publishes records and waits until all daemons use them.
async fn publish(fleet: &Fleet, publisher: &mut SetPublisher, records: &[Record]) {
    fleet.platform.publish(&publisher.pack(records));
    let revision = publisher.revision();
    fleet
        .wait_until("all daemons use the revision", |fleet| {
            let mut daemons = fleet.daemons.iter().flatten();
            daemons.all(|daemon| daemon.view().table().revision() == revision)
        })
        .await;
}

/// Sends GET requests to the daemons in turn, `callers` at a time, each caller again
/// `pause` after its answer.
async fn flood(fleet: &Fleet, callers: usize, pause: Duration, time: Duration) -> Vec<Answer> {
    let end = Instant::now() + time;
    let call = |caller: usize| async move {
        let mut answers = Vec::new();
        while Instant::now() < end {
            answers.push(fleet.get(caller % fleet.daemons.len(), "/plans/x").await);
            tokio::time::sleep(pause).await;
        }
        answers
    };
    join_all((0..callers).map(call)).await.concat()
}

/// Counts the requests of the servers while a future runs. Returns its output and the
/// most requests that each server got in any second.
async fn count_peaks<T>(fleet: &Fleet, work: impl Future<Output = T>) -> (T, Vec<u64>) {
    let mut samples: Vec<(Instant, Vec<u64>)> = Vec::new();
    tokio::pin!(work);
    let output = loop {
        let counts = fleet.backends.iter().map(|backend| backend.count());
        samples.push((Instant::now(), counts.collect()));
        tokio::select! {
            output = &mut work => break output,
            () = tokio::time::sleep(SAMPLE_INTERVAL) => {}
        }
    };
    let peak = |server: usize| {
        let within = |first: usize| {
            let (start, counts) = &samples[first];
            let second = |(time, _): &&(Instant, Vec<u64>)| {
                time.duration_since(*start) <= Duration::from_secs(1)
            };
            let last = samples[first..].iter().take_while(second).last();
            last.map_or(0, |(_, later)| later[server] - counts[server])
        };
        (0..samples.len()).map(within).max().unwrap_or(0)
    };
    let peaks = (0..fleet.backends.len()).map(peak).collect();
    (output, peaks)
}

/// Number of answers with a status.
fn count_status(answers: &[Answer], status: StatusCode) -> usize {
    let with_status = answers.iter().filter(|answer| answer.status == status);
    with_status.count()
}

/// Checks that every answer is one of a server, or the refusal of a cold one that tells
/// when to come back.
fn check_refusals(answers: &[Answer]) {
    for answer in answers.iter().filter(|answer| !answer.status.is_success()) {
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
        assert_eq!(answer.outcome(), "not-run", "{answer:?}");
        assert!(!answer.header("retry-after").is_empty(), "{answer:?}");
    }
}

// Guards against a cold server that gets more than its bound from several daemons, and
// against a warm one that is still held to the rate.
#[tokio::test(flavor = "multi_thread")]
async fn cold_rate_holds() {
    let shape = FleetShape {
        daemons: 3,
        zones: 1,
        servers: 1,
        slots: 20,
        ..FleetShape::default()
    };
    let fleet = Fleet::start_with(shape, |deployment| {
        set_cold(&mut deployment.records, |_| true);
    })
    .await;
    let time = Duration::from_secs(4);
    let pause = Duration::from_millis(10);
    let (answers, peaks) = count_peaks(&fleet, flood(&fleet, 6, pause, time)).await;
    assert!(peaks[0] <= ALLOWED, "{} in a second", peaks[0]);
    let served = count_status(&answers, StatusCode::OK) as u64;
    assert!(served >= RATE * 2, "only {served} in 4 s");
    check_refusals(&answers);
    let refused = count_status(&answers, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused > 0, "nothing is refused");
    let mut records = fleet.deployment.records.clone();
    set_cold(&mut records, |_| false);
    let mut publisher = SetPublisher::after(&fleet.deployment.records);
    publish(&fleet, &mut publisher, &records).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    for _ in 0..60 {
        let answer = fleet.get(1, "/plans/x").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    fleet.stop().await;
}

// Guards against a zone that comes back cold at once and gets its usual load, although
// the servers of the other zone have room.
#[tokio::test(flavor = "multi_thread")]
async fn cold_zone_is_relieved() {
    let shape = FleetShape {
        daemons: 4,
        zones: 2,
        servers: 4,
        slots: 20,
        ..FleetShape::default()
    };
    let fleet = Fleet::start_with(shape, |deployment| {
        set_cold(&mut deployment.records, |_| false);
    })
    .await;
    let pause = Duration::from_millis(20);
    flood(&fleet, 8, pause, Duration::from_millis(1_500)).await;
    let mut records = fleet.deployment.records.clone();
    // The servers 0 and 2 are in the first zone.
    set_cold(&mut records, |id| id.ends_with('0') || id.ends_with('2'));
    let mut publisher = SetPublisher::after(&fleet.deployment.records);
    publish(&fleet, &mut publisher, &records).await;
    let time = Duration::from_secs(3);
    let (answers, peaks) = count_peaks(&fleet, flood(&fleet, 8, pause, time)).await;
    assert!(peaks[0] <= ALLOWED && peaks[2] <= ALLOWED, "{peaks:?}");
    check_refusals(&answers);
    let served = count_status(&answers, StatusCode::OK);
    assert!(
        served * 100 >= answers.len() * 98,
        "{served} of {} served",
        answers.len()
    );
    fleet.stop().await;
}

// Guards against requests that ask ten cold servers of their own zone in turn and are
// refused, although the other zone has room.
#[tokio::test(flavor = "multi_thread")]
async fn other_zone_after_refusal() {
    let shape = FleetShape {
        daemons: 2,
        zones: 2,
        servers: 24,
        slots: 20,
        ..FleetShape::default()
    };
    let fleet = Fleet::start_with(shape, |deployment| {
        let vm = "vm-0".parse().unwrap();
        for record in &mut deployment.records {
            match record {
                Record::Service(service) => {
                    service.cold = Some(ColdTerms {
                        after_start_ms: 1_500,
                        rate: RequestRate::from_thousandths(20),
                    });
                }
                Record::Server(server) => server.cold = server.vm == vm,
                _ => {}
            }
        }
    })
    .await;
    for _ in 0..3 {
        // The daemon forgets the waits that it was told with earlier refusals.
        tokio::time::sleep(Duration::from_secs(3)).await;
        let answer = fleet.get(0, "/plans/x").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    fleet.stop().await;
}

// Guards against a cold server that is offered as much as a warm one. Its rate is high
// here, so that only the choice of servers holds requests back.
#[tokio::test(flavor = "multi_thread")]
async fn cold_server_gets_less() {
    let shape = FleetShape {
        daemons: 2,
        zones: 1,
        servers: 4,
        slots: 20,
        ..FleetShape::default()
    };
    let fleet = Fleet::start_with(shape, |deployment| {
        set_cold(&mut deployment.records, |id| id.ends_with('0'));
        for record in &mut deployment.records {
            if let Record::Service(service) = record {
                service.cold = service.cold.map(|terms| ColdTerms {
                    rate: RequestRate::from_thousandths(10_000_000),
                    ..terms
                });
            }
        }
    })
    .await;
    let before: Vec<u64> = fleet
        .backends
        .iter()
        .map(|backend| backend.count())
        .collect();
    for round in 0..400 {
        fleet.get(round % 2, "/plans/x").await;
    }
    let counts = fleet.backends.iter().zip(before);
    let sent: Vec<u64> = counts
        .map(|(backend, count)| backend.count() - count)
        .collect();
    assert!(sent[0] < 60, "{sent:?}");
    assert!(sent[1..].iter().all(|count| *count > 60), "{sent:?}");
    fleet.stop().await;
}

// Guards against a new server that gets its full load before its notice has come, or if
// none comes.
#[tokio::test(flavor = "multi_thread")]
async fn new_server_without_notice() {
    let shape = FleetShape {
        daemons: 2,
        zones: 1,
        servers: 1,
        slots: 20,
        ..FleetShape::default()
    };
    let fleet = Fleet::start_configured(shape, |deployment| {
        set_cold(&mut deployment.records, |_| false);
    })
    .await;
    let all = fleet.deployment.records.clone();
    let mut without = all.clone();
    without.retain(|record| !matches!(record, Record::Server(_)));
    let mut publisher = SetPublisher::after(&all);
    publish(&fleet, &mut publisher, &without).await;
    let before = fleet.backends[0].count();
    publish(&fleet, &mut publisher, &all).await;
    let pause = Duration::from_millis(5);
    let work = flood(&fleet, 6, pause, AFTER_START - Duration::from_millis(200));
    let (answers, peaks) = count_peaks(&fleet, work).await;
    assert!(peaks[0] <= ALLOWED, "{} in a second", peaks[0]);
    assert!(fleet.backends[0].count() > before, "nothing is served");
    check_refusals(&answers);
    tokio::time::sleep(Duration::from_millis(500)).await;
    for _ in 0..60 {
        let answer = fleet.get(0, "/plans/x").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    fleet.stop().await;
}

// Guards against a daemon that has forgotten in a restart what its server was sent, and
// against one that throttles a warm server for long after its start.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_daemon_starts_low() {
    let shape = FleetShape {
        daemons: 2,
        zones: 1,
        servers: 1,
        slots: 20,
        ..FleetShape::default()
    };
    let mut fleet = Fleet::start_with(shape.clone(), |deployment| {
        set_cold(&mut deployment.records, |_| true);
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut samples = vec![(Instant::now(), fleet.backends[0].count())];
    for _ in 0..40 {
        fleet.get(0, "/plans/x").await;
        samples.push((Instant::now(), fleet.backends[0].count()));
    }
    fleet.daemons[0].take().unwrap().kill().await;
    let mut settings = test_settings(0, &shape, fleet.platform.address());
    settings.peer = fleet.peers[0];
    let feed = HttpPlatformBuilder::new(fleet.platform.address()).feed();
    let daemon = DaemonBuilder::bind(settings).unwrap().start(Arc::new(feed));
    let ingress = daemon.addresses().ingress;
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end {
        let request = fleet.request_to(ingress, Method::GET, "/plans/x");
        let _ = fleet.send(request).await;
        samples.push((Instant::now(), fleet.backends[0].count()));
    }
    for (start, count) in &samples {
        let second = |(time, _): &&(Instant, u64)| {
            time >= start && time.duration_since(*start) <= Duration::from_secs(1)
        };
        let last = samples.iter().rfind(second);
        let sent = last.map_or(0, |(_, later)| later - count);
        assert!(sent <= ALLOWED, "{sent} in a second");
    }
    let mut records = fleet.deployment.records.clone();
    set_cold(&mut records, |_| false);
    let mut publisher = SetPublisher::after(&fleet.deployment.records);
    fleet.platform.publish(&publisher.pack(&records));
    let end = Instant::now() + Duration::from_secs(10);
    while daemon.view().table().revision() < publisher.revision() {
        assert!(Instant::now() < end, "the restarted daemon lags behind");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for _ in 0..60 {
        let request = fleet.request_to(ingress, Method::GET, "/plans/x");
        let answer = fleet.send(request).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    daemon.kill().await;
    fleet.stop().await;
}

/// Returns the state of a backend server from the dump of a daemon.
async fn dump_server(fleet: &Fleet, daemon: usize, server: &str) -> Value {
    let admin = fleet.daemon(daemon).addresses().admin;
    let page = fleet.send(fleet.request_to(admin, Method::GET, "/dump"));
    let dump: Value = serde_json::from_slice(&page.await.unwrap().body).unwrap();
    let pools = dump["pools"].as_array().unwrap().iter();
    let mut servers = pools.flat_map(|pool| pool["servers"].as_array().unwrap().clone());
    servers.find(|entry| entry["server"] == server).unwrap()
}

// Guards against a cold server that is ejected, or whose gate closes, because its
// answers take twice as long; and against one that is kept although it fails.
#[tokio::test(flavor = "multi_thread")]
async fn slow_cold_answers() {
    let usual = Duration::from_millis(40);
    let shape = FleetShape {
        daemons: 3,
        zones: 1,
        servers: 3,
        slots: 20,
        ..FleetShape::default()
    };
    let fleet = Fleet::start_with(shape, |deployment| {
        set_cold(&mut deployment.records, |_| false);
        for record in &mut deployment.records {
            if let Record::Service(service) = record {
                service.floor = ids::Percent(50);
                service.hedge = false;
                // The server may get its usual load, so that there is much evidence.
                service.cold = service.cold.map(|terms| ColdTerms {
                    rate: RequestRate::from_thousandths(1_000_000),
                    ..terms
                });
            }
        }
    })
    .await;
    for backend in &fleet.backends {
        backend.set_behaviour(Behaviour::Slow(usual));
    }
    let pause = Duration::from_millis(5);
    flood(&fleet, 12, pause, Duration::from_secs(3)).await;
    let mut records = fleet.deployment.records.clone();
    for record in &mut records {
        if let Record::Server(server) = record {
            server.cold = server.id.as_str() == "plans-0";
        }
    }
    let mut publisher = SetPublisher::after(&fleet.deployment.records);
    publish(&fleet, &mut publisher, &records).await;
    fleet.backends[0].set_behaviour(Behaviour::Slow(usual * 2));
    let before = fleet.backends[0].count();
    let answers = flood(&fleet, 24, pause, Duration::from_secs(4)).await;
    let sent = fleet.backends[0].count() - before;
    assert!(sent >= 100, "only {sent} requests show nothing");
    assert_eq!(count_status(&answers, StatusCode::OK), answers.len());
    for daemon in 0..3 {
        let state = dump_server(&fleet, daemon, "plans-0").await;
        assert_eq!(state["weight"].as_f64(), Some(1.0), "{state}");
        assert_eq!(state["cold"].as_bool(), Some(true), "{state}");
    }
    fleet.backends[0].set_behaviour(Behaviour::CloseBeforeHead);
    let before = fleet.backends[0].count();
    flood(&fleet, 24, pause, Duration::from_secs(2)).await;
    let sent = fleet.backends[0].count() - before;
    assert!(sent < 100, "{sent} requests for a server that fails");
    fleet.stop().await;
}

// Guards against probes that are not counted: a probe is a request like any other to a
// cold server.
#[tokio::test(flavor = "multi_thread")]
async fn probes_are_counted() {
    let fleet = Fleet::start_with(FleetShape::single(), |deployment| {
        set_cold(&mut deployment.records, |_| true);
        for record in &mut deployment.records {
            if let Record::Service(service) = record {
                service.health_path = Some("/health".into());
                service.cold = service.cold.map(|terms| ColdTerms {
                    rate: RequestRate::from_thousandths(200),
                    ..terms
                });
            }
        }
    })
    .await;
    let before = fleet.backends[0].count();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let probes = fleet.backends[0].count() - before;
    assert!(probes <= 2, "{probes} probes in 4 s at 0.2/s");
    fleet.stop().await;
}
