//! Daemons that are killed and start again: what they may not forget, and what their
//! callers are told.

mod harness;

use std::time::Duration;

use config::{Record, publish_set};
use fakes::{Behaviour, PlatformStub, SetPublisher};
use harness::{Fleet, FleetShape, any_port};
use hyper::{Method, StatusCode};
use ids::Revision;
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// Time within which a change has to be in force.
const CHANGE_BOUND: Duration = Duration::from_secs(2);
/// Time limit for the start of a daemon.
const START_LIMIT: Duration = Duration::from_secs(20);

// Guards against a withdrawn key, or a server that has left, that is in use again after
// a restart: the store that the daemon reaches lags behind what its peers know.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_stays_withdrawn() {
    let shape = FleetShape {
        accounts: ["radio-one", "radio-two"]
            .map(|name| (name.to_owned(), 10_000, 10_000))
            .to_vec(),
        ..FleetShape::default()
    };
    let mut fleet = Fleet::start(shape.clone()).await;
    let stale = PlatformStub::start(any_port()).await.unwrap();
    stale.publish_vms(&fleet.deployment.vms);
    stale.publish(&publish_set(None, &fleet.deployment.records).unwrap());
    let mut records = fleet.deployment.records.clone();
    let left = records.iter().find_map(|record| match record {
        Record::Server(server) => Some(server.id.clone()),
        _ => None,
    });
    let left = left.unwrap();
    records.retain(|record| match record {
        Record::Key(key) => key.account.as_str() != "radio-two",
        Record::Server(server) => server.id != left,
        _ => true,
    });
    let mut publisher = SetPublisher::after(&fleet.deployment.records);
    fleet.platform.publish(&publisher.pack(&records));
    let newest = Revision(2);
    fleet
        .wait_until("all daemons use revision 2", |fleet| {
            let mut daemons = fleet.daemons.iter().flatten();
            daemons.all(|daemon| daemon.view().table().revision() == newest)
        })
        .await;
    let runs_before = fleet.backends[0].count();
    fleet.daemons[2].take().unwrap().kill().await;
    let restarted = fleet.restart(2, &shape, &stale);
    let started = Instant::now();
    while restarted.view().table().revision() < newest {
        assert!(started.elapsed() < CHANGE_BOUND, "the peers do not tell it");
        sleep(Duration::from_millis(10)).await;
    }
    let addresses = [
        restarted.addresses().ingress,
        fleet.daemon(0).addresses().ingress,
        fleet.daemon(1).addresses().ingress,
    ];
    for round in 0..60 {
        let ingress = addresses[round % 3];
        let request = fleet
            .request_to(ingress, Method::GET, "/plans/today")
            .key("key-of-radio-two");
        let answer = fleet.send(request).await.unwrap();
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{answer:?}");
        let request = fleet.request_to(ingress, Method::GET, "/plans/today");
        fleet.send(request).await.unwrap();
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(
        fleet.backends[0].count(),
        runs_before,
        "the server had left"
    );
    assert_eq!(restarted.view().table().revision(), newest);
    restarted.kill().await;
    fleet.stop().await;
    stale.stop().await;
}

/// Daemon that is killed while a request runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum KilledSide {
    /// The one beside the backend server.
    Egress,
    /// The one that the caller uses.
    Ingress,
}

// Guards against work that runs again, or whose caller is told that it has not run,
// after its answer was lost with a daemon that starts again at once.
#[test_case(KilledSide::Egress, Method::POST; "egress and post")]
#[test_case(KilledSide::Egress, Method::GET; "egress and lookup")]
#[test_case(KilledSide::Ingress, Method::POST; "ingress and post")]
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_unknown(side: KilledSide, method: Method) {
    let shape = FleetShape {
        servers: 1,
        ..FleetShape::default()
    };
    let mut fleet = Fleet::start(shape.clone()).await;
    fleet.backends[0].hold();
    fleet.backends[0].set_behaviour(Behaviour::Held);
    let idempotent = method == Method::GET;
    let request = fleet.request(1, method, "/plans/book").run_id("lost");
    let client = fleet.client.clone();
    let running = tokio::spawn(async move { harness::send_with(&client, request).await });
    fleet
        .wait_until("the request runs", |fleet| fleet.runs("lost") == 1)
        .await;
    let index = match side {
        KilledSide::Egress => 0,
        KilledSide::Ingress => 1,
    };
    fleet.daemons[index].take().unwrap().kill().await;
    let restarted = fleet.restart(index, &shape, &fleet.platform);
    let end = Instant::now() + START_LIMIT;
    while !restarted.view().is_ready() {
        assert!(Instant::now() < end, "no configuration");
        sleep(Duration::from_millis(10)).await;
    }
    fleet.backends[0].release();
    // The caller of the killed ingress sees its connection end, which promises
    // nothing.
    if let Ok(answer) = running.await.unwrap() {
        match answer.status {
            StatusCode::OK => assert!(idempotent, "{answer:?}"),
            _ => assert_eq!(answer.outcome(), "unknown", "{answer:?}"),
        }
    }
    sleep(Duration::from_millis(300)).await;
    let runs = fleet.runs("lost");
    assert!(runs == 1 || (idempotent && runs == 2), "{runs} runs");
    restarted.kill().await;
    fleet.stop().await;
}
