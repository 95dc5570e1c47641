//! Records, the units of the configuration, and their identities.

use std::fmt;

use ids::{AccountId, ServerId, ServiceId, VmId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::{Account, Backend, CallerKey, ClientLimits, KeyDigest, Route, Service, Vm, Zone};

/// One unit of the configuration.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Record {
    /// An availability zone.
    Zone(Zone),
    /// A VM.
    Vm(Vm),
    /// A backend server.
    Server(Backend),
    /// A service.
    Service(Service),
    /// A route.
    Route(Route),
    /// A client account.
    Account(Account),
    /// A caller's key.
    Key(CallerKey),
    /// Limits of callers' connections; at most one.
    Limits(ClientLimits),
}

/// Identity of a record, unique within a configuration.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RecordId {
    /// An availability zone.
    Zone(ZoneId),
    /// A VM.
    Vm(VmId),
    /// A service.
    Service(ServiceId),
    /// A backend server.
    Server(ServerId),
    /// A route, by host and prefix.
    Route(Box<str>, Box<str>),
    /// A client account.
    Account(AccountId),
    /// A caller's key, by its digest.
    Key(KeyDigest),
    /// Limits of callers' connections.
    Limits,
}

impl Record {
    /// Returns the identity of the record.
    pub fn id(&self) -> RecordId {
        match self {
            Self::Zone(zone) => RecordId::Zone(zone.id.clone()),
            Self::Vm(vm) => RecordId::Vm(vm.id.clone()),
            Self::Server(server) => RecordId::Server(server.id.clone()),
            Self::Service(service) => RecordId::Service(service.id.clone()),
            Self::Route(route) => RecordId::Route(route.host.clone(), route.prefix.clone()),
            Self::Account(account) => RecordId::Account(account.id.clone()),
            Self::Key(key) => RecordId::Key(key.digest),
            Self::Limits(_) => RecordId::Limits,
        }
    }

    /// Encodes the record as JSON, which is what digests are computed over.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record has no map whose keys are not strings")
    }
}

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Zone(id) => write!(f, "zone {id}"),
            Self::Vm(id) => write!(f, "VM {id}"),
            Self::Service(id) => write!(f, "service {id}"),
            Self::Server(id) => write!(f, "backend server {id}"),
            Self::Route(host, prefix) => write!(f, "route {host}{prefix}"),
            Self::Account(id) => write!(f, "account {id}"),
            Self::Key(digest) => write!(f, "key with digest {digest}"),
            Self::Limits => f.write_str("limits of callers' connections"),
        }
    }
}
