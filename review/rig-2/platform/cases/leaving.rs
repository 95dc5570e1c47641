//! A daemon is killed and started again after a client's answer has said that the
//! backend server beside it leaves.

use std::{sync::atomic::Ordering, time::Duration};

use crate::{
    client::{Ask, ask},
    fleet::Fleet,
    record::Record,
};

/// Bound of the platform: time for which requests may still reach a server that leaves.
const DRAIN_MS: u64 = 2_000;
/// Three ping intervals of 1.5 s, after which the store removes a silent entry.
const EXPIRY_MS: u64 = 4_500;
/// Pause before the platform starts a killed daemon again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

pub fn run(record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let mut fleet = Fleet::start(record, &["desk", "book", "book"], Duration::from_millis(20))?;
    let door = fleet.daemons[0].door;
    let mut number = 0;
    let mut send = || {
        number += 1;
        let request = format!("m1-{number:04}");
        let asked = Ask {
            method: "POST",
            path: "/put/book/x",
            request: &request,
            timeout_ms: 5_000,
            body: b"a booking",
        };
        (request.clone(), ask(record, door, &asked))
    };
    for _ in 0..10 {
        send()
            .1
            .map_err(|error| format!("a calm request failed: {error}"))?;
    }
    // The second machine's server begins a planned shutdown. With the disruption, it is
    // partitioned from the store: its report does not arrive, and its entry expires.
    let leaves_at = record.now();
    fleet.servers[1].leaving.store(true, Ordering::SeqCst);
    record.note("server i-02 begins to leave");
    match trouble {
        true => record.note("server i-02 is partitioned from the store"),
        false => fleet.put_entry(1, "draining"),
    }
    let mut passed_at = None;
    for _ in 0..20 {
        let (_, answer) = send();
        if let Ok(answer) = answer
            && answer.head.field("server-leaving").is_some()
        {
            passed_at = Some(answer.at);
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let passed_at = match (passed_at, trouble) {
        (Some(at), _) => at,
        (None, true) => return Err("no answer said that the server leaves".to_owned()),
        // The report was in force before an answer could say so.
        (None, false) => record.now(),
    };
    if trouble {
        fleet.daemons[1].kill();
        std::thread::sleep(RESTART_PAUSE);
        fleet.daemons[1]
            .start()
            .map_err(|error| error.to_string())?;
        fleet.daemons[1].wait_ready(Duration::from_secs(3))?;
    }
    record.sleep_until(passed_at + DRAIN_MS + 100);
    let mut late = Vec::new();
    while record.now() < leaves_at + EXPIRY_MS - 300 && late.len() < 10 {
        late.push(send().0);
        std::thread::sleep(Duration::from_millis(50));
    }
    if trouble {
        record.sleep_until(leaves_at + EXPIRY_MS);
        fleet.store.remove(&fleet.entry_key(1));
    }
    let runs = fleet.servers[1].runs.lock().unwrap().clone();
    let reached = runs.iter().filter(|run| late.contains(&run.request));
    Ok(reached
        .map(|run| {
            format!(
                "DRAIN: {} reached server i-02 from machine 1, {} ms after that machine had passed on an answer with Server-Leaving",
                run.request,
                run.at - passed_at
            )
        })
        .collect())
}
