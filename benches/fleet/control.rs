//! Cost of the control traffic, and time until a change of the configuration is
//! in force.

use std::time::Duration;

use config::{Record, TableBuilder, parse_changes, publish_set};
use ids::{Revision, TokenAmount};
use tokio::time::Instant;

use crate::{ACCOUNT, MEASUREMENT_TIME, bed::BenchFleet, process::DaemonProcess};

/// Measures what idle daemons use for control, and the time until a change of
/// the configuration is in force at all daemons.
pub(crate) async fn control() {
    println!("daemons  CPU % idle  bytes/s idle  memory MB  calls/s  in force ms: median  last");
    for daemons in [3, 9, 33] {
        let fleet = BenchFleet::start(daemons, 1, 5, &[(ACCOUNT, 1_000)]).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (cpu_times, calls) = (fleet.cpu_times(), fleet.platform.calls());
        let mut bytes = 0.0;
        for daemon in &fleet.daemons {
            bytes -= daemon.metric("dogwoodshore_peer_sent_bytes_total").await;
        }
        let start = Instant::now();
        tokio::time::sleep(MEASUREMENT_TIME).await;
        let elapsed = start.elapsed().as_secs_f64();
        for daemon in &fleet.daemons {
            bytes += daemon.metric("dogwoodshore_peer_sent_bytes_total").await;
        }
        let after = fleet.cpu_times();
        let cpu_time = after
            .iter()
            .zip(cpu_times)
            .map(|(after, before)| *after - before);
        let cpu_time: Duration = cpu_time.sum();
        let calls = (fleet.platform.calls() - calls) as f64 / elapsed;
        let memory: u64 = fleet.daemons.iter().map(DaemonProcess::memory).sum();
        let count = daemons as f64;
        let (median, last) = change_times(&fleet).await;
        println!(
            "{daemons:>7}  {:>10.2}  {:>12.0}  {:>9.1}  {calls:>7.1}  {median:>19.0}  {last:>4.0}",
            100.0 * cpu_time.as_secs_f64() / elapsed / count,
            bytes / elapsed / count,
            memory as f64 / 1e6 / count,
        );
        fleet.stop().await;
    }
}

/// Publishes changes, and returns the median and the largest time until all
/// daemons have one in force, in milliseconds.
async fn change_times(fleet: &BenchFleet) -> (f64, f64) {
    /// Number of changes.
    const CHANGES: u64 = 20;
    let mut records = fleet.deployment.records.clone();
    let mut builder = TableBuilder::new();
    for record in &records {
        builder.put(record.clone()).unwrap();
    }
    let state = builder.state_digest();
    let mut table = builder.finish(Revision(1), state).unwrap();
    let values = publish_set(None, &records).unwrap();
    let mut changes = parse_changes(&values.last().unwrap().bytes).unwrap();
    let mut times = Vec::new();
    for number in 0..CHANGES {
        for record in &mut records {
            if let Record::Account(account) = record {
                account.burst = TokenAmount::whole(1_001 + number);
            }
        }
        let values = publish_set(Some((&table, &changes)), &records).unwrap();
        changes = parse_changes(&values.last().unwrap().bytes).unwrap();
        table = table.with_delta(changes.deltas.back().unwrap()).unwrap();
        let wanted = table.revision().get() as f64;
        let start = Instant::now();
        fleet.platform.publish(&values);
        for daemon in &fleet.daemons {
            while daemon.metric("dogwoodshore_config_revision").await < wanted {
                assert!(
                    start.elapsed() < MEASUREMENT_TIME,
                    "a change is not in force at all daemons after {MEASUREMENT_TIME:?}"
                );
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_unstable_by(f64::total_cmp);
    (times[times.len() / 2], times[times.len() - 1])
}
