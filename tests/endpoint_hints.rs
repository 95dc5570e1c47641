//! Health endpoints of backend servers, whose answers lag behind and can be
//! misleading.

mod harness;

use std::time::Duration;

use config::Record;
use fakes::Behaviour;
use harness::{Fleet, FleetShape};
use hyper::{Method, StatusCode};
use serde_json::Value;

/// Path of the health endpoints.
const HEALTH_PATH: &str = "/health";
/// Number of requests in a check that no server is ejected.
const REQUEST_COUNT: usize = 300;

/// Starts a fleet of three backend servers with health endpoints and sends
/// requests to all of them.
async fn probed_fleet() -> Fleet {
    // All servers are in one zone, since a daemon prefers the servers of its
    // own zone.
    let shape = FleetShape {
        zones: 1,
        ..FleetShape::default()
    };
    let fleet = Fleet::start_with(shape, |deployment| {
        for record in &mut deployment.records {
            if let Record::Service(service) = record {
                service.health_path = Some(HEALTH_PATH.into());
                service.floor = ids::Percent(50);
            }
        }
    })
    .await;
    for round in 0..90 {
        fleet.get(round % 3, "/plans/today").await;
    }
    fleet
}

/// Returns the weight of a backend server from the state dump of a daemon.
async fn weight(fleet: &Fleet, daemon: usize, server: &str) -> f64 {
    let admin = fleet.daemon(daemon).addresses().admin;
    let page = fleet
        .send(fleet.request_to(admin, Method::GET, "/dump"))
        .await
        .unwrap();
    let dump: Value = serde_json::from_slice(&page.body).unwrap();
    let pools = dump["pools"].as_array().unwrap().iter();
    let mut servers = pools.flat_map(|pool| pool["servers"].as_array().unwrap());
    let entry = servers.find(|entry| entry["server"] == server);
    entry.unwrap()["weight"].as_f64().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn dead_server_without_traffic() {
    let mut fleet = probed_fleet().await;
    fleet.backends.remove(0).stop().await;
    let end = tokio::time::Instant::now() + Duration::from_secs(20);
    for daemon in 0..3 {
        while weight(&fleet, daemon, "plans-0").await > 0.0 {
            assert!(
                tokio::time::Instant::now() < end,
                "daemon {daemon} has not ejected the dead server"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_health_ejects_nobody() {
    let fleet = probed_fleet().await;
    for behaviour in [Behaviour::Status(500), Behaviour::HangBeforeHead] {
        fleet.backends[0].set_path_behaviour(HEALTH_PATH, behaviour);
        for round in 0..REQUEST_COUNT {
            let answer = fleet.get(round % 3, "/plans/today").await;
            assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        for daemon in 0..3 {
            assert_eq!(weight(&fleet, daemon, "plans-0").await, 1.0);
        }
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn good_health_is_ignored() {
    let fleet = probed_fleet().await;
    fleet.backends[0].set_path_behaviour(HEALTH_PATH, Behaviour::Answer);
    fleet.backends[0].set_behaviour(Behaviour::Status(500));
    let end = tokio::time::Instant::now() + Duration::from_secs(20);
    let mut round = 0;
    while weight(&fleet, 0, "plans-0").await > 0.0 {
        assert!(
            tokio::time::Instant::now() < end,
            "the failing server was not ejected"
        );
        round += 1;
        fleet.get(round % 3, "/plans/today").await;
    }
    fleet.stop().await;
}
