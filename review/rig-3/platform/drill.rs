//! Drills of the store while upstreams leave: which requests still reach an upstream
//! that has said that it leaves.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
    thread::sleep,
    time::Duration,
};

use crate::{
    client::{Clients, HOST, KEY},
    fleet::{Daemon, Network, Place},
    record::Record,
    server::Server,
    store::Store,
};

const MACHINES: u8 = 16;
/// Clients on the first machines; those of the others have nothing to send.
const CLIENTS: [usize; 2] = [48, 12];
const SERVICE: &str = "wuno96b";
const ZONE: &str = "bud-a";
/// The pages' bounds.
const DRAIN_MS: u64 = 2_000;
const STABLE_MS: u64 = 3_000;
/// Time for which the store is away in each drill, in milliseconds.
const AWAY_MS: [u64; 4] = [850, 850, 850, 850];
/// Upstreams that leave before each drill, one after the other.
const LEAVERS: usize = 2;

pub fn config(version: u32, prefix: &str, kind: &str, work_ms: u32) -> String {
    format!(
        "{{\"configVersion\":\"r{version}\",\"resources\":[\
         {{\"resourceType\":\"routes\",\"metadata\":{{\"name\":\"read\"}},\"spec\":{{\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeoutMs\":6000,\"targetLatencyMs\":{work_ms},\"priority\":1,\"service\":\"{SERVICE}\",\"maxAttempts\":2,\"public\":false}}}},\
         {{\"resourceType\":\"services\",\"metadata\":{{\"name\":\"{SERVICE}\"}},\"spec\":{{\"healthPath\":\"/healthz\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false}}}},\
         {{\"resourceType\":\"tenants\",\"metadata\":{{\"name\":\"pulo780\"}},\"spec\":{{\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"ratePerS\":0,\"burst\":0}}}},\
         {{\"resourceType\":\"limits\",\"metadata\":{{}},\"spec\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}]}}"
    )
}

struct Round {
    server: Arc<Server>,
    /// When the store was away, in milliseconds.
    away: Option<(u64, u64)>,
}

pub fn play(record: &Arc<Record>, folder: &std::path::Path, trouble: bool) -> i32 {
    let network = Network::find(MACHINES);
    let ports = network.ports;
    let store = Store::start(network.at(0, ports.server));
    store.put("op/config", &config(7, "/leny950/", "safe", 1_500));
    let servers: Vec<Arc<Server>> = (1..=MACHINES)
        .map(|machine| {
            let address = network.at(machine, ports.server);
            let id = format!("i-{:08x}", 0x7f3a_9100 + u32::from(machine) * 0x11);
            let work = Duration::from_millis(400);
            Server::start(&id, address, SERVICE, ZONE, 5, work, &store, record)
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
        .map(|machine| place.start(machine, ZONE, SERVICE))
        .collect();
    if !daemons
        .iter()
        .all(|daemon| daemon.wait_ready(Duration::from_secs(10)))
    {
        record.say("a daemon does not get ready");
        return 2;
    }
    record.say(&format!("{MACHINES} daemons are ready"));
    let clients = Clients::new(record);
    for (daemon, clients_here) in daemons.iter().zip(CLIENTS) {
        for nth in 0..clients_here {
            let late = Duration::from_millis(1_000 * nth as u64 / clients_here as u64);
            let interval = Duration::from_secs(1);
            clients.start(daemon.machine, daemon.outbound, "/leny950/", late, interval);
        }
    }
    // Calm: daemons that don't watch the store no longer read it.
    sleep(Duration::from_secs(12));
    let mut rounds = Vec::new();
    for (index, away_ms) in AWAY_MS.into_iter().enumerate() {
        // The last machines leave first, one after the other.
        let last = usize::from(MACHINES) - 1 - index * LEAVERS;
        let leavers: Vec<usize> = (0..LEAVERS).map(|nth| last - nth).collect();
        let copy = store.copy();
        record.say("a copy of the store is taken");
        for leaver in &leavers {
            sleep(Duration::from_millis(1_300));
            let server = &servers[*leaver];
            server.leave();
            record.say(&format!(
                "{} leaves: draining is acked, and its answers say so",
                server.id
            ));
        }
        sleep(Duration::from_millis(2_500));
        let mut away = None;
        if trouble {
            let from = record.now();
            store.go_away();
            record.say("drill: the store is away");
            sleep(Duration::from_millis(away_ms));
            store.come_back(copy);
            away = Some((from, record.now()));
            record.say("drill: the store is back from the copy");
        } else {
            sleep(Duration::from_millis(away_ms));
        }
        sleep(Duration::from_millis(8_000));
        for leaver in leavers {
            record.say(&format!(
                "{} ends, and its daemon gets SIGTERM",
                servers[leaver].id
            ));
            servers[leaver].end();
            daemons[leaver].signal("TERM");
            rounds.push(Round {
                server: Arc::clone(&servers[leaver]),
                away,
            });
        }
        sleep(Duration::from_millis(7_000));
    }
    clients.stop.store(true, Ordering::SeqCst);
    sleep(Duration::from_millis(1_500));
    let ended = daemons
        .iter_mut()
        .take(usize::from(MACHINES) - AWAY_MS.len() * LEAVERS)
        .any(Daemon::ended);
    if ended {
        record.say("a daemon has ended by itself");
    }
    judge(record, &clients, &servers, &rounds)
}

fn judge(record: &Record, clients: &Clients, servers: &[Arc<Server>], rounds: &[Round]) -> i32 {
    let sent = clients.sent.lock().unwrap();
    let served = sent.iter().filter(|sent| sent.status == 200).count();
    for sent in sent.iter() {
        record.line(&format!(
            "sent {} machine {} at {} ended {} status {} of {} {}",
            sent.id,
            sent.machine,
            sent.sent_ms,
            sent.ended_ms,
            sent.status,
            sent.server.as_deref().unwrap_or("-"),
            sent.failure
        ));
    }
    for server in servers {
        for run in server.runs.lock().unwrap().iter() {
            record.line(&format!(
                "run {} at {} arrived {} ended {} status {} leaving {}",
                run.id, run.server, run.arrived_ms, run.ended_ms, run.status, run.leaving
            ));
        }
    }
    record.say(&format!("{} requests, {served} served", sent.len()));
    if served * 10 < sent.len() * 9 {
        record.say("under nine tenths were served: the case could not run");
        return 2;
    }
    let by_id: HashMap<&str, _> = sent.iter().map(|sent| (sent.id.as_str(), sent)).collect();
    let (mut by_header, mut by_store) = (0, 0);
    for round in rounds {
        let runs = round.server.runs.lock().unwrap();
        let acks = round.server.acks.lock().unwrap();
        // When each machine first passed on an answer that said `Server-Leaving`.
        let mut told: HashMap<u8, u64> = HashMap::new();
        for run in runs.iter().filter(|run| run.leaving && run.status == 200) {
            let Some(sent) = by_id.get(run.id.as_str()) else {
                continue;
            };
            if sent.status == 200 {
                let at = told.entry(sent.machine).or_insert(u64::MAX);
                *at = sent.ended_ms.min(*at);
            }
        }
        let unstable = |at: u64| {
            round
                .away
                .is_some_and(|(from, to)| at >= from && at < to + STABLE_MS)
        };
        let first_ack = acks.first().copied();
        let (mut after_header, mut after_ack, mut reached) = (0, 0, 0);
        for run in runs.iter() {
            let Some(sent) = by_id.get(run.id.as_str()) else {
                continue;
            };
            let first_ack = first_ack.unwrap_or(u64::MAX);
            if sent.sent_ms > first_ack.saturating_add(DRAIN_MS) {
                reached += 1;
                after_ack += u32::from(!unstable(sent.sent_ms));
            }
            if let Some(told) = told.get(&sent.machine)
                && sent.sent_ms > told + DRAIN_MS
            {
                after_header += 1;
                record.say(&format!(
                    "DRAIN: request {} was sent at machine {} at {} ms and reached {} at {} ms; the machine had passed on its Server-Leaving at {told} ms",
                    sent.id, sent.machine, sent.sent_ms, run.server, run.arrived_ms
                ));
            }
        }
        record.say(&format!(
            "{}: {} machines had passed on its leaving; requests that reached it later than drainMs after that from the same machine: {after_header}; sent later than drainMs after the ack of draining: {reached}, {after_ack} of them with the store stable again",
            round.server.id, told.len()
        ));
        by_header += after_header;
        by_store += after_ack;
    }
    match by_header + by_store {
        0 => {
            record.say("HELD");
            0
        }
        _ => {
            record.say(&format!("BROKEN: DRAIN by Server-Leaving {by_header} times, by the store's ack {by_store} times"));
            1
        }
    }
}
