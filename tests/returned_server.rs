//! A backend server that leaves the configuration and comes back, as its entry
//! does when the store was away for longer than a lease.

mod harness;

use config::{Changes, ConfigTable, PackedValue, Record, TableBuilder, parse_changes, publish_set};
use harness::{Fleet, FleetShape};
use hyper::StatusCode;
use ids::Revision;

/// Publishes one set of records after another.
struct Publisher<'a> {
    fleet: &'a Fleet,
    before: Option<(ConfigTable, Changes)>,
    revision: u64,
}

impl<'a> Publisher<'a> {
    /// A publisher that goes on from the fleet's deployment.
    fn new(fleet: &'a Fleet) -> Self {
        let mut publisher = Self {
            fleet,
            before: None,
            revision: 0,
        };
        publisher.pack(&fleet.deployment.records);
        publisher
    }

    /// Makes the next revision, and its values.
    fn pack(&mut self, records: &[Record]) -> Vec<PackedValue> {
        let before = self.before.as_ref();
        let before = before.map(|(table, changes)| (table, changes));
        let values = publish_set(before, records).unwrap();
        let changes = values.iter().find(|value| value.name == "changes").unwrap();
        self.revision += 1;
        let mut builder = TableBuilder::new();
        for record in records {
            builder.put(record.clone()).unwrap();
        }
        let state = builder.state();
        let table = builder.finish(Revision(self.revision), state).unwrap();
        self.before = Some((table, parse_changes(&changes.bytes).unwrap()));
        values
    }

    /// Publishes the records, and waits until they are in force everywhere.
    async fn publish(&mut self, records: &[Record]) {
        let values = self.pack(records);
        self.fleet.platform.publish(&values);
        let revision = Revision(self.revision);
        self.fleet
            .wait_until("revision in force", |fleet| {
                let mut daemons = fleet.daemons.iter().flatten();
                daemons.all(|daemon| daemon.view().table().revision() == revision)
            })
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_again_after_its_return() {
    let fleet = Fleet::start(FleetShape::single()).await;
    fleet
        .wait_for_answer(0, "/plans/before", StatusCode::OK)
        .await;
    let mut publisher = Publisher::new(&fleet);
    let mut without = fleet.deployment.records.clone();
    without.retain(|record| !matches!(record, Record::Server(_)));
    publisher.publish(&without).await;
    let answer = fleet.get(0, "/plans/gone").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.outcome(), "not-run");
    publisher.publish(&fleet.deployment.records).await;
    fleet
        .wait_for_answer(0, "/plans/after", StatusCode::OK)
        .await;
    fleet.stop().await;
}
