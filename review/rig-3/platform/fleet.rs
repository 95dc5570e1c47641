//! Daemons as real processes, with settings made of `deploy/settings.json` as the
//! platform fills them in.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::http;

const DAEMON: &str = "target/release/dogwoodshore";

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub outbound: u16,
    pub peer: u16,
    pub ready: u16,
    pub server: u16,
}

/// Addresses of the machines of one run.
pub struct Network {
    net: u8,
    pub ports: Ports,
}

impl Network {
    /// Finds addresses and ports that are free on `machines` machines.
    pub fn find(machines: u8) -> Self {
        let seed = std::process::id();
        for attempt in 0..200 {
            let net = (10 + (seed + attempt * 7) % 200) as u8;
            let base = (20_000 + (seed * 13 + attempt * 97) % 10_000) as u16;
            let ports = Ports {
                outbound: base,
                peer: base + 1,
                ready: base + 2,
                server: base + 3,
            };
            let network = Self { net, ports };
            let free = (0..=machines).all(|machine| {
                (0..4).all(|port| TcpListener::bind((network.ip(machine), base + port)).is_ok())
            });
            if free {
                return network;
            }
        }
        eprintln!("no free addresses");
        std::process::exit(2);
    }

    /// Address of a machine; 0 is the platform's.
    pub fn ip(&self, machine: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net, 1, machine + 1))
    }

    pub fn at(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(machine), port)
    }
}

pub struct Daemon {
    pub machine: u8,
    process: Child,
    pub ready: SocketAddr,
    pub outbound: SocketAddr,
}

pub struct Place<'a> {
    pub network: &'a Network,
    pub store: SocketAddr,
    pub folder: PathBuf,
    pub zones: &'a str,
    /// Descriptors and the like are the machine's; this is `bounds.budgetSlack`.
    pub slack: u32,
}

impl Place<'_> {
    /// Starts the daemon of a machine with the command of the deploy file.
    pub fn start(&self, machine: u8, zone: &str, service: &str) -> Daemon {
        let network = self.network;
        let ports = network.ports;
        let ip = network.ip(machine).to_string();
        let outbound = network.at(machine, ports.outbound);
        let ready = network.at(machine, ports.ready);
        let template = fs::read_to_string("deploy/settings.json").expect("deploy/settings.json");
        let settings = template
            .replace("{{ip}}", &ip)
            .replace("{{zone}}", zone)
            .replace("{{listenAddrs.outbound}}", &outbound.to_string())
            .replace("{{listenAddrs.ready}}", &ready.to_string())
            .replace("{{portRange.0}}", &ports.peer.to_string())
            .replace("{{platform.address}}", &self.store.to_string())
            .replace("{{zones|json}}", self.zones)
            .replace("{{service|json}}", &format!("\"{service}\""))
            .replace("{{bounds.graceS}}", "6")
            .replace("{{bounds.floorShare}}", "0.7")
            .replace("{{bounds.retryBudgetRatio}}", "0.2")
            .replace("{{bounds.budgetSlack}}", &self.slack.to_string());
        if settings.contains("{{") {
            eprintln!("deploy/settings.json has a field that this rig doesn't fill in");
            std::process::exit(2);
        }
        let path = self.folder.join(format!("settings-{machine}.yaml"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = File::create(self.folder.join(format!("daemon-{machine}.log"))).unwrap();
        let process = Command::new(DAEMON)
            .arg("run")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match process {
            Ok(process) => Daemon {
                machine,
                process,
                ready,
                outbound,
            },
            Err(error) => {
                eprintln!("{DAEMON} can't be started: {error}");
                std::process::exit(2);
            }
        }
    }
}

impl Daemon {
    pub fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        let _ = Command::new("kill").args(["-s", name, &id]).status();
    }

    /// Whether the process has ended by itself.
    pub fn ended(&mut self) -> bool {
        self.process.try_wait().ok().flatten().is_some()
    }

    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    pub fn is_ready(&self) -> bool {
        ask_ready(self.ready, Duration::from_secs(1)) == Some(200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

/// Asks a daemon whether it is ready, as the platform does; `None` without an answer
/// within `limit`.
pub fn ask_ready(address: SocketAddr, limit: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    http::write(&mut stream, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    let head = http::read_head(&mut stream, &mut Vec::new())?;
    head.target.parse().ok()
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
