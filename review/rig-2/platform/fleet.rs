//! A small deployment: a store, and machines with a daemon and a backend server each.

use std::{
    io,
    net::{TcpListener, UdpSocket},
    path::PathBuf,
    time::Duration,
};

use crate::{
    client::{HOST, KEY, OTHER_KEY},
    daemon::{Daemon, Fields},
    record::Record,
    server::Server,
    store::Store,
};

/// Number of requests that a backend server runs concurrently, if a case needs no other.
const SLOTS: u32 = 3;
/// Zone of all machines.
const ZONE: &str = "zone-a";

pub struct Fleet {
    record: Record,
    pub store: Store,
    /// Daemons, from number 1.
    pub daemons: Vec<Daemon>,
    /// The backend server beside each daemon.
    pub servers: Vec<Server>,
    folder: PathBuf,
    slots: u32,
}

impl Fleet {
    /// Starts a store, and a machine for each service named, and waits until all are
    /// ready. Each backend server works for `work` on a request.
    pub fn start(record: &Record, services: &[&str], work: Duration) -> Result<Self, String> {
        Self::try_start(record, services, work, (None, SLOTS)).map_err(|error| error.to_string())
    }

    /// Starts a deployment like [`Self::start`], on machines with so much memory and
    /// with so many slots of each backend server.
    pub fn start_with_memory(
        record: &Record,
        services: &[&str],
        work: Duration,
        memory_mb: u32,
        slots: u32,
    ) -> Result<Self, String> {
        let shape = (Some(memory_mb), slots);
        Self::try_start(record, services, work, shape).map_err(|error| error.to_string())
    }

    fn try_start(
        record: &Record,
        services: &[&str],
        work: Duration,
        (memory_mb, slots): (Option<u32>, u32),
    ) -> io::Result<Self> {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{process}"));
        std::fs::create_dir_all(&folder)?;
        let store = Store::new(record);
        let network = format!("127.{}.{}", 20 + process % 200, process / 200 % 250);
        let ips: Vec<String> = (1..=services.len())
            .map(|number| format!("{network}.{number}"))
            .collect();
        let ports = free_ports(&ips, process)?;
        let mut fleet = Self {
            record: record.clone(),
            store,
            daemons: Vec::new(),
            servers: Vec::new(),
            folder,
            slots,
        };
        let fleet_name = format!("{network}.0");
        for (index, (service, ip)) in services.iter().zip(&ips).enumerate() {
            let number = index + 1;
            let address = format!("{ip}:{}", ports[3]).parse().unwrap();
            let id = format!("i-{number:02}");
            let server = Server::start(record, &id, service, address, work)?;
            fleet.servers.push(server);
            let fields = Fields {
                zone: ZONE,
                service,
                store: fleet.store.serve(number)?,
                fleet: &fleet_name,
                peer_port: ports[0],
                memory_mb,
            };
            let doors = (ports[1], ports[2]);
            let daemon = Daemon::new(record, &fleet.folder, number, ip, doors, &fields)?;
            fleet.daemons.push(daemon);
        }
        fleet.store.put("op/config", &config(services));
        for index in 0..services.len() {
            fleet.put_entry(index, "ready");
        }
        for daemon in &mut fleet.daemons {
            daemon.start()?;
        }
        for daemon in &mut fleet.daemons {
            let ready = daemon.wait_ready(Duration::from_secs(15));
            ready.map_err(io::Error::other)?;
        }
        // The first reads of a daemon, and the first exchanges with its peers.
        std::thread::sleep(Duration::from_secs(5));
        Ok(fleet)
    }

    /// Writes the entry of a backend server to the store.
    pub fn put_entry(&self, index: usize, state: &str) {
        let server = &self.servers[index];
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{ZONE}","configVersion":"v1","concurrencyLimit":{},"state":"{state}","coldRemainingMs":0,"sequence":4,"born":1790000000000}}"#,
            server.service, server.address, self.slots
        );
        self.store.put(&self.entry_key(index), &entry);
    }

    /// Copies those lines of the daemons' logs to the record that contain a text.
    pub fn note_logs(&self, text: &str) {
        for daemon in &self.daemons {
            for line in daemon.log_lines(text) {
                self.record
                    .note(&format!("log of daemon {}: {line}", daemon.number));
            }
        }
    }

    /// Returns the key of the entry of a backend server.
    pub fn entry_key(&self, index: usize) -> String {
        format!("servers/{}", self.servers[index].id)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the configuration: an unsafe route and a safe route for each service.
fn config(services: &[&str]) -> String {
    let mut names: Vec<&str> = services.to_vec();
    names.sort_unstable();
    names.dedup();
    let mut resources = Vec::new();
    for name in names {
        for (kind, prefix) in [("unsafe", "put"), ("safe", "get")] {
            resources.push(format!(
                r#"{{"resourceType":"routes","metadata":{{"name":"r-{prefix}-{name}"}},"spec":{{"host":"{HOST}","prefix":"/{prefix}/{name}/","kind":"{kind}","timeoutMs":5000,"targetLatencyMs":1500,"priority":1,"service":"{name}","maxAttempts":2,"public":false}}}}"#
            ));
        }
        resources.push(format!(
            r#"{{"resourceType":"services","metadata":{{"name":"{name}"}},"spec":{{"healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false}}}}"#
        ));
    }
    for (name, key, rate) in [("radio", KEY, 0), ("other", OTHER_KEY, 33)] {
        resources.push(format!(
            r#"{{"resourceType":"tenants","metadata":{{"name":"{name}"}},"spec":{{"apiKeys":["{key}"],"priority":1,"ratePerS":{rate},"burst":{rate}}}}}"#
        ));
    }
    resources.push(String::from(
        r#"{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#,
    ));
    format!(
        r#"{{"configVersion":"r7","resources":[{}]}}"#,
        resources.join(",")
    )
}

/// Returns four ports that are free at all addresses, below the range of ephemeral ones.
fn free_ports(ips: &[String], process: u32) -> io::Result<Vec<u16>> {
    let first = 10_000 + (process * 37 % 20_000) as u16;
    let is_free = |port: &u16| {
        ips.iter().all(|ip| {
            let address = format!("{ip}:{port}");
            TcpListener::bind(&address).is_ok() && UdpSocket::bind(&address).is_ok()
        })
    };
    let free: Vec<u16> = (first..first + 2_000).filter(is_free).take(4).collect();
    match free.len() {
        4 => Ok(free),
        _ => Err(io::Error::other("there are no four free ports")),
    }
}
