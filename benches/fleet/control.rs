//! Cost of control, and time until a change is in force.

use std::time::Duration;

use config::{Record, TableBuilder, parse_changes, publish_set};
use ids::{Revision, TokenAmount};
use tokio::time::Instant;

use crate::{ACCOUNT, SPAN, bed::Bench, process::DaemonProcess};

/// Cost of control, and time until a change is in force.
pub(crate) async fn control() {
    println!("daemons  cpu % idle  bytes/s idle  memory MB  calls/s  in force ms: median  last");
    for daemons in [3, 9, 33] {
        let bench = Bench::start(daemons, 1, 5, &[(ACCOUNT, 1_000)]).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (cpu, calls) = (bench.cpu(), bench.platform.calls());
        let mut bytes = 0.0;
        for daemon in &bench.daemons {
            bytes -= daemon.metric("dogwoodshore_peer_bytes_total").await;
        }
        let start = Instant::now();
        tokio::time::sleep(SPAN).await;
        let span = start.elapsed().as_secs_f64();
        for daemon in &bench.daemons {
            bytes += daemon.metric("dogwoodshore_peer_bytes_total").await;
        }
        let after = bench.cpu();
        let spent = after.iter().zip(cpu).map(|(after, before)| *after - before);
        let spent: Duration = spent.sum();
        let calls = (bench.platform.calls() - calls) as f64 / span;
        let memory: u64 = bench.daemons.iter().map(DaemonProcess::memory).sum();
        let count = daemons as f64;
        let (median, last) = change_times(&bench).await;
        println!(
            "{daemons:>7}  {:>10.2}  {:>12.0}  {:>9.1}  {calls:>7.1}  {median:>19.0}  {last:>4.0}",
            100.0 * spent.as_secs_f64() / span / count,
            bytes / span / count,
            memory as f64 / 1e6 / count,
        );
        bench.stop().await;
    }
}

/// Publishes changes, and gives median and largest time in ms until the last
/// daemon has each in force.
async fn change_times(bench: &Bench) -> (f64, f64) {
    const CHANGES: u64 = 20;
    let mut records = bench.deployment.records.clone();
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
        bench.platform.publish(&values);
        for daemon in &bench.daemons {
            while daemon.metric("dogwoodshore_config_revision").await < wanted {
                assert!(
                    start.elapsed() < SPAN,
                    "a change is not in force after {SPAN:?}"
                );
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_unstable_by(f64::total_cmp);
    (times[times.len() / 2], times[times.len() - 1])
}
