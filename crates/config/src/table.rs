//! The configuration in force, indexed for the request path.
//!
//! A table is immutable once built. [`TableBuilder`] starts from a table,
//! shares its shards and copies only those that change. The records that
//! there are hundreds of thousands of are kept as bytes and decoded when they
//! are looked up; only what is few and used at every request stands ready.

use std::{collections::BTreeMap, sync::Arc};

use ids::{AccountId, Revision, ServerId, ServiceId, VmId, ZoneId};

use crate::{
    Account, Backend, CallerKey, ConfigError, Delta, KeyDigest, PackedMap, PoolMembers, Record,
    RecordId, Route, Service, ShardMap, StateDigest, Vm, Zone,
};

/// Host of routes for any host.
const ANY_HOST: &str = "*";

/// An immutable, indexed configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigTable {
    revision: Revision,
    state: StateDigest,
    zones: Arc<BTreeMap<ZoneId, Zone>>,
    vms: ShardMap<VmId, Arc<Vm>>,
    servers: PackedMap<Backend>,
    pools: ShardMap<ServiceId, Arc<PoolMembers>>,
    services: ShardMap<ServiceId, Arc<Service>>,
    routes: PackedMap<Route>,
    /// Length of the longest prefix that a route ever had.
    longest_prefix: usize,
    accounts: PackedMap<Account>,
    keys: PackedMap<CallerKey>,
}

impl ConfigTable {
    /// Revision of the table; zero for the empty one.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Digest of all records.
    pub fn state_digest(&self) -> StateDigest {
        self.state
    }

    /// The route for a request: the longest prefix of its host, else of `*`.
    ///
    /// Each prefix of the path that ends at a segment is looked up, so the
    /// time does not depend on the number of routes.
    pub fn route(&self, host: &str, path: &str) -> Option<Route> {
        let find = |host: &str| {
            let mut lengths = prefix_lengths(path, self.longest_prefix);
            lengths.find_map(|length| self.routes.get((host, &path[..length])))
        };
        find(host).or_else(|| find(ANY_HOST))
    }

    /// The key with that digest.
    pub fn key(&self, digest: &KeyDigest) -> Option<CallerKey> {
        let key = self.keys.get(*digest)?;
        key.digest.matches(digest).then_some(key)
    }

    /// Whether the key with that digest is valid.
    pub fn has_key(&self, digest: &KeyDigest) -> bool {
        self.keys.contains(*digest)
    }

    /// A client account.
    pub fn account(&self, id: &AccountId) -> Option<Account> {
        self.accounts.get(id.as_str())
    }

    /// A service; one that has only backend servers follows the defaults.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<Service>> {
        self.services.get(id)
    }

    /// Names of the backend servers of a service. They are another object
    /// after any change of one of the servers.
    pub fn pool(&self, id: &ServiceId) -> Option<&Arc<PoolMembers>> {
        self.pools.get(id)
    }

    /// Backend servers of a service, by name.
    pub fn pool_servers(&self, id: &ServiceId) -> Vec<Backend> {
        let members = self.pool(id).into_iter().flat_map(|pool| pool.names());
        members.filter_map(|name| self.servers.get(name)).collect()
    }

    /// A backend server.
    pub fn server(&self, id: &ServerId) -> Option<Backend> {
        self.servers.get(id.as_str())
    }

    /// A VM.
    pub fn vm(&self, id: &VmId) -> Option<&Arc<Vm>> {
        self.vms.get(id)
    }

    /// A zone.
    pub fn zone(&self, id: &ZoneId) -> Option<&Zone> {
        self.zones.get(id)
    }

    /// All zones.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        self.zones.values()
    }

    /// All VMs.
    pub fn vms(&self) -> impl Iterator<Item = &Arc<Vm>> {
        self.vms.iter().map(|(_, vm)| vm)
    }

    /// All backend servers.
    pub fn servers(&self) -> impl Iterator<Item = Backend> {
        self.servers.iter()
    }

    /// All client accounts.
    pub fn accounts(&self) -> impl Iterator<Item = Account> {
        self.accounts.iter()
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.iter().map(|(_, service)| service)
    }

    /// All records, for packing and comparing.
    pub fn records(&self) -> Vec<Record> {
        let services = self.services().map(|service| Service::clone(service));
        let zones = self.zones().cloned().map(Record::Zone);
        zones
            .chain(self.vms().map(|vm| Record::Vm(Vm::clone(vm))))
            .chain(services.map(Record::Service))
            .chain(self.servers().map(Record::Server))
            .chain(self.routes.iter().map(Record::Route))
            .chain(self.accounts().map(Record::Account))
            .chain(self.keys.iter().map(Record::Key))
            .collect()
    }

    /// Numbers of records by kind, for the state dump.
    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        BTreeMap::from([
            ("zones", self.zones.len()),
            ("vms", self.vms.len()),
            ("servers", self.servers.len()),
            ("services", self.services.len()),
            ("routes", self.routes.len()),
            ("accounts", self.accounts.len()),
            ("keys", self.keys.len()),
        ])
    }

    /// The table after a delta; this one stays as it is.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] if the delta does not continue this table, holds a bad
    /// record or gives another state than it announces.
    pub fn with_delta(&self, delta: &Delta) -> Result<Self, ConfigError> {
        match delta.previous {
            previous if delta.revision <= self.revision || delta.revision <= previous => {
                return Err(ConfigError::NotNewer {
                    offered: delta.revision,
                    current: self.revision,
                });
            }
            previous if previous != self.revision => {
                return Err(ConfigError::Gap {
                    previous,
                    current: self.revision,
                });
            }
            _ => {}
        }
        let mut builder = TableBuilder::from_table(self);
        for id in &delta.removes {
            builder.remove(id);
        }
        for record in &delta.puts {
            builder.put(record.clone())?;
        }
        for record in &delta.puts {
            builder.check_references(record)?;
        }
        builder.finish(delta.revision, delta.state)
    }
}

/// Builds a [`ConfigTable`] record by record.
#[derive(Clone, Debug, Default)]
pub struct TableBuilder {
    table: ConfigTable,
}

impl TableBuilder {
    /// Starts from nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts from an existing table.
    pub fn from_table(table: &ConfigTable) -> Self {
        Self {
            table: table.clone(),
        }
    }

    /// Puts a record in place of the one with its identity.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Record`] if the record is wrong by itself.
    pub fn put(&mut self, record: Record) -> Result<(), ConfigError> {
        crate::check::check_record(&record)?;
        self.put_unchecked(record);
        Ok(())
    }

    /// Puts a record whatever is wrong with it.
    pub(crate) fn put_unchecked(&mut self, record: Record) {
        self.remove(&record.id());
        self.table.state.add(&record.to_bytes());
        let table = &mut self.table;
        match record {
            Record::Zone(zone) => {
                Arc::make_mut(&mut table.zones).insert(zone.id.clone(), zone);
            }
            Record::Vm(vm) => {
                table.vms.insert(vm.id.clone(), Arc::new(vm));
            }
            Record::Server(server) => {
                table.servers.insert(&server);
                change_pool(table, &server.service, |pool| pool.with(&server.id));
            }
            Record::Service(service) => {
                table.services.insert(service.id.clone(), Arc::new(service));
            }
            Record::Route(route) => {
                table.longest_prefix = table.longest_prefix.max(route.prefix.len());
                table.routes.insert(&route);
            }
            Record::Account(account) => table.accounts.insert(&account),
            Record::Key(key) => table.keys.insert(&key),
        }
    }

    /// Removes the record with that identity, if there is one.
    pub fn remove(&mut self, id: &RecordId) {
        let table = &mut self.table;
        let old = match id {
            RecordId::Zone(id) => Arc::make_mut(&mut table.zones).remove(id).map(Record::Zone),
            RecordId::Vm(id) => table.vms.remove(id).map(|vm| Record::Vm(Vm::clone(&vm))),
            RecordId::Service(id) => {
                let old = table.services.remove(id);
                old.map(|service| Record::Service(Service::clone(&service)))
            }
            RecordId::Server(id) => {
                let old = table.servers.remove(id.as_str());
                if let Some(server) = &old {
                    change_pool(table, &server.service, |pool| pool.without(&server.id));
                }
                old.map(Record::Server)
            }
            RecordId::Route(host, prefix) => table.routes.remove((host, prefix)).map(Record::Route),
            RecordId::Account(id) => table.accounts.remove(id.as_str()).map(Record::Account),
            RecordId::Key(digest) => table.keys.remove(*digest).map(Record::Key),
        };
        if let Some(record) = old {
            self.table.state.remove(&record.to_bytes());
        }
    }

    /// Checks that what `record` names exists.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Record`] naming the missing one.
    pub fn check_references(&self, record: &Record) -> Result<(), ConfigError> {
        let table = &self.table;
        let missing = match record {
            Record::Vm(vm) if table.zone(&vm.zone).is_none() => format!("zone {}", vm.zone),
            Record::Server(server) if table.vm(&server.vm).is_none() => {
                format!("VM {}", server.vm)
            }
            Record::Server(server) if table.service(&server.service).is_none() => {
                format!("service {}", server.service)
            }
            Record::Route(route) => {
                let parts = route.terms.split.iter().map(|share| &share.service);
                let mut services = parts.chain([&route.service]);
                match services.find(|id| table.service(id).is_none()) {
                    Some(id) => format!("service {id}"),
                    None => return Ok(()),
                }
            }
            Record::Key(key) if !table.accounts.contains(key.account.as_str()) => {
                format!("account {}", key.account)
            }
            _ => return Ok(()),
        };
        Err(ConfigError::Record {
            record: record.id().to_string(),
            message: format!("names {missing}, which does not exist; add it or correct the name"),
        })
    }

    /// Checks all links, for a table built from parts.
    ///
    /// # Errors
    ///
    /// As [`TableBuilder::check_references`].
    pub fn check_all_references(&self) -> Result<(), ConfigError> {
        let records = self.table.records();
        records
            .iter()
            .try_for_each(|record| self.check_references(record))
    }

    /// Digest of the records so far.
    pub fn state_digest(&self) -> StateDigest {
        self.table.state
    }

    /// Completes the table under a revision.
    ///
    /// # Errors
    ///
    /// [`ConfigError::StateMismatch`] if the state is not `expected`.
    pub fn finish(
        self,
        revision: Revision,
        expected: StateDigest,
    ) -> Result<ConfigTable, ConfigError> {
        let mut table = self.table;
        if table.state != expected {
            return Err(ConfigError::StateMismatch {
                revision,
                expected,
                found: table.state,
            });
        }
        table.revision = revision;
        Ok(table)
    }
}

/// Lengths of the prefixes of a path that end at a segment, longest first,
/// none above `longest`.
fn prefix_lengths(path: &str, longest: usize) -> impl Iterator<Item = usize> {
    let bytes = path.as_bytes();
    let ends = move |length: &usize| {
        let before = length.checked_sub(1).map(|place| bytes[place]);
        bytes.get(*length).is_none_or(|next| *next == b'/') || before == Some(b'/')
    };
    (0..=longest.min(path.len())).rev().filter(ends)
}

/// Changes a pool, and drops it when it has no members.
fn change_pool(
    table: &mut ConfigTable,
    service: &ServiceId,
    change: impl FnOnce(&PoolMembers) -> PoolMembers,
) {
    let pool = table.pools.get(service).cloned().unwrap_or_default();
    match change(&pool) {
        pool if pool.is_empty() => table.pools.remove(service),
        pool => table.pools.insert(service.clone(), Arc::new(pool)),
    };
}
