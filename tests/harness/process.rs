//! Runs daemons as separate processes, for tests, benches and the soak.

#![allow(dead_code, reason = "each user of this file uses only a part of it")]

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

/// Default of the grace period, in seconds.
pub const GRACE_S: u64 = 600;

/// Daemon that runs as a separate process and is killed on drop.
pub struct DaemonProcess {
    child: Child,
    pub ingress: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
}

/// Addresses for a daemon that has not been started yet.
#[derive(Clone, Copy, Debug)]
pub struct FreeAddresses {
    pub ingress: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
}

impl FreeAddresses {
    /// Finds ports that are free at the moment. They lie below the range of
    /// ephemeral ports: an ephemeral port was sometimes taken by an outgoing
    /// connection before the daemon could bind it.
    pub fn find() -> Self {
        let [ingress, peer, admin] = [(); 3].map(|()| free_port());
        Self {
            ingress,
            peer,
            admin,
        }
    }
}

/// Returns the number of threads of each daemon: the environment variable
/// `DAEMON_THREADS`, or 1.
fn daemon_threads() -> usize {
    let wanted = std::env::var("DAEMON_THREADS").ok();
    wanted.and_then(|text| text.parse().ok()).unwrap_or(1)
}

/// Offset of the next port to try. [`free_port`] adds an offset per process, so
/// that concurrent test processes try different ports.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address whose port can be bound for both TCP and UDP.
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
    /// Starts a daemon and discards its log lines.
    pub fn start(
        index: usize,
        zones: usize,
        addresses: FreeAddresses,
        platform: SocketAddr,
        secret: &str,
    ) -> Self {
        let log = Stdio::null();
        Self::start_logged(index, zones, addresses, platform, secret, log, GRACE_S)
    }

    /// Starts a daemon with a settings file and a grace period, and writes its log lines
    /// to `log`.
    pub fn start_logged(
        index: usize,
        zones: usize,
        addresses: FreeAddresses,
        platform: SocketAddr,
        secret: &str,
        log: Stdio,
        grace_s: u64,
    ) -> Self {
        let budgets = format!(r#", "grace_s": {grace_s}"#);
        Self::start_limited(index, zones, addresses, platform, secret, log, &budgets)
    }

    /// Starts a daemon like [`Self::start_logged`], with further fields of its
    /// budgets, each with a leading comma.
    pub fn start_limited(
        index: usize,
        zones: usize,
        addresses: FreeAddresses,
        platform: SocketAddr,
        secret: &str,
        log: Stdio,
        budgets: &str,
    ) -> Self {
        let settings = format!(
            r#"{{ "vm": "vm-{index}", "zone": "zone-{}", // a comment
                "ingress": "{}", "peer": "{}", "admin": "{}", "platform": "{platform}",
                "secret": "{secret}", "log": {{ "level": "warn" }},
                "budgets": {{ "threads": {}{budgets} }} }}"#,
            index % zones,
            addresses.ingress,
            addresses.peer,
            addresses.admin,
            daemon_threads(),
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

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the process a signal, given by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        Command::new("kill")
            .args(["-s", name, &id])
            .status()
            .unwrap();
    }

    /// Waits until the process exits. Returns whether its exit code was 0.
    pub fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }

    /// Returns the CPU time that the process has used.
    pub fn cpu_time(&self) -> Duration {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        let fields: Vec<&str> = text
            .rsplit(')')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        let field = |index: usize| {
            fields
                .get(index)
                .and_then(|field| field.parse::<u64>().ok())
        };
        // User and system time, in clock ticks of 10 ms.
        let ticks = field(11).unwrap_or(0) + field(12).unwrap_or(0);
        Duration::from_millis(10 * ticks)
    }

    /// Returns the resident memory in bytes, or 0 if it can't be read.
    pub fn memory(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id()));
        let text = text.unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024
    }

    /// Returns the largest resident memory that the process has had, in bytes; 0 if
    /// it can't be read.
    pub fn peak_memory(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id()));
        let text = text.unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024
    }

    /// Returns the number of open descriptors, or 0 if it can't be read.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.id())).map_or(0, Iterator::count)
    }

    /// Whether the process still runs.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the status and text of a page of the admin address, or `None` if
    /// the request fails.
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

    /// Returns the sum of all metric samples whose name begins with `name`.
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
