//! One-way cuts and restarts during an outage, through real daemons.

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

/// Number of the next request.
static NEXT_ID: AtomicU64 = AtomicU64::new(0);
/// Requests of a wave, and the pause after each: what fails within 100 ms
/// counts as one event, so a wave has to last for many of those.
const WAVE: usize = 40;
const PACE: Duration = Duration::from_millis(25);
/// Time for a fleet to settle after a change.
const SETTLE: Duration = Duration::from_secs(30);

/// A fleet in which all that others send to the second daemon passes a relay.
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

/// Sends POSTs to one daemon; each must be answered, or not run at all.
async fn check_truth(fleet: &Fleet, daemon: usize, wave: &str, count: usize) -> usize {
    let mut answered = 0;
    for _ in 0..count {
        // A wave may be sent again; each request is counted by its own name.
        let id = format!("{wave}-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
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
        tokio::time::sleep(PACE).await;
    }
    answered
}

#[tokio::test(flavor = "multi_thread")]
async fn one_way_cut() {
    let (fleet, relay) = relayed_fleet().await;
    // Nobody reaches the second daemon; it reaches everybody.
    relay.set_cut(true);
    for daemon in 0..3 {
        check_truth(&fleet, daemon, "cut", 20).await;
    }
    // All is as before when the cut ends.
    relay.set_cut(false);
    let end = Instant::now() + SETTLE;
    while check_truth(&fleet, 1, "healed", 10).await < 10 {
        assert!(Instant::now() < end, "the daemon does not recover");
    }
    fleet.stop().await;
    relay.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_way_cut_spares_others() {
    let (fleet, relay) = relayed_fleet().await;
    relay.set_cut(true);
    // The others go on as before once they know, whoever was the home: each
    // has to find for itself that the path is broken.
    for daemon in [0, 2] {
        let end = Instant::now() + SETTLE;
        while check_truth(&fleet, daemon, "settle", WAVE).await < WAVE {
            assert!(Instant::now() < end, "the other daemons do not recover");
        }
    }
    assert_eq!(check_truth(&fleet, 0, "after", WAVE).await, WAVE);
    assert_eq!(check_truth(&fleet, 2, "after", WAVE).await, WAVE);
    fleet.stop().await;
    relay.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_during_outage() {
    let mut fleet = Fleet::start(FleetShape::default()).await;
    fleet.platform.set_fault(PlatformFault::Down);
    fleet.daemons[2].take().unwrap().kill().await;
    // It comes back with nothing and can't learn where its peers are, so it
    // serves nobody; the others go on.
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
    let end = Instant::now() + SETTLE;
    while check_truth(&fleet, 0, "outage", 10).await < 10 {
        assert!(Instant::now() < end, "the others do not go on");
    }
    // With the platform back it serves.
    fleet.platform.set_fault(PlatformFault::None);
    let end = Instant::now() + SETTLE;
    loop {
        let request = fleet.request_to(address, Method::GET, "/plans/today");
        match fleet.send(request).await.unwrap().status {
            StatusCode::OK => break,
            status => assert!(Instant::now() < end, "{status}"),
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    daemon.kill().await;
    fleet.stop().await;
}
