//! Faults of the platform: a read returns an error, and the last valid
//! configuration remains usable.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use config::{ConfigTable, PackedValue, publish_set};
use fakes::{Deployment, DeploymentShape, DropRelay, PlatformFault, PlatformStub};
use ids::Revision;
use reader::{ConfigReader, HttpPlatformBuilder, PlatformError, PlatformSource, ReadOutcome};
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_millis(300);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn values(rate: u64) -> Vec<PackedValue> {
    let shape = DeploymentShape {
        zones: 1,
        daemons: vec![SocketAddr::from(([127, 0, 0, 1], 7_000))],
        services: Vec::new(),
        accounts: vec![("radio-one".to_owned(), rate, 10)],
    };
    publish_set(None, &Deployment::new(&shape, b"secret").records).unwrap()
}

async fn start() -> (PlatformStub, ConfigReader, Arc<dyn PlatformSource>) {
    let stub = PlatformStub::start(any_port()).await.unwrap();
    stub.publish(&values(10));
    let client = HttpPlatformBuilder::new(stub.address())
        .read_timeout(TIMEOUT)
        .build();
    let source: Arc<dyn PlatformSource> = Arc::new(client);
    (stub, ConfigReader::new(Arc::clone(&source)), source)
}

async fn first_table(reader: &ConfigReader) -> Arc<ConfigTable> {
    match reader.read_newer(&ConfigTable::default()).await.unwrap() {
        ReadOutcome::Newer { table, .. } => table,
        ReadOutcome::Current => panic!("the first read returned no table"),
    }
}

#[test_case(PlatformFault::Down; "down")]
#[test_case(PlatformFault::Hang; "hangs")]
#[test_case(PlatformFault::HalfAnswer; "half an answer")]
#[test_case(PlatformFault::Errors; "errors")]
#[test_case(PlatformFault::NoRevision; "no revision")]
#[test_case(PlatformFault::TooLarge; "too large")]
#[test_case(PlatformFault::Garbage; "garbage")]
#[tokio::test]
async fn fault_is_an_error(fault: PlatformFault) {
    let (stub, reader, source) = start().await;
    let table = first_table(&reader).await;
    stub.set_fault(fault);
    let error = reader.read_newer(&table).await.unwrap_err();
    assert!(!error.current_context().to_string().is_empty());
    let vms = reader.read_vms(&config::VmList::default()).await;
    assert!(vms.is_err());
    // A watch without a response times out.
    let watched = source
        .watch("changes", Revision(9), Duration::from_millis(50))
        .await;
    match fault {
        PlatformFault::Garbage | PlatformFault::NoRevision => {}
        _ => assert!(watched.is_err(), "{watched:?}"),
    }
    stub.set_fault(PlatformFault::None);
    assert!(matches!(
        reader.read_newer(&table).await,
        Ok(ReadOutcome::Current)
    ));
    stub.stop().await;
}

#[tokio::test]
async fn stale_revision_refused() {
    let (stub, reader, _) = start().await;
    let empty = ConfigTable::default();
    let table = first_table(&reader).await;
    // The service serves an old copy, but the current revision is already 2.
    let state = table.state_digest();
    let second_table = config::TableBuilder::from_table(&table)
        .finish(Revision(2), state)
        .unwrap();
    let error = reader.read_newer(&second_table).await.unwrap_err();
    assert!(matches!(
        error.current_context(),
        PlatformError::Stale { .. }
    ));
    assert!(reader.read_newer(&empty).await.is_ok());
    stub.stop().await;
}

#[tokio::test]
async fn part_missing() {
    let (stub, reader, _) = start().await;
    let mut incomplete = values(20);
    let table = first_table(&reader).await;
    incomplete.retain(|value| !value.name.starts_with("part-accounts"));
    let second_stub = PlatformStub::start(any_port()).await.unwrap();
    second_stub.publish(&incomplete);
    let client = HttpPlatformBuilder::new(second_stub.address())
        .read_timeout(TIMEOUT)
        .build();
    let second_reader = ConfigReader::new(Arc::new(client));
    let error = second_reader
        .read_newer(&ConfigTable::default())
        .await
        .unwrap_err();
    assert!(matches!(
        error.current_context(),
        PlatformError::NotFound { .. }
    ));
    assert_eq!(table.revision(), Revision(1));
    stub.stop().await;
    second_stub.stop().await;
}

#[tokio::test]
async fn watch_wakes() {
    let (stub, reader, source) = start().await;
    let table = first_table(&reader).await;
    let watch = source.watch("changes", Revision(1), Duration::from_secs(5));
    let publish = async {
        let changes = config::parse_changes(&values(10).last().unwrap().bytes).unwrap();
        let records = table.records();
        stub.publish(&publish_set(Some((&table, &changes)), &records).unwrap());
    };
    let (value, ()) = tokio::join!(watch, publish);
    assert_eq!(value.unwrap().unwrap().revision, Revision(2));
    stub.stop().await;
}

#[tokio::test]
async fn quiet_watch_ends() {
    let (stub, _, source) = start().await;
    let value = source
        .watch("changes", Revision(1), Duration::from_millis(50))
        .await;
    assert!(value.unwrap().is_none());
    stub.stop().await;
}

// Guards against changes that come late because a watch, and the call after it, wait
// for connections to the platform that have fallen silent.
#[tokio::test]
async fn silent_connections_replaced() {
    let (stub, _, _) = start().await;
    let relay = DropRelay::start().await.unwrap();
    relay.set_target(stub.address());
    let client = HttpPlatformBuilder::new(relay.address()).build();
    // Leaves two connections in the pool.
    let (first, second) = tokio::join!(client.read("changes"), client.read("changes"));
    first.unwrap();
    let after = second.unwrap().revision;
    relay.silence();
    let started = tokio::time::Instant::now();
    let watch = client.watch("changes", after, Duration::from_millis(700));
    let change = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        stub.publish(&values(20));
    };
    let (changed, ()) = tokio::join!(watch, change);
    assert!(changed.unwrap().unwrap().revision > after);
    let took = started.elapsed();
    assert!(took < Duration::from_secs(2), "{took:?}");
    relay.stop().await;
    stub.stop().await;
}
