//! The reported load of a backend server must not keep requests away for good,
//! once it is stale.

mod harness;

use std::time::Duration;

use config::Record;
use fakes::Behaviour;
use harness::{Fleet, FleetShape};
use hyper::Method;
use tokio::time::{Instant, sleep};

/// Maximum wait for a condition that a test expects.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Time that a backend server takes for a lookup.
const LOOKUP_TIME: Duration = Duration::from_millis(20);

/// Sends lookups through the third daemon until the first backend server gets
/// one.
async fn send_until_first_is_used(fleet: &Fleet) {
    let before = fleet.backends[0].runs("lookup");
    let end = Instant::now() + WAIT_LIMIT;
    while fleet.backends[0].runs("lookup") == before {
        assert!(Instant::now() < end, "the first server gets no requests");
        let request = fleet.request(2, Method::GET, "/plans/today");
        fleet.send(request.run_id("lookup")).await.unwrap();
        sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn busy_server_is_used_again() {
    // The third daemon has no server on its VM, so it prefers neither.
    let shape = FleetShape {
        zones: 1,
        servers: 2,
        slots: 4,
        ..FleetShape::default()
    };
    let fleet = Fleet::start_with(shape, |deployment| {
        for record in &mut deployment.records {
            if let Record::Service(service) = record {
                // A hedge could reach the first server regardless of its
                // load.
                service.hedge = false;
            }
        }
    })
    .await;
    for backend in &fleet.backends {
        backend.set_behaviour(Behaviour::Slow(LOOKUP_TIME));
    }
    let first = &fleet.backends[0];
    first.hold();
    first.set_path_behaviour("/plans/held", Behaviour::Held);
    let hold = async {
        // The first daemon prefers the server on its VM, which is the first.
        let held = (0..3).map(|_| {
            let request = fleet.request(0, Method::POST, "/plans/held");
            fleet.send(request)
        });
        futures::future::join_all(held).await;
    };
    let load = async {
        fleet
            .wait_until("two requests are held", |fleet| {
                fleet.backends[0].running() >= 2
            })
            .await;
        // The answer tells the third daemon the load of the first server.
        send_until_first_is_used(&fleet).await;
        fleet.backends[0].release();
    };
    tokio::join!(hold, load);
    fleet
        .wait_until("the first server is idle", |fleet| {
            fleet.backends[0].running() == 0
        })
        .await;
    send_until_first_is_used(&fleet).await;
    fleet.stop().await;
}
