//! Requests that may be run in some regions only, by their route, their account or
//! both.

mod harness;

use std::time::Duration;

use bytes::Bytes;
use config::{Access, Record};
use fakes::{Behaviour, Deployment};
use harness::{Answer, Fleet, FleetShape};
use hyper::{Method, StatusCode};
use ids::{Percent, RegionId};
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// Time limit for an event that a test expects.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Returns the regions with these names.
fn regions(names: &[&str]) -> Vec<RegionId> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Puts `zone-2` into the region `south` and the others into `north`, and sets the homes
/// of the route and of the account. The route is open if the account has none, so that
/// the test does not wait for rate tokens.
fn set_homes(deployment: &mut Deployment, route_homes: &[&str], account_homes: &[&str]) {
    for record in &mut deployment.records {
        match record {
            Record::Zone(zone) => {
                zone.region = match zone.id.as_str() {
                    "zone-2" => "south".parse().unwrap(),
                    _ => "north".parse().unwrap(),
                };
            }
            Record::Route(route) => {
                route.terms.homes = regions(route_homes);
                if account_homes.is_empty() {
                    route.access = Access::Open;
                }
            }
            Record::Account(account) => account.homes = regions(account_homes),
            Record::Service(service) => service.retry_budget = Percent(100),
            _ => {}
        }
    }
}

/// Returns the numbers of requests that reached each backend server.
fn counts(fleet: &Fleet) -> Vec<u64> {
    fleet.backends.iter().map(|stub| stub.count()).collect()
}

/// Sends a request to a daemon.
async fn send(fleet: &Fleet, daemon: usize, method: Method) -> Answer {
    fleet
        .send(fleet.request(daemon, method, "/plans/today"))
        .await
        .unwrap()
}

// Guards against requests that leave the homes of their route, whichever daemon the
// caller uses.
#[tokio::test(flavor = "multi_thread")]
async fn route_homes_kept() {
    let change = |deployment: &mut Deployment| set_homes(deployment, &["south"], &[]);
    let fleet = Fleet::start_configured(FleetShape::default(), change).await;
    for round in 0..30 {
        let method = [Method::GET, Method::POST][round % 2].clone();
        let answer = send(&fleet, round % 3, method).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    assert_eq!(counts(&fleet), [0, 0, 30]);
    fleet.stop().await;
}

// Guards against homes of which only those of the route or of the account apply. The
// requests that wait for rate tokens count as well.
#[test_case(&["south", "north"], &["south"]; "account is narrower")]
#[test_case(&[], &["south"]; "account alone")]
#[test_case(&["south"], &["north", "south"]; "route is narrower")]
#[tokio::test(flavor = "multi_thread")]
async fn account_homes_kept(route: &'static [&str], account: &'static [&str]) {
    let change = |deployment: &mut Deployment| set_homes(deployment, route, account);
    let fleet = Fleet::start_with(FleetShape::default(), change).await;
    for round in 0..15 {
        let answer = send(&fleet, round % 3, Method::GET).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    assert_eq!(counts(&fleet)[..2], [0, 0]);
    fleet.stop().await;
}

// Guards against a second try, a hedge or a last resort outside the homes when the home
// fails.
#[test_case(Behaviour::CloseBeforeHead; "closes")]
#[test_case(Behaviour::Status(500); "fails")]
#[test_case(Behaviour::Shed(None); "sheds")]
#[test_case(Behaviour::CloseMidBody; "breaks off")]
#[test_case(Behaviour::SometimesSlow(3, Duration::from_millis(400)); "slow at times")]
#[tokio::test(flavor = "multi_thread")]
async fn failing_home(behaviour: Behaviour) {
    let change = |deployment: &mut Deployment| set_homes(deployment, &["south"], &[]);
    let fleet = Fleet::start_configured(FleetShape::default(), change).await;
    fleet.backends[2].set_behaviour(behaviour);
    for round in 0..12 {
        let request = fleet.request(round % 3, Method::GET, "/plans/today");
        // Whether and how it is answered is not the subject of this test.
        let _ = fleet.send(request).await;
    }
    assert_eq!(counts(&fleet)[..2], [0, 0]);
    assert!(counts(&fleet)[2] > 0);
    fleet.stop().await;
}

// Guards against requests that wait, or are run elsewhere, where no server is in both
// lists of homes; and against an operator who is not told.
#[tokio::test(flavor = "multi_thread")]
async fn no_common_home() {
    let change = |deployment: &mut Deployment| set_homes(deployment, &["south"], &["north"]);
    let fleet = Fleet::start_configured(FleetShape::default(), change).await;
    for method in [Method::GET, Method::POST] {
        let answer = send(&fleet, 0, method).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(answer.outcome(), "not-run");
        let reason = answer.header("dogwoodshore-reason");
        assert_eq!(reason, "no backend server in the allowed regions");
        assert_ne!(answer.header("retry-after"), "");
    }
    assert_eq!(counts(&fleet), [0, 0, 0]);
    let admin = fleet.daemon(0).addresses().admin;
    let request = fleet.request_to(admin, Method::GET, "/metrics");
    let page = fleet.send(request).await.unwrap().body;
    let page = String::from_utf8_lossy(&page);
    assert!(page.contains("dogwoodshore_unserved_homes 1\n"), "{page}");
    fleet.stop().await;
}

// Guards against a request that leaves its home because that is full, or that is
// refused without a time to come back.
#[tokio::test(flavor = "multi_thread")]
async fn full_home_refuses() {
    let shape = FleetShape {
        slots: 1,
        ..FleetShape::default()
    };
    let fleet = Fleet::start_configured(shape, |deployment| {
        set_homes(deployment, &["south"], &[]);
        for record in &mut deployment.records {
            if let Record::Route(route) = record {
                route.terms.timeout_ms = Some(2_000);
            }
        }
    })
    .await;
    fleet.backends[2].hold();
    fleet.backends[2].set_behaviour(Behaviour::Held);
    let first = async {
        let answer = send(&fleet, 0, Method::POST).await;
        assert_ne!(answer.status, StatusCode::OK);
    };
    let second = async {
        let end = Instant::now() + WAIT_LIMIT;
        while fleet.backends[2].running() == 0 {
            assert!(Instant::now() < end, "the first request does not run");
            sleep(Duration::from_millis(5)).await;
        }
        let answer = send(&fleet, 1, Method::POST).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
        assert_eq!(answer.outcome(), "not-run");
        assert_ne!(answer.header("retry-after"), "");
    };
    tokio::join!(first, second);
    assert_eq!(counts(&fleet), [0, 0, 1]);
    fleet.backends[2].release();
    fleet.stop().await;
}

// Guards against a download that breaks off and is resumed outside its homes.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_at_home() {
    let body: Bytes = (0..3_000_000_u32).map(|byte| (byte % 251) as u8).collect();
    let shape = FleetShape {
        body: body.clone(),
        ..FleetShape::default()
    };
    let change = |deployment: &mut Deployment| set_homes(deployment, &["north"], &[]);
    let fleet = Fleet::start_configured(shape, change).await;
    fleet.backends[0].set_behaviour(Behaviour::CloseMidBody);
    for round in 0..9 {
        let answer = send(&fleet, round % 3, Method::GET).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.body == body, "the body differs from the file");
    }
    let counts = counts(&fleet);
    assert_eq!(counts[2], 0, "{counts:?}");
    assert!(counts[0] > 0 && counts[1] > 0, "{counts:?}");
    fleet.stop().await;
}
