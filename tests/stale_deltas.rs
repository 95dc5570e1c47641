//! Deltas that lead from another configuration than the one in force.

mod harness;

use std::{sync::Arc, time::Duration};

use config::{Access, ConfigTable, Record, TableBuilder, VmList, delta_between, diff_records};
use error_stack::Report;
use fakes::{BackendStub, Deployment, DeploymentShape, ServiceShape};
use futures::future::BoxFuture;
use harness::{FleetShape, any_port, new_client, test_settings};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use ids::Revision;
use reader::{ConfigFeed, PlatformError, ReadOutcome};
use serve::{Daemon, DaemonBuilder};
use tokio::{
    sync::{Mutex, mpsc},
    time::Instant,
};

/// Time limit for an event that the test expects.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Feed that returns what the test sends.
struct ScriptedFeed(Mutex<mpsc::UnboundedReceiver<ReadOutcome>>);

impl ConfigFeed for ScriptedFeed {
    fn read_config(
        &self,
        _current: Arc<ConfigTable>,
    ) -> BoxFuture<'_, Result<ReadOutcome, Report<PlatformError>>> {
        Box::pin(async { Ok(ReadOutcome::Current) })
    }

    fn watch_config(
        &self,
        _current: Arc<ConfigTable>,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ReadOutcome, Report<PlatformError>>> {
        Box::pin(async move {
            let mut outcomes = self.0.lock().await;
            let outcome = tokio::time::timeout(wait, outcomes.recv()).await;
            Ok(outcome.ok().flatten().unwrap_or(ReadOutcome::Current))
        })
    }

    fn read_vms(
        &self,
        _current: Arc<VmList>,
    ) -> BoxFuture<'_, Result<Option<VmList>, Report<PlatformError>>> {
        Box::pin(async { Ok(None) })
    }

    fn watch_vms(
        &self,
        _wait: Duration,
    ) -> BoxFuture<'_, Result<Option<VmList>, Report<PlatformError>>> {
        Box::pin(std::future::pending())
    }
}

/// Returns a table in which all zones are evacuated, or none.
fn table(records: &[Record], revision: u64, evacuated: bool) -> Arc<ConfigTable> {
    let mut builder = TableBuilder::new();
    for record in records {
        let mut record = record.clone();
        match &mut record {
            Record::Zone(zone) => zone.evacuated = evacuated,
            Record::Route(route) => route.access = Access::Open,
            _ => {}
        }
        builder.put(record).unwrap();
    }
    let state = builder.state_digest();
    Arc::new(builder.finish(Revision(revision), state).unwrap())
}

/// Returns a newer table with the delta that leads to it from `before`.
fn newer(before: &ConfigTable, table: &Arc<ConfigTable>) -> ReadOutcome {
    let difference = diff_records(&before.records(), &table.records());
    let delta = delta_between(before, table, difference);
    ReadOutcome::Newer {
        table: Arc::clone(table),
        deltas: delta.into_iter().collect(),
    }
}

/// Sends requests until one has the status.
async fn wait_for(daemon: &Daemon, status: StatusCode) {
    let client = new_client();
    let uri = format!("http://{}/plans/today", daemon.addresses().ingress);
    let end = Instant::now() + WAIT_LIMIT;
    loop {
        let request = Request::get(&uri).body(Full::default()).unwrap();
        let response = client.request(request).await.unwrap();
        if response.status() == status {
            return;
        }
        assert!(Instant::now() < end, "no status {status}: {response:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

// Guards against queues that stay drained after an evacuation: a table that was built
// while an older one was in force comes with a delta that does not have the end of the
// evacuation, since the older one did not have its beginning.
#[tokio::test(flavor = "multi_thread")]
async fn older_base() {
    let backend = BackendStub::start(any_port(), "break plan");
    let backend = backend.await.unwrap();
    let settings = test_settings(0, &FleetShape::single(), any_port());
    let builder = DaemonBuilder::bind(settings).unwrap();
    let shape = DeploymentShape {
        zones: 1,
        daemons: vec![builder.addresses().peer],
        services: vec![ServiceShape {
            name: "plans".to_owned(),
            servers: vec![backend.address()],
            slots: 5,
        }],
        accounts: Vec::new(),
    };
    let records = Deployment::new(&shape, harness::SECRET.as_bytes()).records;
    let (outcomes, receiver) = mpsc::unbounded_channel();
    let daemon = builder.start(Arc::new(ScriptedFeed(Mutex::new(receiver))));
    let first = table(&records, 1, false);
    let evacuated = table(&records, 2, true);
    let last = table(&records, 3, false);
    outcomes
        .send(newer(&ConfigTable::default(), &first))
        .unwrap();
    wait_for(&daemon, StatusCode::OK).await;
    outcomes.send(newer(&first, &evacuated)).unwrap();
    wait_for(&daemon, StatusCode::SERVICE_UNAVAILABLE).await;
    outcomes.send(newer(&first, &last)).unwrap();
    wait_for(&daemon, StatusCode::OK).await;
    daemon.stop().await;
    backend.stop().await;
}
