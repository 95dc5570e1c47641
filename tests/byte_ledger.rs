//! Counts of the bytes that daemons send each other, by kind and distance.

mod harness;

use harness::{Fleet, FleetShape};
use hyper::{Method, StatusCode};

/// Number of requests that cross zones.
const REQUEST_COUNT: f64 = 12.0;

/// Returns the value of a metric with these labels at a daemon, zero if it has none.
async fn count(fleet: &Fleet, daemon: usize, name: &str, kind: &str, distance: &str) -> f64 {
    let admin = fleet.daemon(daemon).addresses().admin;
    let page = fleet
        .send(fleet.request_to(admin, Method::GET, "/metrics"))
        .await
        .unwrap();
    let text = String::from_utf8(page.body.to_vec()).unwrap();
    let wanted = format!("{name}_total{{kind=\"{kind}\",distance=\"{distance}\"}} ");
    let mut values = text.lines().filter_map(|line| line.strip_prefix(&wanted));
    values
        .next()
        .map_or(0.0, |value| value.trim().parse().unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn kinds_and_distances() {
    // The only backend server is beside the first daemon, and callers use the other.
    let shape = FleetShape {
        daemons: 2,
        zones: 2,
        servers: 1,
        ..FleetShape::default()
    };
    let fleet = Fleet::start(shape).await;
    let body_bytes = "break plan".len() as f64;
    // The start of a fleet sends requests as well.
    let parts = "dogwoodshore_peer_part_bytes";
    let before = count(&fleet, 0, parts, "answer_body", "region").await;
    for _ in 0..REQUEST_COUNT as usize {
        let answer = fleet.get(1, "/plans/today").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(answer.body.len() as f64, body_bytes);
    }
    let sent = "dogwoodshore_peer_sent_bytes";
    for kind in ["offer", "request"] {
        let bytes = count(&fleet, 1, sent, kind, "region").await;
        assert!(bytes > REQUEST_COUNT * 40.0, "{kind}: {bytes}");
    }
    for kind in ["reply", "answer"] {
        let bytes = count(&fleet, 0, sent, kind, "region").await;
        assert!(bytes > REQUEST_COUNT * 40.0, "{kind}: {bytes}");
    }
    let bodies = count(&fleet, 0, parts, "answer_body", "region").await;
    assert_eq!(bodies - before, REQUEST_COUNT * body_bytes);
    for distance in ["zone", "local"] {
        for kind in ["offer", "request", "answer"] {
            let bytes = count(&fleet, 1, sent, kind, distance).await;
            assert_eq!(bytes, 0.0, "{kind} {distance}");
        }
    }
    let opened = "dogwoodshore_peer_connections_opened";
    assert!(count(&fleet, 1, opened, "connection", "region").await >= 1.0);
    fleet.stop().await;
}
