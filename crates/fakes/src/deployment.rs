//! Records of fleets for tests and benches, built from a description.

use std::net::SocketAddr;

use config::{
    Access, Account, Backend, CallerKey, KeyHasher, Record, Route, Service, TrafficClass, Vm,
    VmEntry, VmList, VmState, Zone,
};
use ids::{Revision, Slots, TokenAmount, TokenRate, Weight};

/// Description of a service.
#[derive(Clone, Debug)]
pub struct ServiceShape {
    /// Name of the service; the prefix of its route is `/NAME`.
    pub name: String,
    /// Addresses of its backend servers, assigned to the VMs round-robin.
    pub servers: Vec<SocketAddr>,
    /// Slots of each backend server.
    pub slots: u32,
}

/// Description of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentShape {
    /// Number of availability zones.
    pub zones: usize,
    /// Addresses of the daemons, one per VM; the VMs are assigned to the zones
    /// round-robin.
    pub daemons: Vec<SocketAddr>,
    /// Services with their backend servers.
    pub services: Vec<ServiceShape>,
    /// Client accounts as name, rate per second and burst; the key of each is
    /// `key-of-NAME`.
    pub accounts: Vec<(String, u64, u64)>,
}

/// Records and VM list of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Records to publish.
    pub records: Vec<Record>,
    /// VM list, in which every VM is live.
    pub vms: VmList,
}

/// Parses a name; panics if it is invalid, which is a fault of the caller.
fn name<T: std::str::FromStr>(text: String) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(_) => panic!("`{text}` is not a valid name"),
    }
}

impl Deployment {
    /// Builds the records for `shape`, with the keys hashed under `secret`.
    pub fn new(shape: &DeploymentShape, secret: &[u8]) -> Self {
        let mut records = Vec::new();
        let zones = shape.zones.max(1);
        for zone in 0..zones {
            records.push(Record::Zone(Zone {
                id: name(format!("zone-{zone}")),
                region: name("region".to_owned()),
                evacuated: false,
            }));
        }
        let mut vms = VmList {
            revision: Revision(1),
            vms: Vec::new(),
        };
        for (index, address) in shape.daemons.iter().enumerate() {
            let vm = Vm {
                id: name(format!("vm-{index}")),
                zone: name(format!("zone-{}", index % zones)),
                rack: name(format!("rack-{}", index / zones % 3)),
                address: *address,
            };
            vms.vms.push(VmEntry {
                id: vm.id.clone(),
                state: VmState::Live,
            });
            records.push(Record::Vm(vm));
        }
        let mut next_vm = 0;
        for service in &shape.services {
            for (index, address) in service.servers.iter().enumerate() {
                records.push(Record::Server(Backend {
                    id: name(format!("{}-{index}", service.name)),
                    vm: name(format!("vm-{}", next_vm % shape.daemons.len())),
                    service: name(service.name.clone()),
                    address: *address,
                    slots: Slots(service.slots),
                    connections: 350,
                    cold: false,
                }));
                next_vm += 1;
            }
            records.push(Record::Service(Service::with_defaults(name(
                service.name.clone(),
            ))));
            records.push(Record::Route(Route {
                host: "*".into(),
                prefix: format!("/{}", service.name).into(),
                service: name(service.name.clone()),
                class: TrafficClass::Customer,
                access: Access::Keyed,
                idempotent: None,
                bulk: false,
                terms: Default::default(),
            }));
        }
        let hasher = KeyHasher::new(secret);
        for (account, rate, burst) in &shape.accounts {
            records.push(Record::Account(Account {
                id: name(account.clone()),
                rate: TokenRate::per_second(*rate),
                burst: TokenAmount::whole(*burst),
                weight: Weight(1),
                rank: None,
                homes: Vec::new(),
            }));
            records.push(Record::Key(CallerKey {
                digest: hasher.digest(format!("key-of-{account}").as_bytes()),
                id: name(format!("{account}-1")),
                account: name(account.clone()),
            }));
        }
        Self { records, vms }
    }
}
