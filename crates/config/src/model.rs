//! The things of the operators' world: zones, VMs, backend servers, services,
//! routes, client accounts and keys.

use std::{fmt, net::SocketAddr, time::Duration};

use ids::{
    AccountId, KeyId, Percent, RackId, Rank, RegionId, Revision, ServerId, ServiceId, Slots,
    TokenAmount, TokenRate, VmId, Weight, ZoneId,
};
use serde::{Deserialize, Serialize};

use crate::{KeyDigest, PackedRecord};

/// An availability zone.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Zone {
    /// Its name.
    pub id: ZoneId,
    /// The region that it lies in.
    pub region: RegionId,
}

/// A VM with the address of the daemon on it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Vm {
    /// Its name.
    pub id: VmId,
    /// The availability zone that it runs in.
    pub zone: ZoneId,
    /// The rack that it runs in.
    pub rack: RackId,
    /// Where its daemon takes peers' requests (TCP) and messages (UDP).
    pub address: SocketAddr,
}

/// A backend server.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Backend {
    /// Its name.
    pub id: ServerId,
    /// The VM that it runs on.
    pub vm: VmId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it takes HTTP requests.
    pub address: SocketAddr,
    /// Requests that it runs at a time.
    pub slots: Slots,
    /// Connections that it accepts.
    pub connections: u32,
}

/// What a service prefers when evidence against a backend server is thin.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DetectionMode {
    /// Few false ejections, at the price of slower detection.
    Certain,
    /// A middle way.
    #[default]
    Balanced,
    /// Fast detection, at the price of more false ejections.
    Fast,
}

/// A service: a pool of backend servers and the rules for it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Service {
    /// Its name.
    pub id: ServiceId,
    /// Share of the pool's slots that ejections must leave in rotation.
    pub floor: Percent,
    /// Preference of detection.
    pub detection: DetectionMode,
    /// Time that a request may take in all, in milliseconds.
    pub deadline_ms: u32,
    /// Retries and hedges as a share of recent requests.
    pub retry_budget: Percent,
    /// Whether idempotent requests are hedged.
    pub hedge: bool,
    /// Path of the backend servers' own health endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<Box<str>>,
    /// Path of the backend servers' own load endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load_path: Option<Box<str>>,
}

impl Service {
    /// A service with the rules that hold when none are given.
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
        }
    }

    /// Time that a request may take in all.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(u64::from(self.deadline_ms))
    }
}

/// Priority class of a route's requests.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum PriorityClass {
    /// A customer waits for the answer.
    #[default]
    Customer,
    /// Internal work that must not delay customers.
    Internal,
}

impl fmt::Display for PriorityClass {
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
    /// Everybody; runs for no client account.
    Open,
}

/// Host and path prefix that lead to a service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Route {
    /// Host name without port, or `*` for any.
    pub host: Box<str>,
    /// Path prefix, ends at a `/` boundary.
    pub prefix: Box<str>,
    /// The service behind it.
    pub service: ServiceId,
    /// Priority class.
    pub class: PriorityClass,
    /// Who may use it.
    pub access: Access,
    /// Overrides what the method says about idempotence.
    pub idempotent: Option<bool>,
    /// Long transfers, which may not take every slot.
    pub bulk: bool,
    /// Times, attempts, rank and shares.
    #[serde(default)]
    pub terms: RouteTerms,
}

/// A service's share of a route's traffic.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its share relative to the others.
    pub weight: u32,
}

/// What a route says of its requests beside where they go.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteTerms {
    /// Longest time that a caller is kept waiting, in milliseconds; the
    /// service's deadline if there is none.
    pub timeout_ms: Option<u32>,
    /// Time within which an answer is worth most, in milliseconds.
    pub target_ms: Option<u32>,
    /// Most backend servers that one request may be handed to.
    pub max_attempts: Option<u32>,
    /// Rank among requests that wait for a slot; 0 goes first.
    pub rank: Rank,
    /// Services that share the traffic; empty if all goes to the route's own.
    pub split: Vec<WeightedService>,
}

impl Route {
    /// The service for a request, by a random number.
    pub fn pick_service(&self, random: u64) -> &ServiceId {
        let split = &self.terms.split;
        let total: u64 = split.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return &self.service;
        }
        let mut left = random % total;
        for share in split {
            match left.checked_sub(u64::from(share.weight)) {
                Some(rest) => left = rest,
                None => return &share.service,
            }
        }
        &self.service
    }
}

/// A client account with the rate and burst that hold across the fleet.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Account {
    /// Its name.
    pub id: AccountId,
    /// Requests per second.
    pub rate: TokenRate,
    /// Requests that may come at once.
    pub burst: TokenAmount,
    /// Share where accounts compete for slots.
    pub weight: Weight,
    /// Rank that goes before that of the route.
    #[serde(default)]
    pub rank: Option<Rank>,
}

/// A caller's key, known only by its digest.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CallerKey {
    /// Digest that the presented key must have.
    pub digest: KeyDigest,
    /// Its name, for logs.
    pub id: KeyId,
    /// The client account that it belongs to.
    pub account: AccountId,
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In use.
    Live,
    /// To be shut down soon.
    Leaving,
}

/// A line of the platform's VM list.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct VmEntry {
    /// The VM.
    pub id: VmId,
    /// Its state.
    pub state: VmState,
}

/// The platform's list of live and leaving VMs; it lags.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct VmList {
    /// Rises with each change.
    pub revision: Revision,
    /// VMs, each at most once.
    pub vms: Vec<VmEntry>,
}

impl VmList {
    /// State of `vm`; `None` if it is not listed.
    pub fn state(&self, vm: &VmId) -> Option<VmState> {
        let found = self.vms.iter().find(|entry| entry.id == *vm);
        found.map(|entry| entry.state)
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
