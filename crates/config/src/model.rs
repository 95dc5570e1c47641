//! Types of the configuration: zones, VMs, backend servers, services, routes,
//! client accounts and keys.

use std::{fmt, net::SocketAddr, time::Duration};

use ids::{
    AccountId, KeyId, Percent, RackId, Rank, RegionId, RequestRate, Revision, ServerId, ServiceId,
    Slots, TokenAmount, TokenRate, VmId, Weight, ZoneId,
};
use serde::{Deserialize, Serialize, Serializer, ser::SerializeStruct};

use crate::{KeyDigest, PackedRecord};

/// An availability zone.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Zone {
    /// Name of the zone.
    pub id: ZoneId,
    /// Region of the zone.
    pub region: RegionId,
    /// Whether the zone is evacuated: its backend servers get no new requests.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub evacuated: bool,
}

/// A VM and the address of its daemon.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Vm {
    /// Name of the VM.
    pub id: VmId,
    /// Availability zone that the VM runs in.
    pub zone: ZoneId,
    /// Rack that the VM runs in.
    pub rack: RackId,
    /// Address where the daemon accepts requests (TCP) and messages (UDP) from
    /// its peers.
    pub address: SocketAddr,
}

/// A backend server.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub struct Backend {
    /// Name of the backend server.
    pub id: ServerId,
    /// VM that the backend server runs on.
    pub vm: VmId,
    /// Service that the backend server belongs to.
    pub service: ServiceId,
    /// Address where the backend server accepts HTTP requests.
    pub address: SocketAddr,
    /// Maximum number of requests that run concurrently.
    pub slots: Slots,
    /// Maximum number of connections that the backend server accepts.
    pub connections: u32,
    /// Whether the backend server is cold after a start, and takes only the rate of
    /// its service's [`ColdTerms`].
    #[serde(default)]
    pub cold: bool,
}

impl Serialize for Backend {
    /// Leaves out `cold` in text if it is false, so that the digests of other servers
    /// are those of earlier versions. The packed form has all fields.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let skip_cold = serializer.is_human_readable() && !self.cold;
        let mut fields = serializer.serialize_struct("Backend", 7 - usize::from(skip_cold))?;
        fields.serialize_field("id", &self.id)?;
        fields.serialize_field("vm", &self.vm)?;
        fields.serialize_field("service", &self.service)?;
        fields.serialize_field("address", &self.address)?;
        fields.serialize_field("slots", &self.slots)?;
        fields.serialize_field("connections", &self.connections)?;
        match skip_cold {
            true => fields.skip_field("cold")?,
            false => fields.serialize_field("cold", &self.cold)?,
        }
        fields.end()
    }
}

/// What a backend server of a service takes after its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ColdTerms {
    /// Time for which it is cold after a start, in milliseconds.
    pub after_start_ms: u32,
    /// Rate that it takes from the whole fleet while it is cold.
    pub rate: RequestRate,
}

impl ColdTerms {
    /// Time for which a backend server is cold after a start.
    pub fn after_start(&self) -> Duration {
        Duration::from_millis(u64::from(self.after_start_ms))
    }
}

/// What a service prefers while evidence against a backend server is weak: few
/// false ejections or fast detection.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DetectionMode {
    /// Few false ejections, but slower detection.
    Certain,
    /// A compromise between `Certain` and `Fast`.
    #[default]
    Balanced,
    /// Fast detection, but more false ejections.
    Fast,
}

/// A service: the rules for a pool of backend servers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Minimum share of the pool's slots that ejections leave in rotation.
    pub floor: Percent,
    /// Whether few false ejections or fast detection is preferred.
    pub detection: DetectionMode,
    /// Time limit for a request including its retries, in milliseconds.
    pub deadline_ms: u32,
    /// Maximum number of retries and hedges, in percent of recent requests.
    pub retry_budget: Percent,
    /// Whether idempotent requests are hedged.
    pub hedge: bool,
    /// Path of the health endpoint that the backend servers provide.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<Box<str>>,
    /// Path of the load endpoint that the backend servers provide.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load_path: Option<Box<str>>,
    /// What a backend server takes after its start, if that is less than later.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdTerms>,
}

impl Service {
    /// Returns a service with the default rules.
    pub fn with_defaults(id: ServiceId) -> Self {
        Self {
            id,
            floor: Percent(60),
            detection: DetectionMode::default(),
            deadline_ms: 5_000,
            retry_budget: Percent(10),
            hedge: true,
            health_path: None,
            load_path: None,
            cold: None,
        }
    }

    /// Time limit for a request including its retries.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(u64::from(self.deadline_ms))
    }
}

/// Traffic class of a route's requests.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum TrafficClass {
    /// Requests whose answer a customer waits for.
    #[default]
    Customer,
    /// Internal requests, which must not delay those of customers.
    Internal,
}

impl fmt::Display for TrafficClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Customer => "customer",
            Self::Internal => "internal",
        })
    }
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Access {
    /// Callers with a valid key.
    #[default]
    Keyed,
    /// All callers; requests are not assigned to a client account.
    Open,
}

/// Maps requests for a host and path prefix to a service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Route {
    /// Host name without port, or `*` for any host.
    pub host: Box<str>,
    /// Path prefix; matches whole path segments only.
    pub prefix: Box<str>,
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Traffic class of the requests.
    pub class: TrafficClass,
    /// Who may use the route.
    pub access: Access,
    /// Whether requests are idempotent; `None` decides it by their method.
    pub idempotent: Option<bool>,
    /// Whether requests are bulk transfers, which may not occupy all slots.
    pub bulk: bool,
    /// Timeouts, number of attempts, rank and traffic split.
    #[serde(default)]
    pub terms: RouteTerms,
}

/// A service that receives a weighted share of a route's traffic.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Timeouts, number of attempts, rank, traffic split and homes of a route.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteTerms {
    /// Maximum time that a caller waits for the answer, in milliseconds;
    /// `None` uses the deadline of the service.
    pub timeout_ms: Option<u32>,
    /// Target latency in milliseconds: a later answer is worth less to the
    /// caller.
    pub target_ms: Option<u32>,
    /// Maximum number of backend servers that one request is sent to.
    pub max_attempts: Option<u32>,
    /// Rank among requests that wait for a slot; 0 goes first.
    pub rank: Rank,
    /// Services that the traffic is split between; if empty, all of it goes to
    /// the route's `service`.
    pub split: Vec<WeightedService>,
    /// Regions that requests may be run in; if empty, all of them.
    pub homes: Vec<RegionId>,
}

impl Route {
    /// Chooses the service for a request with the given random number.
    ///
    /// Each service is chosen in proportion to its weight.
    pub fn pick_service(&self, random: u64) -> &ServiceId {
        let split = &self.terms.split;
        let total: u64 = split
            .iter()
            .map(|weighted| u64::from(weighted.weight))
            .sum();
        if total == 0 {
            return &self.service;
        }
        let mut left = random % total;
        for weighted in split {
            match left.checked_sub(u64::from(weighted.weight)) {
                Some(rest) => left = rest,
                None => return &weighted.service,
            }
        }
        &self.service
    }
}

/// A client account with its rate limit, which applies across the fleet.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub struct Account {
    /// Name of the account.
    pub id: AccountId,
    /// Sustained rate, in requests per second.
    pub rate: TokenRate,
    /// Maximum number of requests in a burst.
    pub burst: TokenAmount,
    /// Weight relative to other accounts that compete for slots.
    pub weight: Weight,
    /// Rank of the account's requests; overrides the rank of the route.
    #[serde(default)]
    pub rank: Option<Rank>,
    /// Regions that requests may be run in; if empty, all of them. Those of the route
    /// apply as well.
    #[serde(default)]
    pub homes: Vec<RegionId>,
}

/// Rate of accounts without a limit, in requests per second; far above what a fleet
/// serves.
const UNLIMITED_RATE: u64 = 10_000_000;

impl Account {
    /// Returns the rate and the burst of an account without a limit.
    pub fn unlimited() -> (TokenRate, TokenAmount) {
        (
            TokenRate::per_second(UNLIMITED_RATE),
            TokenAmount::whole(UNLIMITED_RATE),
        )
    }

    /// Whether the account has a limit. Requests of one without a limit need no
    /// tokens.
    pub fn is_limited(&self) -> bool {
        self.rate.as_f64() < UNLIMITED_RATE as f64
    }
}

/// Limits of callers' connections. The settings of a daemon apply instead of a
/// missing one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct ClientLimits {
    /// Maximum size of the head of a request, in bytes.
    pub head_bytes: Option<u32>,
    /// Maximum size of the body of a request, in bytes.
    pub body_bytes: Option<u64>,
    /// Maximum time from the first byte of a head to its last, in milliseconds.
    pub head_timeout_ms: Option<u32>,
    /// Maximum time that a connection may be idle between requests, in
    /// milliseconds.
    pub idle_timeout_ms: Option<u32>,
}

/// A caller's key, stored only as a digest.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CallerKey {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Name of the key, for logs.
    pub id: KeyId,
    /// Client account that the key belongs to.
    pub account: AccountId,
}

/// A caller's key that a daemon has found in its table.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CheckedKey {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Revision of the table that contains the key.
    pub revision: Revision,
}

/// State of a VM according to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is in use.
    Live,
    /// The VM will be shut down soon.
    Leaving,
}

/// An entry of the platform's VM list.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub id: VmId,
    /// State of the VM.
    pub state: VmState,
}

/// The platform's list of live and leaving VMs, which may be out of date.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct VmList {
    /// Revision of the list; increases with each change.
    pub revision: Revision,
    /// The VMs, each listed at most once.
    pub vms: Vec<VmEntry>,
}

impl VmList {
    /// Returns the state of `vm`, or `None` if the VM is not listed.
    pub fn state(&self, vm: &VmId) -> Option<VmState> {
        let entry = self.vms.iter().find(|entry| entry.id == *vm);
        entry.map(|entry| entry.state)
    }
}

impl PackedRecord for Backend {
    type Key<'a> = &'a str;

    fn key(&self) -> &str {
        self.id.as_str()
    }
}

impl PackedRecord for Route {
    type Key<'a> = (&'a str, &'a str);

    fn key(&self) -> (&str, &str) {
        (&self.host, &self.prefix)
    }
}

impl PackedRecord for Account {
    type Key<'a> = &'a str;

    fn key(&self) -> &str {
        self.id.as_str()
    }
}

impl PackedRecord for CallerKey {
    type Key<'a> = KeyDigest;

    fn key(&self) -> KeyDigest {
        self.digest
    }
}
