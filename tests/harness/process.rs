//! Daemons as processes of their own, for tests and benches.

#![allow(dead_code, reason = "each user takes a part")]

use std::{
    net::{SocketAddr, TcpListener, UdpSocket},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use http_body_util::{BodyExt, Empty};
use hyper::{Request, StatusCode, body::Bytes};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

/// A daemon in a process of its own; killed when dropped.
pub struct DaemonProcess {
    child: Child,
    pub ingress: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
}

/// Addresses of a daemon that has yet to start.
#[derive(Clone, Copy, Debug)]
pub struct FreeAddresses {
    pub ingress: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
}

impl FreeAddresses {
    /// Ports that are free just now, below those that the system gives to
    /// outgoing connections; one of these was taken now and then before the
    /// daemon could bind it.
    pub fn find() -> Self {
        let [ingress, peer, admin] = [(); 3].map(|()| free_port());
        Self {
            ingress,
            peer,
            admin,
        }
    }
}

/// Threads of each daemon, by the variable `DAEMON_THREADS`.
fn threads_wanted() -> usize {
    let wanted = std::env::var("DAEMON_THREADS").ok();
    wanted.and_then(|text| text.parse().ok()).unwrap_or(1)
}

/// First port that is tried; processes side by side begin at different ones.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// A port that can be bound for TCP and UDP.
fn free_port() -> SocketAddr {
    const FIRST: u32 = 10_000;
    const COUNT: u32 = 20_000;
    let offset = std::process::id().wrapping_mul(331);
    loop {
        let next = NEXT_PORT
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_add(offset);
        let port = (FIRST + next % COUNT) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl DaemonProcess {
    /// Starts a daemon from its settings, given as JSON.
    pub fn start(
        index: usize,
        zones: usize,
        addresses: FreeAddresses,
        platform: SocketAddr,
        secret: &str,
    ) -> Self {
        Self::start_logged(index, zones, addresses, platform, secret, Stdio::null())
    }

    /// Starts a daemon whose log lines go to `log`.
    pub fn start_logged(
        index: usize,
        zones: usize,
        addresses: FreeAddresses,
        platform: SocketAddr,
        secret: &str,
        log: Stdio,
    ) -> Self {
        let settings = format!(
            r#"{{ "vm": "vm-{index}", "zone": "zone-{}", // a comment
                "ingress": "{}", "peer": "{}", "admin": "{}", "platform": "{platform}",
                "secret": "{secret}", "log": {{ "level": "warn" }}, "budgets": {{ "threads": {} }} }}"#,
            index % zones,
            addresses.ingress,
            addresses.peer,
            addresses.admin,
            threads_wanted(),
        );
        let path = std::env::temp_dir().join(format!(
            "dogwoodshore-{}-{}.json",
            std::process::id(),
            addresses.peer.port()
        ));
        std::fs::write(&path, settings).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_dogwoodshore"))
            .arg("run")
            .arg(&path)
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        Self {
            child,
            ingress: addresses.ingress,
            peer: addresses.peer,
            admin: addresses.admin,
        }
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        Command::new("kill")
            .args(["-s", name, &id])
            .status()
            .unwrap();
    }

    /// Waits for the end and tells whether it went well.
    pub fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }

    /// Processor time so far.
    pub fn cpu_time(&self) -> Duration {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        let fields: Vec<&str> = text
            .rsplit(')')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        let ticks = |place: usize| {
            fields
                .get(place)
                .and_then(|field| field.parse::<u64>().ok())
        };
        // User and system time, in hundredths of a second.
        let ticks = ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0);
        Duration::from_millis(10 * ticks)
    }

    /// Resident memory in bytes.
    pub fn memory(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id()));
        let text = text.unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024
    }

    /// Status and text of a page at the admin address.
    pub async fn admin_page(&self, path: &str) -> Option<(StatusCode, String)> {
        let client =
            Client::builder(TokioExecutor::new()).build::<_, Empty<Bytes>>(HttpConnector::new());
        let uri = format!("http://{}{path}", self.admin);
        let request = Request::get(uri).body(Empty::new()).ok()?;
        let response = client.request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Value of a metric, summed over its labels.
    pub async fn metric(&self, name: &str) -> f64 {
        let page = self.admin_page("/metrics").await;
        let text = page.map(|(_, text)| text).unwrap_or_default();
        let lines = text.lines().filter(|line| line.starts_with(name));
        lines
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
