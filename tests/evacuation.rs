//! Zones that the operator evacuates: their backend servers get nothing new, and
//! callers are served by the other zones.

mod harness;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use config::{Access, Record, publish_set};
use fakes::{Behaviour, Deployment, PlatformStub, SetPublisher};
use harness::{Fleet, FleetShape, TestRequest, any_port, send_with, test_settings};
use hyper::{Method, StatusCode};
use reader::HttpPlatformBuilder;
use serve::{Daemon, DaemonBuilder};
use tokio::time::{Instant, sleep};

/// Time limit for an event that a test expects.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Deadline of requests, which no test should reach.
const DEADLINE_MS: u32 = 30_000;

/// Opens all routes, so that no test waits for rate tokens, and sets the deadline.
fn open_routes(deployment: &mut Deployment) {
    for record in &mut deployment.records {
        match record {
            Record::Route(route) => route.access = Access::Open,
            Record::Service(service) => service.deadline_ms = DEADLINE_MS,
            _ => {}
        }
    }
}

/// Returns records in which the given zones are evacuated, and no others.
fn with_evacuated(records: &[Record], zones: &[&str]) -> Vec<Record> {
    let mut records = records.to_vec();
    for record in &mut records {
        if let Record::Zone(zone) = record {
            zone.evacuated = zones.contains(&zone.id.as_str());
        }
    }
    records
}

/// Publisher of the evacuations of a fleet.
struct EvacuatedZones(SetPublisher);

impl EvacuatedZones {
    /// Creates a publisher for a fleet that has started without evacuations.
    fn new(fleet: &Fleet) -> Self {
        Self(SetPublisher::after(&fleet.deployment.records))
    }

    /// Evacuates the given zones and no others, and waits until all daemons know.
    async fn publish(&mut self, fleet: &Fleet, zones: &[&str]) {
        let records = with_evacuated(&fleet.deployment.records, zones);
        fleet.platform.publish(&self.0.pack(&records));
        let revision = self.0.revision();
        fleet
            .wait_until("all daemons use the revision", |fleet| {
                let mut daemons = fleet.daemons.iter().flatten();
                daemons.all(|daemon| daemon.view().table().revision() >= revision)
            })
            .await;
    }
}

/// Sends a request without a key.
async fn send(fleet: &Fleet, daemon: usize, method: Method, path: &str) -> harness::Answer {
    let request = fleet.request(daemon, method, path).no_key();
    fleet.send(request).await.unwrap()
}

/// Sends a request in the background.
fn spawn(fleet: &Fleet, request: TestRequest) -> tokio::task::JoinHandle<harness::Answer> {
    let client = fleet.client.clone();
    tokio::spawn(async move { send_with(&client, request.no_key()).await.unwrap() })
}

// Guards against requests that reach an evacuated zone, against callers of that zone
// who are not served by the others, and against a zone that stays unused afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn evacuated_zone_gets_nothing() {
    let fleet = Fleet::start_configured(FleetShape::default(), open_routes).await;
    let mut zones = EvacuatedZones::new(&fleet);
    zones.publish(&fleet, &["zone-1"]).await;
    let before = fleet.backends[1].count();
    for round in 0..60 {
        let method = [Method::GET, Method::POST][round / 3 % 2].clone();
        let answer = send(&fleet, round % 3, method, "/plans/today").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    assert_eq!(fleet.backends[1].count(), before);
    zones.publish(&fleet, &[]).await;
    let end = Instant::now() + WAIT_LIMIT;
    while fleet.backends[1].count() == before {
        assert!(Instant::now() < end, "the zone gets no requests");
        let answer = send(&fleet, 1, Method::GET, "/plans/today").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    fleet.stop().await;
}

// Guards against a request that waits for a slot in the evacuated zone and is run
// there, or is refused although another zone can serve it; and against a request in
// flight that is broken off.
#[tokio::test(flavor = "multi_thread")]
async fn queued_job_moves() {
    let shape = FleetShape {
        daemons: 2,
        zones: 2,
        servers: 2,
        slots: 1,
        ..FleetShape::default()
    };
    let fleet = Fleet::start_configured(shape, open_routes).await;
    let mut zones = EvacuatedZones::new(&fleet);
    for backend in &fleet.backends {
        backend.hold();
        backend.set_behaviour(Behaviour::Held);
    }
    let post = |id: &str| {
        let request = fleet.request(0, Method::POST, "/plans/book");
        spawn(&fleet, request.run_id(id))
    };
    let running = [post("first"), post("second")];
    fleet
        .wait_until("both servers are busy", |fleet| {
            fleet.backends.iter().all(|backend| backend.running() == 1)
        })
        .await;
    let waiting = post("third");
    fleet.wait_for_queue(0, 1).await;
    zones.publish(&fleet, &["zone-0"]).await;
    fleet.wait_for_queue(0, 0).await;
    fleet.backends[1].release();
    let answer = waiting.await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(fleet.backends[1].runs("third"), 1);
    assert_eq!(fleet.backends[0].running(), 1, "the first request goes on");
    fleet.backends[0].release();
    for answer in running {
        let answer = answer.await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    assert_eq!(fleet.backends[0].count(), 1);
    fleet.stop().await;
}

// Guards against requests that wait for a zone that the operator holds back, against
// a refusal without a time to come back, and against an operator who is not told.
#[tokio::test(flavor = "multi_thread")]
async fn last_zone_refused() {
    let fleet = Fleet::start_configured(FleetShape::single(), open_routes).await;
    let answer = send(&fleet, 0, Method::GET, "/plans/before").await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    let mut zones = EvacuatedZones::new(&fleet);
    zones.publish(&fleet, &["zone-0"]).await;
    let before = fleet.backends[0].count();
    for method in [Method::GET, Method::POST] {
        let started = Instant::now();
        let answer = send(&fleet, 0, method, "/plans/during").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(answer.outcome(), "not-run");
        assert_eq!(answer.header("dogwoodshore-reason"), "evacuated");
        assert_ne!(answer.header("retry-after"), "");
        assert!(started.elapsed() < Duration::from_millis(u64::from(DEADLINE_MS) / 3));
    }
    assert_eq!(fleet.backends[0].count(), before);
    let admin = fleet.daemon(0).addresses().admin;
    let end = Instant::now() + WAIT_LIMIT;
    loop {
        let request = fleet.request_to(admin, Method::GET, "/metrics");
        let page = fleet.send(request).await.unwrap().body;
        let page = String::from_utf8_lossy(&page);
        if ["zones", "services"]
            .iter()
            .all(|kind| page.contains(&format!("dogwoodshore_evacuated_{kind} 1\n")))
        {
            break;
        }
        assert!(Instant::now() < end, "{page}");
        sleep(Duration::from_millis(20)).await;
    }
    zones.publish(&fleet, &[]).await;
    let end = Instant::now() + WAIT_LIMIT;
    while send(&fleet, 0, Method::GET, "/plans/after").await.status != StatusCode::OK {
        assert!(Instant::now() < end, "the zone is not used again");
        sleep(Duration::from_millis(10)).await;
    }
    fleet.stop().await;
}

// Guards against a daemon that serves its first requests as if no zone was evacuated.
#[tokio::test(flavor = "multi_thread")]
async fn starts_during_evacuation() {
    let fleet = Fleet::start_configured(FleetShape::default(), |deployment| {
        open_routes(deployment);
        deployment.records = with_evacuated(&deployment.records, &["zone-1"]);
    })
    .await;
    for round in 0..30 {
        let answer = send(&fleet, round % 3, Method::GET, "/plans/today").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    assert_eq!(fleet.backends[1].count(), 0);
    fleet.stop().await;
}

/// Time after which nothing that a daemon dispatched before an evacuation is still on
/// its way to a backend server.
const DISPATCH_SLACK: Duration = Duration::from_millis(300);

// Guards against requests that are lost or run twice while a zone is evacuated and
// taken back under load, and against grants that outlast the beginning.
#[tokio::test(flavor = "multi_thread")]
async fn load_during_changes() {
    let fleet = Fleet::start_configured(FleetShape::default(), open_routes).await;
    let mut zones = EvacuatedZones::new(&fleet);
    let stopped = AtomicBool::new(false);
    let traffic = async |caller: usize| {
        let mut number = 0;
        while !stopped.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("c{caller}-{number}");
            let request = fleet.request(caller % 3, Method::POST, "/plans/book");
            let answer = fleet.send(request.no_key().run_id(&id)).await.unwrap();
            assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
            assert_eq!(fleet.runs(&id), 1);
        }
    };
    let changes = async {
        for _ in 0..3 {
            zones.publish(&fleet, &["zone-1"]).await;
            sleep(DISPATCH_SLACK).await;
            let before = fleet.backends[1].count();
            sleep(DISPATCH_SLACK).await;
            assert_eq!(fleet.backends[1].count(), before);
            zones.publish(&fleet, &[]).await;
            let end = Instant::now() + WAIT_LIMIT;
            while fleet.backends[1].count() == before {
                assert!(Instant::now() < end, "the zone gets no requests");
                sleep(Duration::from_millis(10)).await;
            }
        }
        stopped.store(true, Ordering::Relaxed);
    };
    tokio::join!(futures::future::join_all((0..8).map(traffic)), changes);
    fleet.stop().await;
}

/// Starts the daemon of `vm-2` anew, with its configuration from a platform that has
/// `zone-0` evacuated in the same revision that the other daemons have without. So
/// they do not learn of the evacuation.
async fn restart_evacuated(fleet: &mut Fleet, shape: &FleetShape) -> (Daemon, PlatformStub) {
    let platform = PlatformStub::start(any_port()).await.unwrap();
    platform.publish_vms(&fleet.deployment.vms);
    let records = with_evacuated(&fleet.deployment.records, &["zone-0"]);
    platform.publish(&publish_set(None, &records).unwrap());
    fleet.daemons[2].take().unwrap().kill().await;
    let end = Instant::now() + WAIT_LIMIT;
    loop {
        let mut settings = test_settings(2, shape, platform.address());
        settings.peer = fleet.peers[2];
        let feed = HttpPlatformBuilder::new(platform.address()).feed();
        let daemon = DaemonBuilder::bind(settings).unwrap().start(Arc::new(feed));
        while !daemon.view().is_ready() {
            assert!(Instant::now() < end, "the daemon gets no configuration");
            sleep(Duration::from_millis(5)).await;
        }
        // It may have pulled the table of a peer first.
        if daemon.view().table().has_evacuations() {
            return (daemon, platform);
        }
        daemon.kill().await;
    }
}

// Guards against an ingress with an older table that sends requests to an evacuated
// zone, and against requests that use up their offers there, since its servers are
// near and idle, although another zone has room.
#[tokio::test(flavor = "multi_thread")]
async fn stale_ingress_served_elsewhere() {
    let shape = FleetShape {
        zones: 2,
        servers: 13,
        ..FleetShape::default()
    };
    let mut fleet = Fleet::start_configured(shape.clone(), |deployment| {
        open_routes(deployment);
        for record in &mut deployment.records {
            match record {
                Record::Server(server) if server.id.as_str() == "plans-1" => {}
                // All but one are on another VM of the zone of the ingress.
                Record::Server(server) => server.vm = "vm-2".parse().unwrap(),
                _ => {}
            }
        }
    })
    .await;
    let (restarted, platform) = restart_evacuated(&mut fleet, &shape).await;
    assert!(!fleet.daemon(0).view().table().has_evacuations());
    for round in 0..20 {
        let method = [Method::GET, Method::POST][round % 2].clone();
        let answer = send(&fleet, 0, method, "/plans/today").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    let counts: Vec<u64> = fleet.backends.iter().map(|stub| stub.count()).collect();
    assert_eq!(counts[1], 20, "{counts:?}");
    assert_eq!(counts.iter().sum::<u64>(), 20, "{counts:?}");
    assert!(!fleet.daemon(0).view().table().has_evacuations());
    restarted.kill().await;
    fleet.stop().await;
    platform.stop().await;
}
