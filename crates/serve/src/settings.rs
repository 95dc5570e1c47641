//! Settings of one daemon, in JSON with comments.

use std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use config::DocFault;
use ids::{Percent, RegionId, ServiceId, VmId, ZoneId};
use serde::Deserialize;

/// Shortest fleet secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Settings of one daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM that it runs on.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers connect.
    pub ingress: SocketAddr,
    /// Where peers connect (TCP) and send messages (UDP).
    pub peer: SocketAddr,
    /// Where operators read metrics and the state dump.
    pub admin: SocketAddr,
    /// The configuration service.
    pub platform: SocketAddr,
    /// What the configuration service publishes.
    #[serde(default)]
    pub source: SourceKind,
    /// Regions by availability zone, for a source that does not give them.
    #[serde(default)]
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// The service of the backend server on this VM, if there is one.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// The fleet secret itself.
    #[serde(default)]
    pub secret: Option<FleetSecret>,
    /// File with the fleet secret.
    #[serde(default)]
    pub secret_file: Option<String>,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Bounds of what callers may use.
    #[serde(default)]
    pub budgets: Budgets,
    /// What the fleet promises its users.
    #[serde(default)]
    pub policy: Policy,
}

/// Settings in force, which a reload may change while requests run.
pub type LiveSettings = Arc<ArcSwap<Settings>>;

/// What the fleet promises its users, where the configuration does not say.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Share of a pool's slots that ejections leave in rotation, 0 to 1.
    pub floor_share: f64,
    /// Retries and hedges as a share of a service's requests, 0 to 1.
    pub retry_ratio: f64,
    /// Retries of one service that the whole fleet may make beyond that share
    /// within a short time.
    pub retry_slack: f64,
    /// Daemons of each availability zone that watch the platform.
    pub readers_per_zone: usize,
    /// Whether requests with a key are refused while neither the platform nor
    /// the peers are heard.
    pub refuse_isolated: bool,
    /// Time after SIGTERM for which callers are still served, in
    /// milliseconds: until they have seen that the daemon is not ready.
    pub linger_ms: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            floor_share: 0.6,
            retry_ratio: 0.1,
            retry_slack: 50.0,
            readers_per_zone: 3,
            refuse_isolated: true,
            linger_ms: 0,
        }
    }
}

impl Policy {
    /// Share of a pool's slots that ejections leave in rotation.
    pub fn floor(&self) -> Percent {
        Percent((self.floor_share * 100.0).round() as u8)
    }

    /// Retries and hedges as a share of a service's requests.
    pub fn retry_budget(&self) -> Percent {
        Percent((self.retry_ratio * 100.0).floor() as u8)
    }

    /// Time after SIGTERM for which callers are still served.
    pub fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms)
    }
}

/// What the configuration service publishes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum SourceKind {
    /// The values that `dogwoodshore pack` makes.
    #[default]
    Published,
    /// The users' own store, read by the adapter.
    Store,
}

/// The secret that the daemons of a fleet share; never printed.
#[derive(Clone, Deserialize, Eq, PartialEq)]
#[serde(transparent)]
pub struct FleetSecret(String);

impl FleetSecret {
    /// A secret from text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The secret as bytes.
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
    /// Least level that is written.
    pub level: LogLevel,
    /// Where it is written.
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

/// Least level that is written to the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings too.
    Warn,
    /// What operators want to know.
    Info,
    /// Details for finding faults.
    Debug,
}

/// Where the log is written; the VMs have no disk.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogTarget {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
}

/// Bounds of what callers may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budgets {
    /// Threads that run the daemon. One carries thousands of requests a
    /// second; further ones sleep and wake each other, which at light load
    /// costs more than they bring.
    pub threads: usize,
    /// Callers' connections at a time.
    pub connections: usize,
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Time for a whole head of a request, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time without a byte after which a body counts as broken, in
    /// milliseconds.
    pub stall_timeout_ms: u64,
    /// Time for what is in flight at shutdown, in seconds.
    pub grace_s: u64,
}

impl Default for Budgets {
    fn default() -> Self {
        Self {
            threads: 1,
            connections: 20_000,
            head_bytes: 16 * 1024,
            head_timeout_ms: 10_000,
            stall_timeout_ms: 30_000,
            grace_s: 600,
        }
    }
}

impl Budgets {
    /// Time for a whole head of a request.
    pub fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_timeout_ms)
    }

    /// Time without a byte after which a body counts as broken.
    pub fn stall_timeout(&self) -> Duration {
        Duration::from_millis(self.stall_timeout_ms)
    }

    /// Time for what is in flight at shutdown.
    pub fn grace(&self) -> Duration {
        Duration::from_secs(self.grace_s)
    }
}

impl Settings {
    /// These settings with what of `newer` can change while the daemon runs,
    /// and the names of the fields that need a restart.
    pub fn with_reloaded(&self, newer: &Self) -> (Self, Vec<&'static str>) {
        let fixed = [
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
        ];
        let changed = fixed.iter().filter(|(same, _)| !same);
        let names = changed.map(|(_, name)| *name).collect();
        let settings = Self {
            zones: newer.zones.clone(),
            budgets: newer.budgets.clone(),
            policy: newer.policy.clone(),
            ..self.clone()
        };
        (settings, names)
    }

    /// Reads settings from the text of `file`, and the secret from its file.
    ///
    /// # Errors
    ///
    /// The first fault, with its line, field and remedy.
    pub fn parse(file: &str, text: &str) -> Result<Self, DocFault> {
        let mut settings: Self = config::parse_document(file, text)?;
        settings.load_secret(file)?;
        settings.check(file)?;
        Ok(settings)
    }

    /// The fleet secret.
    pub fn secret_bytes(&self) -> &[u8] {
        self.secret.as_ref().map_or(&[], FleetSecret::as_bytes)
    }

    /// Takes the secret from its file, if it stands in one.
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
                let message = format!("can't read {path}: {error}; correct the path or its rights");
                return Err(fault(file, "secret_file", &message));
            }
        }
        Ok(())
    }

    /// Checks sizes and addresses.
    fn check(&self, file: &str) -> Result<(), DocFault> {
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
                (100..=3_600_000).contains(&budgets.stall_timeout_ms),
                "budgets.stall_timeout_ms",
                "must be 100 to 3600000 milliseconds",
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
        match checks.iter().find(|(good, ..)| !good) {
            Some((_, field, message)) => Err(fault(file, field, message)),
            None => Ok(()),
        }
    }
}

/// A fault of a field.
fn fault(file: &str, field: &str, message: &str) -> DocFault {
    DocFault {
        file: file.to_owned(),
        line: 0,
        field: field.to_owned(),
        message: message.to_owned(),
    }
}
