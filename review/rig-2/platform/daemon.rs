//! A daemon as a separate process, with the settings template of the deploy file.

use std::{
    collections::HashSet,
    fs::File,
    io,
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use crate::{http::Wire, record::Record};

/// Addresses and settings of one daemon, and its process while it runs.
pub struct Daemon {
    record: Record,
    pub number: usize,
    pub door: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// What the platform fills into the template of the settings.
pub struct Fields<'a> {
    pub zone: &'a str,
    pub service: &'a str,
    pub store: SocketAddr,
    /// Stands for the address of the store in the secret, which all daemons share.
    pub fleet: &'a str,
    pub peer_port: u16,
    /// Memory of the machine in megabytes. The daemon reads it from the system, which
    /// can't be told another one here, so it becomes a setting.
    pub memory_mb: Option<u32>,
}

impl Daemon {
    pub fn new(
        record: &Record,
        folder: &std::path::Path,
        number: usize,
        ip: &str,
        ports: (u16, u16),
        fields: &Fields<'_>,
    ) -> io::Result<Self> {
        let address = |port| -> SocketAddr { format!("{ip}:{port}").parse().unwrap() };
        let (door, ready) = (address(ports.0), address(ports.1));
        let template = std::fs::read_to_string("deploy/settings.json")?;
        let secret = "fleet of the store at {{platform.address}}";
        let text = template
            .replace(secret, &format!("fleet of the store at {}", fields.fleet))
            .replace("{{ip}}", ip)
            .replace("{{zone}}", fields.zone)
            .replace("{{listenAddrs.outbound}}", &door.to_string())
            .replace("{{portRange.0}}", &fields.peer_port.to_string())
            .replace("{{listenAddrs.ready}}", &ready.to_string())
            .replace("{{platform.address}}", &fields.store.to_string())
            .replace(
                "{{zones|json}}",
                &format!(r#"{{"{}":"region"}}"#, fields.zone),
            )
            .replace("{{service|json}}", &format!(r#""{}""#, fields.service))
            .replace("{{bounds.graceS}}", "6")
            .replace("{{bounds.floorShare}}", "0.7")
            .replace("{{bounds.retryBudgetRatio}}", "0.2")
            .replace("{{bounds.budgetSlack}}", "60");
        let text = match fields.memory_mb {
            Some(memory) => text.replace(
                r#""detect_memory": true"#,
                &format!(r#""memory_mb": {memory}"#),
            ),
            None => text,
        };
        if text.contains("{{") {
            return Err(io::Error::other("the template has unknown placeholders"));
        }
        let settings = folder.join(format!("settings-{number}.json"));
        std::fs::write(&settings, text)?;
        Ok(Self {
            record: record.clone(),
            number,
            door,
            ready,
            settings,
            log: folder.join(format!("daemon-{number}.log")),
            child: None,
        })
    }

    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/dogwoodshore")
            .arg("run")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.record
            .note(&format!("daemon {} is started", self.number));
        Ok(())
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .note(&format!("daemon {} is killed", self.number));
        }
    }

    /// Whether the process runs.
    pub fn is_alive(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the lines of the log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }

    /// Returns the resident memory of the process in bytes.
    pub fn memory(&self) -> u64 {
        let id = self.child.as_ref().map_or(0, |child| child.id());
        let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024
    }

    /// Returns the bytes that have been received on the process's connections and that
    /// it has not read.
    pub fn unread_bytes(&self) -> u64 {
        let id = self.child.as_ref().map_or(0, |child| child.id());
        let Ok(descriptors) = std::fs::read_dir(format!("/proc/{id}/fd")) else {
            return 0;
        };
        let links = descriptors.flatten();
        let links = links.filter_map(|entry| std::fs::read_link(entry.path()).ok());
        let sockets: HashSet<String> = links
            .filter_map(|link| {
                let name = link.to_string_lossy().into_owned();
                let inode = name.strip_prefix("socket:[")?.strip_suffix(']')?;
                Some(inode.to_owned())
            })
            .collect();
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let lines = table.lines().skip(1);
        lines
            .filter_map(|line| {
                let fields: Vec<&str> = line.split_whitespace().collect();
                let (state, queues, inode) = (fields.get(3)?, fields.get(4)?, fields.get(9)?);
                // The queue of a listener counts connections.
                let open = *state != "0A" && sockets.contains(*inode);
                let (_, received) = queues.split_once(':')?;
                open.then(|| u64::from_str_radix(received, 16).unwrap_or(0))
            })
            .sum()
    }

    /// Asks whether the daemon is ready, as the platform does with the mapping of
    /// `deploy/wire.toml`. Returns the status, or `None` without an answer in time.
    pub fn ask_ready(&self, limit: Duration) -> Option<u16> {
        let stream = TcpStream::connect_timeout(&self.ready, limit).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        let mut wire = Wire::new(stream);
        let request = format!("GET /ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        wire.write(request.as_bytes()).ok()?;
        let head = wire.read_head().ok()??;
        head.first.split(' ').nth(1)?.parse().ok()
    }

    /// Waits until the daemon is ready.
    pub fn wait_ready(&mut self, limit: Duration) -> Result<(), String> {
        let end = self.record.now() + limit.as_millis() as u64;
        while self.record.now() < end && self.is_alive() {
            if self.ask_ready(Duration::from_millis(500)) == Some(200) {
                self.record
                    .note(&format!("daemon {} is ready", self.number));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err(format!("daemon {} is not ready", self.number))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
