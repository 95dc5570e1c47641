//! Requests that pass from a caller through ingress and egress to a backend
//! server.

mod harness;

use harness::{Fleet, FleetShape, KEY};
use hyper::{Method, StatusCode};

#[tokio::test(flavor = "multi_thread")]
async fn three_daemons() {
    let fleet = Fleet::start(FleetShape::default()).await;
    for round in 0..30 {
        let answer = fleet.get(round % 3, "/plans/today").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(answer.body, "break plan");
        assert_eq!(answer.outcome(), "");
    }
    // Every backend server gets requests, whichever VM it is on.
    assert!(fleet.backends.iter().all(|backend| backend.count() > 0));
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn key_stripped() {
    let fleet = Fleet::start(FleetShape::default()).await;
    for daemon in 0..3 {
        let request = fleet
            .request(daemon, Method::GET, "/plans/today")
            .header("x-api-key", KEY)
            .header("dogwoodshore-account", "somebody-else")
            .header("dogwoodshore-attempt", "00")
            .header("idempotency-key", "spot-17")
            .run_id(&format!("strip-{daemon}"));
        let answer = fleet.send(request).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
    }
    let heads: Vec<String> = fleet
        .backends
        .iter()
        .flat_map(|backend| backend.heads())
        .collect();
    assert_eq!(heads.len(), 3);
    for head in heads {
        assert!(!head.contains(KEY), "{head}");
        assert!(!head.contains("somebody-else"), "{head}");
        assert!(head.contains("\"idempotency-key\": \"spot-17\""), "{head}");
        assert!(!head.contains("dogwoodshore-attempt"), "{head}");
        assert!(
            head.contains("\"dogwoodshore-account\": \"radio-one\""),
            "{head}"
        );
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_keys() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let new_request = || {
        fleet
            .request(0, Method::GET, "/plans/today")
            .run_id("bad-key")
    };
    for request in [
        new_request().no_key(),
        new_request().key("nonsense"),
        new_request().key(""),
    ] {
        let answer = fleet.send(request).await.unwrap();
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
        assert_eq!(answer.outcome(), "not-run");
    }
    assert_eq!(fleet.runs("bad-key"), 0);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_route() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let answer = fleet.get(0, "/elsewhere").await;
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    assert_eq!(answer.outcome(), "not-run");
    // The prefix of a route matches only whole path segments.
    let answer = fleet.get(0, "/plansandmore").await;
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    fleet.stop().await;
}
