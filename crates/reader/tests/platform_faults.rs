//! Whatever the platform does, the last good configuration stays.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use config::{ConfigTable, PackedValue, publish_set};
use fakes::{Deployment, DeploymentShape, PlatformFault, PlatformStub};
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
        ReadOutcome::Current => panic!("nothing was read"),
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
    // A watch that never answers ends by itself.
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
async fn older_revision_refused() {
    let (stub, reader, _) = start().await;
    let newer = ConfigTable::default();
    let table = first_table(&reader).await;
    // The service went back to an old copy while revision 2 was in force.
    let state = table.state_digest();
    let second = config::TableBuilder::from_table(&table)
        .finish(Revision(2), state)
        .unwrap();
    let error = reader.read_newer(&second).await.unwrap_err();
    assert!(matches!(
        error.current_context(),
        PlatformError::Stale { .. }
    ));
    assert!(reader.read_newer(&newer).await.is_ok());
    stub.stop().await;
}

#[tokio::test]
async fn manifest_before_parts() {
    let (stub, reader, _) = start().await;
    let mut late = values(20);
    let table = first_table(&reader).await;
    late.retain(|value| !value.name.starts_with("part-accounts"));
    let stub_two = PlatformStub::start(any_port()).await.unwrap();
    stub_two.publish(&late);
    let client = HttpPlatformBuilder::new(stub_two.address())
        .read_timeout(TIMEOUT)
        .build();
    let reader_two = ConfigReader::new(Arc::new(client));
    let error = reader_two
        .read_newer(&ConfigTable::default())
        .await
        .unwrap_err();
    assert!(matches!(
        error.current_context(),
        PlatformError::NotFound { .. }
    ));
    assert_eq!(table.revision(), Revision(1));
    stub.stop().await;
    stub_two.stop().await;
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
