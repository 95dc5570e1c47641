//! The store turns away every second call of the machines that read it, while a backend
//! server leaves whose entry is removed.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{
    client::{Ask, ask},
    fleet::Fleet,
    record::Record,
};

/// Bound of the platform: time for which requests may still reach a server that leaves.
const DRAIN_MS: u64 = 2_000;
/// Time for which the store turns calls away.
const REJECTED_MS: u64 = 8_000;
/// Time from then until the server leaves.
const REMOVED_MS: u64 = 1_000;
/// Time that the server serves beyond its drain time.
const LONGER_MS: u64 = 3_000;
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(150);
/// Number of clients on each machine.
const CLIENTS: usize = 3;
/// Number of machines; a third of them is turned away.
const MACHINES: usize = 6;

pub fn run(record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let fleet = Fleet::start(record, &["book"; MACHINES], WORK)?;
    let readers = fleet.store.readers(MACHINES);
    record.note(&format!("the daemons that watch the store: {readers:?}"));
    if readers.is_empty() || readers.len() * 100 > MACHINES * 35 {
        return Err(format!("{} daemons watch the store", readers.len()));
    }
    let calm: Vec<usize> = (1..=MACHINES)
        .filter(|number| !readers.contains(number))
        .collect();
    let leaver = calm[0] - 1;
    let stop = Arc::new(AtomicBool::new(false));
    let places = calm
        .iter()
        .flat_map(|number| (0..CLIENTS).map(|client| (*number, client)));
    let clients: Vec<_> = places
        .map(|(machine, client)| {
            let (record, stop) = (record.clone(), Arc::clone(&stop));
            let door = fleet.daemons[machine - 1].door;
            std::thread::spawn(move || {
                let mut sent = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let request = format!("m{machine}-{client}-{:04}", sent.len());
                    let asked = Ask {
                        method: "POST",
                        path: "/put/book/x",
                        request: &request,
                        timeout_ms: 5_000,
                        body: b"a booking",
                    };
                    let at = record.now();
                    let answer = ask(&record, door, &asked);
                    let status = answer.map_or(0, |answer| answer.status);
                    sent.push((request.clone(), at, status));
                    std::thread::sleep(Duration::from_millis(25));
                }
                sent
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    let rejected_at = record.now();
    if trouble {
        fleet.store.reject(&readers);
    }
    record.sleep_until(rejected_at + REMOVED_MS);
    let removed_at = record.now();
    fleet.store.remove(&fleet.entry_key(leaver));
    record.sleep_until(removed_at + DRAIN_MS + LONGER_MS);
    fleet.servers[leaver].end();
    record.sleep_until(rejected_at + REJECTED_MS);
    fleet.store.reject(&[]);
    std::thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::SeqCst);
    let sent: Vec<(String, u64, u16)> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();
    let runs = fleet.servers[leaver].runs.lock().unwrap().clone();
    let late = runs.iter().filter_map(|run| {
        let (_, at, status) = sent.iter().find(|(request, ..)| *request == run.request)?;
        (*at > removed_at + DRAIN_MS).then_some((run, *at, *status))
    });
    Ok(late
        .map(|(run, at, status)| {
            format!(
                "DRAIN: {} was sent {} ms after the removal of the entry, reached server {} and got status {status}",
                run.request,
                at - removed_at,
                fleet.servers[leaver].id
            )
        })
        .collect())
}
