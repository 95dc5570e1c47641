//! The two documents that operators write: the inventory, which an asset
//! register exports, and the rules.

use std::{collections::BTreeMap, net::SocketAddr};

use ids::{
    AccountId, FastSet, KeyId, Percent, RackId, Rank, RegionId, ServerId, ServiceId, Slots,
    TokenAmount, TokenRate, VmId, Weight, ZoneId,
};
use serde::Deserialize;

use crate::{
    Access, Account, Backend, CallerKey, DetectionMode, DocFault, KeyDigest, Record, Route,
    RouteTerms, Service, TrafficClass, Vm, Zone, check_records,
    jsonc::{PathSegment, line_of, parse_document},
};

/// Slots of a backend server if the inventory does not specify them.
const DEFAULT_SLOTS: Slots = Slots(4);
/// Connections of a backend server if the inventory does not specify them.
const DEFAULT_CONNECTIONS: u32 = 300;

/// The inventory document, as an asset register exports it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InventoryDoc {
    /// Regions and their availability zones.
    pub regions: Vec<RegionDoc>,
    /// VMs and the backend servers on them.
    pub vms: Vec<VmDoc>,
}

/// A region of the inventory.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionDoc {
    /// Name of the region.
    pub name: RegionId,
    /// Availability zones in the region.
    pub zones: Vec<ZoneId>,
}

/// A VM of the inventory.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmDoc {
    /// Name of the VM.
    pub name: VmId,
    /// Availability zone that the VM runs in.
    pub zone: ZoneId,
    /// Rack that the VM runs in.
    pub rack: RackId,
    /// Address where the daemon accepts traffic from its peers.
    pub address: SocketAddr,
    /// Backend servers on the VM.
    #[serde(default)]
    pub servers: Vec<ServerDoc>,
}

/// A backend server of the inventory.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerDoc {
    /// Name of the backend server.
    pub name: ServerId,
    /// Service that the backend server belongs to.
    pub service: ServiceId,
    /// Address where the backend server accepts HTTP requests.
    pub address: SocketAddr,
    /// Maximum number of requests that run concurrently.
    pub slots: Option<Slots>,
    /// Maximum number of connections that the backend server accepts.
    pub connections: Option<u32>,
}

/// The rules document.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulesDoc {
    /// Services by name; other services of the inventory get default rules.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, ServiceDoc>,
    /// Routes to services.
    pub routes: Vec<RouteDoc>,
    /// Client accounts by name.
    #[serde(default)]
    pub accounts: BTreeMap<AccountId, AccountDoc>,
    /// Callers' keys by name.
    #[serde(default)]
    pub keys: BTreeMap<KeyId, KeyDoc>,
}

/// Rules of a service.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDoc {
    /// Minimum share of the slots that ejections leave in rotation, in percent.
    pub floor: Option<Percent>,
    /// Whether few false ejections or fast detection is preferred.
    pub detection: Option<DetectionMode>,
    /// Time limit for a request including its retries, in milliseconds.
    pub deadline_ms: Option<u32>,
    /// Maximum number of retries and hedges, in percent of recent requests.
    pub retry_budget: Option<Percent>,
    /// Whether idempotent requests are hedged.
    pub hedge: Option<bool>,
    /// Path of the health endpoint that the backend servers provide.
    pub health_path: Option<Box<str>>,
    /// Path of the load endpoint that the backend servers provide.
    pub load_path: Option<Box<str>>,
}

/// A route of the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteDoc {
    /// Host name without port; `None` matches any host.
    pub host: Option<String>,
    /// Path prefix; matches whole path segments only.
    pub prefix: String,
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Traffic class of the requests.
    #[serde(default)]
    pub class: TrafficClass,
    /// Who may use the route.
    #[serde(default)]
    pub access: Access,
    /// Whether requests are idempotent; `None` decides it by their method.
    pub idempotent: Option<bool>,
    /// Whether requests are bulk transfers, which may not occupy all slots.
    #[serde(default)]
    pub bulk: bool,
    /// Timeouts, number of attempts, rank and traffic split.
    #[serde(default)]
    pub terms: RouteTerms,
}

/// A client account of the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountDoc {
    /// Sustained rate across the fleet, in requests per second.
    pub rate: u64,
    /// Maximum number of requests in a burst across the fleet.
    pub burst: u64,
    /// Weight relative to other accounts that compete for slots.
    pub weight: Option<Weight>,
    /// Rank of the account's requests; overrides the rank of the route.
    pub rank: Option<Rank>,
    /// Regions that requests may be run in; if empty, all of them.
    #[serde(default)]
    pub homes: Vec<RegionId>,
}

/// A caller's key of the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyDoc {
    /// Client account that the key belongs to.
    pub account: AccountId,
    /// Digest of the key, as `dogwoodshore digest` prints it.
    pub digest: KeyDigest,
}

/// File and JSON path that a record was read from.
struct RecordSource {
    file: String,
    path: Vec<PathSegment>,
}

/// Records of both documents, with their sources for error messages.
struct RecordList<'a> {
    inventory: &'a str,
    rules: &'a str,
    records: Vec<Record>,
    /// Source of each record, at the same index.
    sources: Vec<RecordSource>,
}

impl RecordList<'_> {
    /// Adds a record that was read from `path` in `file`.
    fn push(&mut self, record: Record, file: &str, path: &[PathSegment]) {
        self.records.push(record);
        self.sources.push(RecordSource {
            file: file.to_owned(),
            path: path.to_vec(),
        });
    }

    /// Adds the records of the inventory.
    fn add_inventory(&mut self, doc: InventoryDoc) {
        let file = self.inventory.to_owned();
        for (region_index, region) in doc.regions.into_iter().enumerate() {
            for (zone_index, id) in region.zones.into_iter().enumerate() {
                let zone = Zone {
                    id,
                    region: region.name.clone(),
                    evacuated: false,
                };
                let path = [
                    property("regions"),
                    PathSegment::Index(region_index),
                    property("zones"),
                    PathSegment::Index(zone_index),
                ];
                self.push(Record::Zone(zone), &file, &path);
            }
        }
        for (index, vm) in doc.vms.into_iter().enumerate() {
            self.add_vm(vm, &file, index);
        }
    }

    /// Adds a VM and its backend servers.
    fn add_vm(&mut self, doc: VmDoc, file: &str, vm_index: usize) {
        let id = doc.name;
        let vm = Vm {
            id: id.clone(),
            zone: doc.zone,
            rack: doc.rack,
            address: doc.address,
        };
        let vm_path = [property("vms"), PathSegment::Index(vm_index)];
        self.push(Record::Vm(vm), file, &vm_path);
        for (index, server) in doc.servers.into_iter().enumerate() {
            let slots = server.slots.unwrap_or(DEFAULT_SLOTS);
            let backend = Backend {
                id: server.name,
                vm: id.clone(),
                service: server.service,
                address: server.address,
                slots,
                connections: server.connections.unwrap_or(DEFAULT_CONNECTIONS),
                cold: false,
            };
            let path = [
                vm_path.as_slice(),
                &[property("servers"), PathSegment::Index(index)],
            ]
            .concat();
            self.push(Record::Server(backend), file, &path);
        }
    }

    /// Adds the records of the rules, and default rules for services without
    /// their own.
    fn add_rules(&mut self, doc: RulesDoc) {
        let file = self.rules.to_owned();
        self.add_default_services(&doc);
        for (id, rule) in doc.services {
            let path = [property("services"), property(id.as_str())];
            self.push(Record::Service(service_of(id, &rule)), &file, &path);
        }
        for (index, rule) in doc.routes.into_iter().enumerate() {
            let route = Route {
                host: rule.host.as_deref().unwrap_or("*").into(),
                prefix: rule.prefix.into(),
                service: rule.service,
                class: rule.class,
                access: rule.access,
                idempotent: rule.idempotent,
                bulk: rule.bulk,
                terms: rule.terms,
            };
            self.push(
                Record::Route(route),
                &file,
                &[property("routes"), PathSegment::Index(index)],
            );
        }
        for (id, rule) in doc.accounts {
            let path = [property("accounts"), property(id.as_str())];
            let account = Account {
                id,
                rate: TokenRate::per_second(rule.rate),
                burst: TokenAmount::whole(rule.burst),
                weight: rule.weight.unwrap_or(Weight(1)),
                rank: rule.rank,
                homes: rule.homes,
            };
            self.push(Record::Account(account), &file, &path);
        }
        for (id, rule) in doc.keys {
            let path = [property("keys"), property(id.as_str())];
            let key = CallerKey {
                digest: rule.digest,
                id,
                account: rule.account,
            };
            self.push(Record::Key(key), &file, &path);
        }
    }

    /// Adds default rules for services that occur only in the inventory.
    fn add_default_services(&mut self, doc: &RulesDoc) {
        let mut known: FastSet<ServiceId> = doc.services.keys().cloned().collect();
        let mut missing = Vec::new();
        for record in &self.records {
            match record {
                Record::Server(server) if known.insert(server.service.clone()) => {
                    missing.push(server.service.clone());
                }
                _ => {}
            }
        }
        let file = self.rules.to_owned();
        for id in missing {
            self.push(Record::Service(Service::with_defaults(id)), &file, &[]);
        }
    }
}

/// Returns the path segment of a property.
fn property(name: &str) -> PathSegment {
    PathSegment::Property(name.to_owned())
}

/// Converts the rules of a service, with defaults for missing fields.
fn service_of(id: ServiceId, rule: &ServiceDoc) -> Service {
    let defaults = Service::with_defaults(id);
    Service {
        floor: rule.floor.unwrap_or(defaults.floor),
        detection: rule.detection.unwrap_or(defaults.detection),
        deadline_ms: rule.deadline_ms.unwrap_or(defaults.deadline_ms),
        retry_budget: rule.retry_budget.unwrap_or(defaults.retry_budget),
        hedge: rule.hedge.unwrap_or(defaults.hedge),
        health_path: rule.health_path.clone(),
        load_path: rule.load_path.clone(),
        cold: None,
        id: defaults.id,
    }
}

/// Parses and checks the inventory and the rules, each given as file name and
/// text, and returns their records.
///
/// # Errors
///
/// Returns all faults in the order of the documents. If a document can't be
/// parsed, only the first fault of each such document is returned.
pub fn load_records(
    inventory: (&str, &str),
    rules: (&str, &str),
) -> Result<Vec<Record>, Vec<DocFault>> {
    let inventory_doc = parse_document::<InventoryDoc>(inventory.0, inventory.1);
    let rules_doc = parse_document::<RulesDoc>(rules.0, rules.1);
    let (inventory_doc, rules_doc) = match (inventory_doc, rules_doc) {
        (Ok(inventory_doc), Ok(rules_doc)) => (inventory_doc, rules_doc),
        (inventory_doc, rules_doc) => {
            let faults = [inventory_doc.err(), rules_doc.err()];
            return Err(faults.into_iter().flatten().collect());
        }
    };
    let mut list = RecordList {
        inventory: inventory.0,
        rules: rules.0,
        records: Vec::new(),
        sources: Vec::new(),
    };
    list.add_inventory(inventory_doc);
    list.add_rules(rules_doc);
    let faults = check_records(&list.records);
    if faults.is_empty() {
        return Ok(list.records);
    }
    let locate = |(index, error): (usize, crate::ConfigError)| {
        let source = &list.sources[index];
        let text = match source.file.as_str() {
            file if file == inventory.0 => inventory.1,
            _ => rules.1,
        };
        DocFault {
            file: source.file.clone(),
            line: line_of(text, &source.path),
            field: String::new(),
            message: error.to_string(),
        }
    };
    Err(faults.into_iter().map(locate).collect())
}
