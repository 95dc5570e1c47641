//! Clients that send requests ahead on one connection and close it: whether their
//! requests still reach upstreams, and whether upstreams still work on them.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    client::{HOST, KEY},
    drill::config,
    fleet::{Daemon, Network, Place},
    record::Record,
    server::{Run, Server},
    store::Store,
};

const MACHINES: u8 = 6;
const SERVICE: &str = "wuno96b";
/// Clients that send ahead, and requests that each sends.
const CLIENTS: usize = 4;
const AHEAD: usize = 150;
/// Time after which each closes its connection.
const STAY: Duration = Duration::from_millis(1_000);
/// The pages' bound after a close.
const AFTER_MS: u64 = 500;
const ROUNDS: usize = 5;

pub fn play(record: &Arc<Record>, folder: &std::path::Path, trouble: bool) -> i32 {
    let network = Network::find(MACHINES);
    let ports = network.ports;
    let store = Store::start(network.at(0, ports.server));
    store.put("op/config", &config(7, "/leny950/", "safe", 1_500));
    let servers: Vec<Arc<Server>> = (1..=MACHINES)
        .map(|machine| {
            let address = network.at(machine, ports.server);
            let id = format!("i-{:08x}", 0x7f3a_9100 + u32::from(machine) * 0x11);
            let work = Duration::from_millis(3_000);
            Server::start(&id, address, SERVICE, "bud-a", 5, work, &store, record)
        })
        .collect();
    let place = Place {
        network: &network,
        store: store.address,
        folder: folder.to_owned(),
        zones: "{\"bud-a\":\"hu-central\"}",
        slack: 60,
    };
    let mut daemons: Vec<Daemon> = (1..=MACHINES)
        .map(|machine| place.start(machine, "bud-a", SERVICE))
        .collect();
    if !daemons
        .iter()
        .all(|daemon| daemon.wait_ready(Duration::from_secs(10)))
    {
        record.say("a daemon does not get ready");
        return 2;
    }
    record.say(&format!("{MACHINES} daemons are ready"));
    sleep(Duration::from_secs(8));
    let door = daemons[0].outbound;
    // Without the disruption, the same requests are sent on connections of their own,
    // which are closed at the same time.
    let ahead = if trouble { AHEAD } else { 1 };
    let mut closes: Vec<(String, u64)> = Vec::new();
    for round in 0..ROUNDS {
        let connections = if trouble { CLIENTS } else { CLIENTS * 6 };
        record.say(&format!(
            "{connections} clients send {ahead} requests each, and close after {} ms",
            STAY.as_millis()
        ));
        let threads: Vec<_> = (0..connections)
            .map(|nth| {
                let record = Arc::clone(record);
                let name = format!("{round:02x}{nth:02x}");
                thread::spawn(move || {
                    let opened = send_ahead(door, &name, ahead);
                    sleep(STAY);
                    drop(opened);
                    (name, record.now())
                })
            })
            .collect();
        closes.extend(threads.into_iter().filter_map(|thread| thread.join().ok()));
        sleep(Duration::from_secs(9));
    }
    if daemons.iter_mut().any(Daemon::ended) {
        record.say("a daemon has ended by itself");
    }
    let runs: Vec<Run> = servers
        .iter()
        .flat_map(|server| server.runs.lock().unwrap().clone())
        .collect();
    judge(record, &runs, &closes)
}

/// Sends requests ahead, without reading answers.
fn send_ahead(address: SocketAddr, name: &str, count: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let text: String = (0..count)
        .map(|nth| {
            format!(
                "GET /leny950/{nth} HTTP/1.1\r\nHost: {HOST}\r\nX-Dogwoodshore-Request-Id: {name}{nth:012x}\r\nX-Dogwoodshore-Timeout-Ms: 6000\r\nAuthorization: Bearer {KEY}\r\n\r\n"
            )
        })
        .collect();
    stream.write_all(text.as_bytes()).ok()?;
    Some(stream)
}

fn judge(record: &Record, runs: &[Run], closes: &[(String, u64)]) -> i32 {
    for (name, at) in closes {
        record.line(&format!("client {name} closed at {at}"));
    }
    for run in runs {
        record.line(&format!(
            "run {} at {} arrived {} ended {} status {}",
            run.id, run.server, run.arrived_ms, run.ended_ms, run.status
        ));
    }
    let (mut late, mut at_work, mut lasting) = (0, 0, 0);
    for (name, closed) in closes {
        let bound = closed + AFTER_MS;
        for run in runs.iter().filter(|run| run.id.starts_with(name)) {
            if run.arrived_ms > bound {
                late += 1;
            } else if run.arrived_ms + 3_000 > bound {
                // It would have lasted so long.
                lasting += 1;
                at_work += u32::from(run.ended_ms > bound);
            }
        }
    }
    record.say(&format!("{} requests have reached upstreams; {late} of them over half a second after their client's close", runs.len()));
    record.say(&format!("upstreams were still at work half a second after the close on {at_work} of {lasting} requests that would have lasted so long"));
    match late > 5 || at_work * 4 > lasting {
        true => {
            record.say("BROKEN: GONE");
            1
        }
        false => {
            record.say("HELD");
            0
        }
    }
}
