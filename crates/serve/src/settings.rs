//! Settings of one daemon, read from JSON with comments.

use std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc, time::Duration};

use admit::SheddingOrder;
use arc_swap::ArcSwap;
use config::DocFault;
use ids::{Percent, RegionId, ServiceId, VmId, ZoneId};
use serde::Deserialize;

/// Minimum length of the fleet secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Settings of one daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM that the daemon runs on.
    pub vm: VmId,
    /// Availability zone of that VM.
    pub zone: ZoneId,
    /// Address at which callers connect.
    pub ingress: SocketAddr,
    /// Address at which peers connect (TCP) and to which they send messages
    /// (UDP).
    pub peer: SocketAddr,
    /// Address at which operators read metrics and the state dump.
    pub admin: SocketAddr,
    /// Address of the platform, which is the configuration service.
    pub platform: SocketAddr,
    /// Form in which the platform publishes the configuration.
    #[serde(default)]
    pub source: SourceKind,
    /// Region of each availability zone, for a source that does not publish it.
    #[serde(default)]
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// Service of the backend server on this VM, if there is one.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// The fleet secret, unless `secret_file` is given.
    #[serde(default)]
    pub secret: Option<FleetSecret>,
    /// Path of a file that contains the fleet secret.
    #[serde(default)]
    pub secret_file: Option<String>,
    /// Level and target of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits of the resources that callers may use.
    #[serde(default)]
    pub budgets: Budgets,
    /// Policy of the fleet towards its users.
    #[serde(default)]
    pub policy: Policy,
}

/// Settings in force. A reload may replace them while requests run.
pub type LiveSettings = Arc<ArcSwap<Settings>>;

/// Policy of the fleet towards its users. It applies where the configuration
/// does not specify otherwise.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Share of a pool's slots that ejections have to leave in rotation, 0 to 1.
    pub floor_share: f64,
    /// Maximum retries and hedges as a share of the requests of a service, 0 to
    /// 1.
    pub retry_ratio: f64,
    /// Number of retries that the whole fleet may make for one service beyond
    /// that share within a short time.
    pub retry_slack: f64,
    /// Bound of the requests to a cold backend server: in no second more than the rate
    /// of its service times this factor, and `cold_slack` more.
    pub cold_over: f64,
    /// See `cold_over`.
    pub cold_slack: f64,
    /// Number of daemons in each availability zone that read the configuration
    /// from the platform; the others pull it from peers.
    pub readers_per_zone: usize,
    /// Whether requests that need a key are refused while this daemon receives
    /// nothing from the platform or from enough peers.
    pub refuse_isolated: bool,
    /// Time after SIGTERM for which callers are still served, in milliseconds.
    /// In that time, they have to notice that the daemon is not ready.
    pub linger_ms: u64,
    /// What decides between requests of one rank that compete for slots.
    pub shedding_order: OrderKind,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            floor_share: 0.6,
            retry_ratio: 0.1,
            retry_slack: 50.0,
            cold_over: 1.5,
            cold_slack: 8.0,
            readers_per_zone: 3,
            refuse_isolated: true,
            linger_ms: 0,
            shedding_order: OrderKind::default(),
        }
    }
}

impl Policy {
    /// Returns the share of a pool's slots that ejections have to leave in
    /// rotation.
    pub fn floor(&self) -> Percent {
        Percent((self.floor_share * 100.0).round() as u8)
    }

    /// Returns the maximum retries and hedges as a share of the requests of a
    /// service.
    pub fn retry_budget(&self) -> Percent {
        Percent((self.retry_ratio * 100.0).floor() as u8)
    }

    /// Returns the time after SIGTERM for which callers are still served.
    pub fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms)
    }
}

/// What decides between requests of one rank that compete for slots.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum OrderKind {
    /// The fair share of client accounts.
    #[default]
    Account,
    /// The fair share of client accounts and the work that requests need.
    Work,
}

impl From<OrderKind> for SheddingOrder {
    fn from(kind: OrderKind) -> Self {
        match kind {
            OrderKind::Account => Self::Account,
            OrderKind::Work => Self::Work,
        }
    }
}

/// Form in which the platform publishes the configuration.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum SourceKind {
    /// Values created by `dogwoodshore pack`.
    #[default]
    Published,
    /// Resources in the users' own store, which the adapter translates.
    Store,
}

/// Secret that the daemons of a fleet share. `Debug` does not print it.
#[derive(Clone, Deserialize, Eq, PartialEq)]
#[serde(transparent)]
pub struct FleetSecret(String);

impl FleetSecret {
    /// Creates a secret from text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the secret as bytes.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret(..)")
    }
}

/// Level and target of the log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LogLevel,
    /// Stream that the log is written to.
    pub target: LogTarget,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
            target: LogTarget::Stderr,
        }
    }
}

/// Least severe level that is written to the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// Errors, warnings and messages about regular operation.
    Info,
    /// Messages of all levels, with details for troubleshooting.
    Debug,
}

/// Stream that the log is written to. There are no log files, since the VMs have
/// no disk.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogTarget {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
}

/// Limits of the resources that callers may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budgets {
    /// Number of threads that run the daemon. One thread serves thousands of
    /// requests per second. Further threads sleep and wake each other, which
    /// costs more than it gains under light load.
    pub threads: usize,
    /// Maximum number of connections of callers at a time.
    pub connections: usize,
    /// Maximum size of the head of a request, in bytes.
    pub head_bytes: usize,
    /// Maximum time until the head of a request is complete, in milliseconds.
    pub head_timeout_ms: u64,
    /// Maximum time that a connection of a caller may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Maximum number of requests on a connection of a caller that run before those
    /// sent before them are answered; 0 for none.
    pub requests_ahead: usize,
    /// Number of bytes of their answers from which on no more are buffered for a
    /// connection.
    pub ahead_bytes: usize,
    /// Time without any data after which a body counts as broken, in
    /// milliseconds. The same holds for an answer of which its reader takes no byte.
    pub stall_timeout_ms: u64,
    /// Memory of the machine in megabytes, half of which clients may take; 0 for no
    /// bound.
    pub memory_mb: usize,
    /// Whether the memory that the system reports is used where `memory_mb` is 0.
    pub detect_memory: bool,
    /// Number of descriptors of the process, which bounds the connections from
    /// peers; 0 for no bound.
    pub descriptors: usize,
    /// Maximum time that requests in flight get to finish at shutdown, in
    /// seconds.
    pub grace_s: u64,
}

impl Default for Budgets {
    fn default() -> Self {
        Self {
            threads: 1,
            connections: 20_000,
            head_bytes: 16 * 1024,
            head_timeout_ms: 10_000,
            idle_timeout_ms: 10_000,
            requests_ahead: 16,
            ahead_bytes: 256 * 1024,
            stall_timeout_ms: 30_000,
            memory_mb: 0,
            detect_memory: false,
            descriptors: 0,
            grace_s: 600,
        }
    }
}

impl Budgets {
    /// Returns the maximum time until the head of a request is complete.
    pub fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_timeout_ms)
    }

    /// Returns the maximum time that a connection of a caller may be idle.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }

    /// Returns the time without any data after which a body counts as broken.
    pub fn stall_timeout(&self) -> Duration {
        Duration::from_millis(self.stall_timeout_ms)
    }

    /// Returns the maximum time that requests in flight get to finish at
    /// shutdown.
    pub fn grace(&self) -> Duration {
        Duration::from_secs(self.grace_s)
    }
}

impl Settings {
    /// Returns these settings with those fields of `newer` that can change while
    /// the daemon runs, and the names of changed fields that need a restart.
    pub fn with_reloaded(&self, newer: &Self) -> (Self, Vec<&'static str>) {
        let unchanged = [
            (self.vm == newer.vm, "vm"),
            (self.zone == newer.zone, "zone"),
            (self.ingress == newer.ingress, "ingress"),
            (self.peer == newer.peer, "peer"),
            (self.admin == newer.admin, "admin"),
            (self.platform == newer.platform, "platform"),
            (self.source == newer.source, "source"),
            (self.service == newer.service, "service"),
            (self.secret_bytes() == newer.secret_bytes(), "secret"),
            (
                self.budgets.threads == newer.budgets.threads,
                "budgets.threads",
            ),
            (
                self.budgets.memory_mb == newer.budgets.memory_mb,
                "budgets.memory_mb",
            ),
            (
                self.budgets.detect_memory == newer.budgets.detect_memory,
                "budgets.detect_memory",
            ),
            (
                self.budgets.descriptors == newer.budgets.descriptors,
                "budgets.descriptors",
            ),
        ];
        let changed = unchanged.iter().filter(|(same, _)| !same);
        let names = changed.map(|(_, name)| *name).collect();
        let settings = Self {
            zones: newer.zones.clone(),
            budgets: newer.budgets.clone(),
            policy: newer.policy.clone(),
            ..self.clone()
        };
        (settings, names)
    }

    /// Parses settings from the text of `file`, and reads the secret from its own
    /// file if there is one.
    ///
    /// # Errors
    ///
    /// Returns the first fault, with its line, its field and a remedy.
    pub fn parse(file: &str, text: &str) -> Result<Self, DocFault> {
        let mut settings: Self = config::parse_document(file, text)?;
        settings.load_secret(file)?;
        settings.validate(file)?;
        Ok(settings)
    }

    /// Returns the fleet secret as bytes; empty if there is none.
    pub fn secret_bytes(&self) -> &[u8] {
        self.secret.as_ref().map_or(&[], FleetSecret::as_bytes)
    }

    /// Reads the secret from its file, if the settings name one.
    fn load_secret(&mut self, file: &str) -> Result<(), DocFault> {
        let path = match (&self.secret, &self.secret_file) {
            (Some(_), None) => return Ok(()),
            (None, Some(path)) => path,
            (Some(_), Some(_)) => {
                return Err(fault(
                    file,
                    "secret",
                    "give `secret` or `secret_file`, not both",
                ));
            }
            (None, None) => {
                return Err(fault(
                    file,
                    "secret",
                    "missing; give `secret` or `secret_file`",
                ));
            }
        };
        match std::fs::read_to_string(path) {
            Ok(text) => self.secret = Some(FleetSecret::new(text.trim())),
            Err(error) => {
                let message =
                    format!("can't read {path}: {error}; correct the path or its permissions");
                return Err(fault(file, "secret_file", &message));
            }
        }
        Ok(())
    }

    /// Checks the secret, the ranges of numbers and the addresses.
    fn validate(&self, file: &str) -> Result<(), DocFault> {
        let budgets = &self.budgets;
        let checks = [
            (
                self.secret_bytes().len() >= MIN_SECRET_BYTES,
                "secret",
                "too short; use at least 16 random characters, the same on every VM",
            ),
            (
                (1..=256).contains(&budgets.threads),
                "budgets.threads",
                "must be 1 to 256 threads",
            ),
            (
                (1..=1_000_000).contains(&budgets.connections),
                "budgets.connections",
                "must be 1 to 1000000 connections",
            ),
            (
                (1_024..=1_048_576).contains(&budgets.head_bytes),
                "budgets.head_bytes",
                "must be 1024 to 1048576 bytes",
            ),
            (
                (10..=600_000).contains(&budgets.head_timeout_ms),
                "budgets.head_timeout_ms",
                "must be 10 to 600000 milliseconds",
            ),
            (
                (10..=600_000).contains(&budgets.idle_timeout_ms),
                "budgets.idle_timeout_ms",
                "must be 10 to 600000 milliseconds",
            ),
            (
                budgets.requests_ahead <= 1_000,
                "budgets.requests_ahead",
                "must be 0 to 1000 requests; 0 serves them one after the other",
            ),
            (
                (1_024..=1 << 30).contains(&budgets.ahead_bytes),
                "budgets.ahead_bytes",
                "must be 1024 to 1073741824 bytes",
            ),
            (
                (100..=3_600_000).contains(&budgets.stall_timeout_ms),
                "budgets.stall_timeout_ms",
                "must be 100 to 3600000 milliseconds",
            ),
            (
                matches!(budgets.memory_mb, 0 | 16..=1_000_000),
                "budgets.memory_mb",
                "must be 16 to 1000000 megabytes, or 0 for no bound",
            ),
            (
                matches!(budgets.descriptors, 0 | 256..=10_000_000)
                    && (budgets.descriptors == 0 || budgets.connections < budgets.descriptors),
                "budgets.descriptors",
                "must be 256 to 10000000 and more than `connections`, or 0 for no bound",
            ),
            (
                (1..=86_400).contains(&budgets.grace_s),
                "budgets.grace_s",
                "must be 1 to 86400 seconds",
            ),
            (
                (0.0..=1.0).contains(&self.policy.floor_share),
                "policy.floor_share",
                "must be 0 to 1",
            ),
            (
                (0.0..=1.0).contains(&self.policy.retry_ratio),
                "policy.retry_ratio",
                "must be 0 to 1",
            ),
            (
                (0.0..=1e9).contains(&self.policy.retry_slack),
                "policy.retry_slack",
                "must be 0 or more requests",
            ),
            (
                (1.0..=100.0).contains(&self.policy.cold_over),
                "policy.cold_over",
                "must be 1 to 100",
            ),
            (
                (1.0..=1e6).contains(&self.policy.cold_slack),
                "policy.cold_slack",
                "must be 1 to 1000000 requests",
            ),
            (
                self.policy.readers_per_zone > 0,
                "policy.readers_per_zone",
                "must be at least 1",
            ),
            (
                self.ingress.port() == 0 || self.ingress != self.peer,
                "peer",
                "must differ from `ingress`; give peers an address of their own",
            ),
            (
                self.platform.port() != 0,
                "platform",
                "must have a port other than 0",
            ),
            (
                !self.peer.ip().is_unspecified(),
                "peer",
                "must be the VM's own address, as in the inventory, not 0.0.0.0",
            ),
        ];
        match checks.iter().find(|(valid, ..)| !valid) {
            Some((_, field, message)) => Err(fault(file, field, message)),
            None => Ok(()),
        }
    }
}

/// Returns a fault of one field of the settings.
fn fault(file: &str, field: &str, message: &str) -> DocFault {
    DocFault {
        file: file.to_owned(),
        line: 0,
        field: field.to_owned(),
        message: message.to_owned(),
    }
}
