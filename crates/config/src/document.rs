//! The operators' two documents: the inventory from the asset register, and
//! the rules on top.

use std::{collections::BTreeMap, net::SocketAddr};

use ids::{
    AccountId, FastSet, KeyId, Percent, RackId, Rank, RegionId, ServerId, ServiceId, Slots,
    TokenAmount, TokenRate, VmId, Weight, ZoneId,
};
use serde::Deserialize;

use crate::{
    Access, Account, Backend, CallerKey, DetectionMode, DocFault, KeyDigest, PriorityClass, Record,
    Route, RouteTerms, Service, Vm, Zone, check_records,
    jsonc::{Step, line_of, parse_document},
};

/// Slots of a backend server that the inventory does not give.
const DEFAULT_SLOTS: Slots = Slots(4);
/// Connections of a backend server that the inventory does not give.
const DEFAULT_CONNECTIONS: u32 = 300;

/// The inventory, as an asset register exports it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InventoryDoc {
    /// Regions and their zones.
    pub regions: Vec<RegionDoc>,
    /// VMs and what runs on them.
    pub vms: Vec<VmDoc>,
}

/// A region of the inventory.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionDoc {
    /// Its name.
    pub name: RegionId,
    /// Its availability zones.
    pub zones: Vec<ZoneId>,
}

/// A VM of the inventory.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmDoc {
    /// Its name.
    pub name: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// Address of its daemon towards peers.
    pub address: SocketAddr,
    /// Backend servers on it.
    #[serde(default)]
    pub servers: Vec<ServerDoc>,
}

/// A backend server of the inventory.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerDoc {
    /// Its name.
    pub name: ServerId,
    /// Its service.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests at a time.
    pub slots: Option<Slots>,
    /// Connections that it accepts.
    pub connections: Option<u32>,
}

/// The rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulesDoc {
    /// Services by name; those of the inventory not named follow defaults.
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
    /// Share of slots that ejections leave in rotation, in percent.
    pub floor: Option<Percent>,
    /// Preference of detection.
    pub detection: Option<DetectionMode>,
    /// Deadline in milliseconds.
    pub deadline_ms: Option<u32>,
    /// Retries and hedges, in percent of recent requests.
    pub retry_budget: Option<Percent>,
    /// Whether idempotent requests are hedged.
    pub hedge: Option<bool>,
    /// Path of the health endpoint.
    pub health_path: Option<Box<str>>,
    /// Path of the load endpoint.
    pub load_path: Option<Box<str>>,
}

/// A route.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteDoc {
    /// Host, any if not given.
    pub host: Option<String>,
    /// Path prefix.
    pub prefix: String,
    /// Service behind it.
    pub service: ServiceId,
    /// Priority class.
    #[serde(default)]
    pub class: PriorityClass,
    /// Who may use it.
    #[serde(default)]
    pub access: Access,
    /// Overrides the method.
    pub idempotent: Option<bool>,
    /// Long transfers.
    #[serde(default)]
    pub bulk: bool,
    /// Times, attempts, rank and shares.
    #[serde(default)]
    pub terms: RouteTerms,
}

/// A client account.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountDoc {
    /// Requests per second across the fleet.
    pub rate: u64,
    /// Requests at once across the fleet.
    pub burst: u64,
    /// Share where accounts compete.
    pub weight: Option<Weight>,
    /// Rank that goes before that of the route.
    pub rank: Option<Rank>,
}

/// A caller's key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyDoc {
    /// Its client account.
    pub account: AccountId,
    /// Digest from `dogwoodshore digest`.
    pub digest: KeyDigest,
}

/// Where a record came from.
struct Place {
    file: String,
    steps: Vec<Step>,
}

/// Records with their places, while two documents are joined.
struct RecordList<'a> {
    inventory: &'a str,
    rules: &'a str,
    records: Vec<Record>,
    places: Vec<Place>,
}

impl RecordList<'_> {
    /// Adds a record that stands at `steps` of `file`.
    fn push(&mut self, record: Record, file: &str, steps: &[Step]) {
        self.records.push(record);
        self.places.push(Place {
            file: file.to_owned(),
            steps: steps.to_vec(),
        });
    }

    /// Adds all that an inventory holds.
    fn add_inventory(&mut self, doc: InventoryDoc) {
        let file = self.inventory.to_owned();
        for (place, region) in doc.regions.into_iter().enumerate() {
            for (index, id) in region.zones.into_iter().enumerate() {
                let zone = Zone {
                    id,
                    region: region.name.clone(),
                };
                let steps = [
                    name("regions"),
                    Step::Index(place),
                    name("zones"),
                    Step::Index(index),
                ];
                self.push(Record::Zone(zone), &file, &steps);
            }
        }
        for (place, vm) in doc.vms.into_iter().enumerate() {
            self.add_vm(vm, &file, place);
        }
    }

    /// Adds a VM and its backend servers.
    fn add_vm(&mut self, doc: VmDoc, file: &str, place: usize) {
        let id = doc.name;
        let vm = Vm {
            id: id.clone(),
            zone: doc.zone,
            rack: doc.rack,
            address: doc.address,
        };
        let here = [name("vms"), Step::Index(place)];
        self.push(Record::Vm(vm), file, &here);
        for (index, server) in doc.servers.into_iter().enumerate() {
            let slots = server.slots.unwrap_or(DEFAULT_SLOTS);
            let backend = Backend {
                id: server.name,
                vm: id.clone(),
                service: server.service,
                address: server.address,
                slots,
                connections: server.connections.unwrap_or(DEFAULT_CONNECTIONS),
            };
            let steps = [here.as_slice(), &[name("servers"), Step::Index(index)]].concat();
            self.push(Record::Server(backend), file, &steps);
        }
    }

    /// Adds all that the rules hold, and defaults for services without rules.
    fn add_rules(&mut self, doc: RulesDoc) {
        let file = self.rules.to_owned();
        self.add_default_services(&doc);
        for (id, rule) in doc.services {
            let steps = [name("services"), name(id.as_str())];
            self.push(Record::Service(service_of(id, &rule)), &file, &steps);
        }
        for (place, rule) in doc.routes.into_iter().enumerate() {
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
                &[name("routes"), Step::Index(place)],
            );
        }
        for (id, rule) in doc.accounts {
            let steps = [name("accounts"), name(id.as_str())];
            let account = Account {
                id,
                rate: TokenRate::per_second(rule.rate),
                burst: TokenAmount::whole(rule.burst),
                weight: rule.weight.unwrap_or(Weight(1)),
                rank: rule.rank,
            };
            self.push(Record::Account(account), &file, &steps);
        }
        for (id, rule) in doc.keys {
            let steps = [name("keys"), name(id.as_str())];
            let key = CallerKey {
                digest: rule.digest,
                id,
                account: rule.account,
            };
            self.push(Record::Key(key), &file, &steps);
        }
    }

    /// Adds default rules for services that only the inventory names.
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

/// Step into a property.
fn name(text: &str) -> Step {
    Step::Name(text.to_owned())
}

/// A service by its rules, with defaults for what they leave out.
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
        id: defaults.id,
    }
}

/// Records of an inventory and rules, each given as file name and text.
///
/// # Errors
///
/// Every fault found, in the order of the documents. A document that can't
/// be read gives its first fault only.
pub fn load_records(
    inventory: (&str, &str),
    rules: (&str, &str),
) -> Result<Vec<Record>, Vec<DocFault>> {
    let inventory_doc = parse_document::<InventoryDoc>(inventory.0, inventory.1);
    let rules_doc = parse_document::<RulesDoc>(rules.0, rules.1);
    let (inventory_doc, rules_doc) = match (inventory_doc, rules_doc) {
        (Ok(inventory_doc), Ok(rules_doc)) => (inventory_doc, rules_doc),
        (first, second) => {
            let faults = [first.err(), second.err()];
            return Err(faults.into_iter().flatten().collect());
        }
    };
    let mut list = RecordList {
        inventory: inventory.0,
        rules: rules.0,
        records: Vec::new(),
        places: Vec::new(),
    };
    list.add_inventory(inventory_doc);
    list.add_rules(rules_doc);
    let faults = check_records(&list.records);
    if faults.is_empty() {
        return Ok(list.records);
    }
    let locate = |(index, error): (usize, crate::ConfigError)| {
        let place = &list.places[index];
        let text = match place.file.as_str() {
            file if file == inventory.0 => inventory.1,
            _ => rules.1,
        };
        DocFault {
            file: place.file.clone(),
            line: line_of(text, &place.steps),
            field: String::new(),
            message: error.to_string(),
        }
    };
    Err(faults.into_iter().map(locate).collect())
}
