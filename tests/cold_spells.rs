//! Begin and end of the time for which a backend server counts as cold.

mod harness;

use std::time::{Duration, Instant};

use config::{ColdTerms, Record};
use fakes::{BackendStub, PlatformFault};
use futures::future::join_all;
use harness::{Answer, Fleet, FleetShape};
use hyper::StatusCode;
use ids::RequestRate;

/// Time after which a spell ends without the platform: 5 s until the configuration no
/// longer counts as recent, 3 s for which its last notice holds, and slack.
const END_LIMIT: Duration = Duration::from_secs(15);

/// Most requests that a cold server may get in a second at 2/s.
const ALLOWED: u64 = 11;

/// Starts a fleet of one daemon and one backend server, whose service has cold terms.
async fn start_fleet(cold: bool) -> Fleet {
    let shape = FleetShape {
        slots: 64,
        ..FleetShape::single()
    };
    Fleet::start_configured(shape, |deployment| {
        for record in &mut deployment.records {
            match record {
                Record::Service(service) => {
                    service.cold = Some(ColdTerms {
                        after_start_ms: 3_000,
                        rate: RequestRate::from_thousandths(2_000),
                    });
                }
                Record::Server(server) => server.cold = cold,
                _ => {}
            }
        }
    })
    .await
}

/// Sends requests at once and returns the refusals of a cold server.
async fn send_burst(fleet: &Fleet) -> Vec<Answer> {
    let answers = join_all((0..60).map(|_| fleet.get(0, "/plans/x"))).await;
    let is_cold = |answer: &Answer| answer.header("dogwoodshore-reason") == "cold";
    answers.into_iter().filter(is_cold).collect()
}

// Guards against a server that is throttled when it is first used, long after its start
// and that of the daemon.
#[tokio::test(flavor = "multi_thread")]
async fn warm_at_first_sight() {
    let fleet = start_fleet(false).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    fleet.wait_for_tokens().await;
    // The account may have few tokens right after the start.
    let end = Instant::now() + END_LIMIT;
    while fleet.backends[0].count() < 60 {
        let refused = send_burst(&fleet).await;
        assert!(refused.is_empty(), "{refused:?}");
        assert!(Instant::now() < end, "{} served", fleet.backends[0].count());
    }
    fleet.stop().await;
}

// Guards against a server that stays throttled for as long as the platform is down, and
// against one that is no longer held to its rate while the platform still says that it
// is cold.
#[tokio::test(flavor = "multi_thread")]
async fn spell_ends_without_platform() {
    let fleet = start_fleet(true).await;
    fleet.wait_for_tokens().await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert!(!send_burst(&fleet).await.is_empty(), "the spell has ended");
    fleet.platform.set_fault(PlatformFault::Errors);
    assert!(
        !send_burst(&fleet).await.is_empty(),
        "the spell ends at once"
    );
    let end = Instant::now() + END_LIMIT;
    while !send_burst(&fleet).await.is_empty() {
        assert!(Instant::now() < end, "the spell does not end");
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let answer = fleet.get(0, "/plans/x").await;
    assert_eq!(answer.status, StatusCode::OK);
    fleet.stop().await;
}

// Guards against a server that starts again under its name and gets its full load,
// because the platform says only later that it is cold.
#[tokio::test(flavor = "multi_thread")]
async fn restart_is_noticed() {
    let mut fleet = start_fleet(false).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    fleet.wait_for_tokens().await;
    let address = fleet.backends[0].address();
    fleet.backends.remove(0).stop().await;
    let answer = fleet.get(0, "/plans/x").await;
    assert_eq!(answer.outcome(), "not-run", "{answer:?}");
    let server = BackendStub::start(address, "break plan").await.unwrap();
    fleet.backends.push(server);
    let end = Instant::now() + Duration::from_millis(900);
    while Instant::now() < end {
        send_burst(&fleet).await;
    }
    let sent = fleet.backends[0].count();
    assert!(sent <= ALLOWED, "{sent} in a second");
    fleet.stop().await;
}
