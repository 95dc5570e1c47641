//! A backend server that is removed from the configuration and added again.
//! This happens to its entry if the store is unavailable for longer than a
//! lease.

mod harness;

use config::Record;
use fakes::SetPublisher;
use harness::{Fleet, FleetShape};
use hyper::StatusCode;

/// Publishes records and waits until all daemons use them.
async fn publish(fleet: &Fleet, publisher: &mut SetPublisher, records: &[Record]) {
    fleet.platform.publish(&publisher.pack(records));
    let revision = publisher.revision();
    fleet
        .wait_until("all daemons use the revision", |fleet| {
            let mut daemons = fleet.daemons.iter().flatten();
            daemons.all(|daemon| daemon.view().table().revision() == revision)
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn returned_server_serves() {
    let fleet = Fleet::start(FleetShape::single()).await;
    fleet
        .wait_for_answer(0, "/plans/before", StatusCode::OK)
        .await;
    let mut publisher = SetPublisher::after(&fleet.deployment.records);
    let mut without = fleet.deployment.records.clone();
    without.retain(|record| !matches!(record, Record::Server(_)));
    publish(&fleet, &mut publisher, &without).await;
    let answer = fleet.get(0, "/plans/gone").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.outcome(), "not-run");
    publish(&fleet, &mut publisher, &fleet.deployment.records).await;
    fleet
        .wait_for_answer(0, "/plans/after", StatusCode::OK)
        .await;
    fleet.stop().await;
}
