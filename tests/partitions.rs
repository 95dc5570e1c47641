//! One-way network cuts between daemons, and restarts during an outage of the
//! platform.

mod harness;

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use config::Record;
use fakes::{DropRelay, PlatformFault};
use harness::{Fleet, FleetShape};
use hyper::{Method, StatusCode};
use tokio::time::Instant;

/// Number in the run id of the next request.
static NEXT_ID: AtomicU64 = AtomicU64::new(0);
/// Number of requests in a batch, and the pause after each. Failures within
/// 100 ms count as one event, so a batch has to last for many times that.
const BATCH_SIZE: usize = 40;
const SEND_PAUSE: Duration = Duration::from_millis(25);
/// Maximum time until the fleet serves again after a fault or its end.
const RECOVERY_LIMIT: Duration = Duration::from_secs(30);

/// Starts a fleet in which everything that other daemons send to the second
/// one passes through a relay.
async fn relayed_fleet() -> (Fleet, DropRelay) {
    let relay = DropRelay::start().await.unwrap();
    let address = relay.address();
    let fleet = Fleet::start_configured(FleetShape::default(), |deployment| {
        for record in &mut deployment.records {
            match record {
                Record::Vm(vm) if vm.id.as_str() == "vm-1" => vm.address = address,
                _ => {}
            }
        }
    })
    .await;
    relay.set_target(fleet.peers[1]);
    fleet.wait_for_tokens().await;
    (fleet, relay)
}

/// Sends POST requests to one daemon and returns how many were answered with
/// status 200. Checks each outcome against the number of times that the request
/// ran: once if it was answered, never if the outcome is `not-run`, and at most
/// once otherwise.
async fn send_and_check(fleet: &Fleet, daemon: usize, batch: &str, count: usize) -> usize {
    let mut answered = 0;
    for _ in 0..count {
        // A batch may be sent repeatedly, so each request needs a run id of
        // its own.
        let id = format!("{batch}-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let answer = fleet.post(daemon, &id).await;
        let runs = fleet.runs(&id);
        match answer.outcome() {
            "" => {
                assert_eq!((answer.status, runs), (StatusCode::OK, 1), "{answer:?}");
                answered += 1;
            }
            "not-run" => assert_eq!(runs, 0, "{answer:?}"),
            _ => assert!(runs <= 1, "{answer:?}"),
        }
        tokio::time::sleep(SEND_PAUSE).await;
    }
    answered
}

#[tokio::test(flavor = "multi_thread")]
async fn one_way_cut() {
    let (fleet, relay) = relayed_fleet().await;
    // No daemon reaches the second one, but it reaches all others.
    relay.set_cut(true);
    for daemon in 0..3 {
        send_and_check(&fleet, daemon, "cut", 20).await;
    }
    // After the cut, the second daemon serves all requests again.
    relay.set_cut(false);
    let end = Instant::now() + RECOVERY_LIMIT;
    while send_and_check(&fleet, 1, "healed", 10).await < 10 {
        assert!(
            Instant::now() < end,
            "the second daemon does not recover after the cut"
        );
    }
    fleet.stop().await;
    relay.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_way_cut_spares_others() {
    let (fleet, relay) = relayed_fleet().await;
    relay.set_cut(true);
    // The other daemons serve all requests once they have detected the cut,
    // whichever daemon was the home of the account. Each has to detect for
    // itself that the path is broken.
    for daemon in [0, 2] {
        let end = Instant::now() + RECOVERY_LIMIT;
        while send_and_check(&fleet, daemon, "settle", BATCH_SIZE).await < BATCH_SIZE {
            assert!(
                Instant::now() < end,
                "the other daemons do not recover during the cut"
            );
        }
    }
    assert_eq!(
        send_and_check(&fleet, 0, "after", BATCH_SIZE).await,
        BATCH_SIZE
    );
    assert_eq!(
        send_and_check(&fleet, 2, "after", BATCH_SIZE).await,
        BATCH_SIZE
    );
    fleet.stop().await;
    relay.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_during_outage() {
    let mut fleet = Fleet::start(FleetShape::default()).await;
    fleet.platform.set_fault(PlatformFault::Down);
    fleet.daemons[2].take().unwrap().kill().await;
    // The restarted daemon has no configuration and can't learn the addresses
    // of its peers, so it refuses all requests. The others still serve.
    let platform = fleet.platform.address();
    let mut settings = harness::test_settings(2, &FleetShape::default(), platform);
    settings.peer = fleet.peers[2];
    let source = reader::HttpPlatformBuilder::new(fleet.platform.address()).feed();
    let daemon = serve::DaemonBuilder::bind(settings)
        .unwrap()
        .start(std::sync::Arc::new(source));
    let address = daemon.addresses().ingress;
    let request = fleet.request_to(address, Method::GET, "/plans/today");
    let answer = fleet.send(request).await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.outcome(), "not-run");
    let end = Instant::now() + RECOVERY_LIMIT;
    while send_and_check(&fleet, 0, "outage", 10).await < 10 {
        assert!(
            Instant::now() < end,
            "the other daemons do not serve during the outage"
        );
    }
    // It serves once the platform is reachable again.
    fleet.platform.set_fault(PlatformFault::None);
    let end = Instant::now() + RECOVERY_LIMIT;
    loop {
        let request = fleet.request_to(address, Method::GET, "/plans/today");
        match fleet.send(request).await.unwrap().status {
            StatusCode::OK => break,
            status => assert!(
                Instant::now() < end,
                "the restarted daemon still answers {status}"
            ),
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    daemon.kill().await;
    fleet.stop().await;
}
