//! Tables that index a configuration for the request path.
//!
//! A table is immutable. A [`TableBuilder`] starts from a table, shares its
//! shards and copies only the shards that change. Kinds of records that occur
//! in hundreds of thousands are stored as bytes and decoded on each lookup;
//! only kinds with few records that every request needs are stored decoded.

use std::{collections::BTreeMap, sync::Arc};

use ids::{AccountId, Revision, ServerId, ServiceId, VmId, ZoneId};

use crate::{
    Account, Backend, CallerKey, CheckedKey, ClientLimits, ConfigError, Delta, KeyDigest,
    PackedMap, PoolMembers, Record, RecordId, Route, Service, ShardMap, StateDigest, Vm, Zone,
};

/// Host of routes that match any host.
const ANY_HOST: &str = "*";

/// An immutable, indexed configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigTable {
    revision: Revision,
    digest: StateDigest,
    zones: Arc<BTreeMap<ZoneId, Zone>>,
    vms: ShardMap<VmId, Arc<Vm>>,
    servers: PackedMap<Backend>,
    pools: ShardMap<ServiceId, Arc<PoolMembers>>,
    services: ShardMap<ServiceId, Arc<Service>>,
    routes: PackedMap<Route>,
    /// Length in bytes of the longest route prefix, including removed routes.
    longest_prefix: usize,
    accounts: PackedMap<Account>,
    keys: PackedMap<CallerKey>,
    limits: Option<ClientLimits>,
}

impl ConfigTable {
    /// Revision of the table; zero for the empty table.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Digest of all records.
    pub fn state_digest(&self) -> StateDigest {
        self.digest
    }

    /// Returns the route for a request: among the routes of its host the one
    /// with the longest matching prefix, otherwise among those of `*`.
    ///
    /// Looks up each prefix of the path that ends at a segment boundary, so
    /// the time does not depend on the number of routes.
    pub fn route(&self, host: &str, path: &str) -> Option<Route> {
        let find = |host: &str| {
            let mut lengths = prefix_lengths(path, self.longest_prefix);
            lengths.find_map(|length| self.routes.get((host, &path[..length])))
        };
        find(host).or_else(|| find(ANY_HOST))
    }

    /// Returns the key with a digest.
    pub fn key(&self, digest: &KeyDigest) -> Option<CallerKey> {
        let key = self.keys.get(*digest)?;
        key.digest.matches(digest).then_some(key)
    }

    /// Whether a key that was found in a table has been withdrawn. A table that
    /// is older than that one may lack the key because it was added later.
    pub fn has_withdrawn(&self, key: &CheckedKey) -> bool {
        self.revision() >= key.revision && !self.keys.contains(key.digest)
    }

    /// Returns a client account.
    pub fn account(&self, id: &AccountId) -> Option<Account> {
        self.accounts.get(id.as_str())
    }

    /// Whether there is any client account.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the limits of callers' connections, if the configuration has any.
    pub fn limits(&self) -> Option<&ClientLimits> {
        self.limits.as_ref()
    }

    /// Returns a service.
    ///
    /// Services that occur only in the inventory have default rules.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<Service>> {
        self.services.get(id)
    }

    /// Returns the names of the backend servers of a service.
    ///
    /// Any change to one of the backend servers replaces the `Arc`, so that
    /// pointer equality tells whether the pool is unchanged.
    pub fn pool(&self, id: &ServiceId) -> Option<&Arc<PoolMembers>> {
        self.pools.get(id)
    }

    /// Returns the backend servers of a service, sorted by name.
    pub fn pool_servers(&self, id: &ServiceId) -> Vec<Backend> {
        let names = self
            .pool(id)
            .into_iter()
            .flat_map(|members| members.names());
        names.filter_map(|name| self.servers.get(name)).collect()
    }

    /// Returns a backend server.
    pub fn server(&self, id: &ServerId) -> Option<Backend> {
        self.servers.get(id.as_str())
    }

    /// Returns a VM.
    pub fn vm(&self, id: &VmId) -> Option<&Arc<Vm>> {
        self.vms.get(id)
    }

    /// Returns an availability zone.
    pub fn zone(&self, id: &ZoneId) -> Option<&Zone> {
        self.zones.get(id)
    }

    /// Returns all availability zones.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        self.zones.values()
    }

    /// Returns the availability zone of a VM, or `None` if the VM is unknown.
    pub fn zone_of(&self, vm: &VmId) -> Option<&Zone> {
        self.zone(&self.vm(vm)?.zone)
    }

    /// Whether any availability zone is evacuated.
    pub fn has_evacuations(&self) -> bool {
        self.zones().any(|zone| zone.evacuated)
    }

    /// Returns all VMs.
    pub fn vms(&self) -> impl Iterator<Item = &Arc<Vm>> {
        self.vms.iter().map(|(_, vm)| vm)
    }

    /// Returns all backend servers.
    pub fn servers(&self) -> impl Iterator<Item = Backend> {
        self.servers.iter()
    }

    /// Returns all client accounts.
    pub fn accounts(&self) -> impl Iterator<Item = Account> {
        self.accounts.iter()
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.iter().map(|(_, service)| service)
    }

    /// Returns all records, to publish or to compare them.
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
            .chain(self.limits.map(Record::Limits))
            .collect()
    }

    /// Returns the number of records of each kind, for the state dump.
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

    /// Returns a new table with a delta applied.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] if the delta does not start from the revision
    /// of this table, has an invalid record or does not lead to the state
    /// digest that it announces.
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
    /// Starts from the empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts from an existing table.
    pub fn from_table(table: &ConfigTable) -> Self {
        Self {
            table: table.clone(),
        }
    }

    /// Adds a record, or replaces the one with the same identity.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::Record`] if a field of the record is invalid.
    pub fn put(&mut self, record: Record) -> Result<(), ConfigError> {
        crate::check::check_record(&record)?;
        self.put_unchecked(record);
        Ok(())
    }

    /// Adds or replaces a record without checking its fields.
    pub(crate) fn put_unchecked(&mut self, record: Record) {
        self.remove(&record.id());
        self.table.digest.add(&record.to_bytes());
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
                update_pool(table, &server.service, |members| members.with(&server.id));
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
            Record::Limits(limits) => table.limits = Some(limits),
        }
    }

    /// Removes the record with this identity, if it exists.
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
                    update_pool(table, &server.service, |members| {
                        members.without(&server.id)
                    });
                }
                old.map(Record::Server)
            }
            RecordId::Route(host, prefix) => table.routes.remove((host, prefix)).map(Record::Route),
            RecordId::Account(id) => table.accounts.remove(id.as_str()).map(Record::Account),
            RecordId::Key(digest) => table.keys.remove(*digest).map(Record::Key),
            RecordId::Limits => table.limits.take().map(Record::Limits),
        };
        if let Some(record) = old {
            self.table.digest.remove(&record.to_bytes());
        }
    }

    /// Checks that the records that `record` refers to exist.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::Record`] with the name of the missing record.
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
                let split = route.terms.split.iter().map(|weighted| &weighted.service);
                let mut services = split.chain([&route.service]);
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

    /// Checks the references of all records, for a table built from parts.
    ///
    /// # Errors
    ///
    /// Returns the first error of [`TableBuilder::check_references`].
    pub fn check_all_references(&self) -> Result<(), ConfigError> {
        let records = self.table.records();
        records
            .iter()
            .try_for_each(|record| self.check_references(record))
    }

    /// Digest of the records added so far.
    pub fn state_digest(&self) -> StateDigest {
        self.table.digest
    }

    /// Returns the table with a revision.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::StateMismatch`] if the state digest is not
    /// `expected`.
    pub fn finish(
        self,
        revision: Revision,
        expected: StateDigest,
    ) -> Result<ConfigTable, ConfigError> {
        let mut table = self.table;
        if table.digest != expected {
            return Err(ConfigError::StateMismatch {
                revision,
                expected,
                found: table.digest,
            });
        }
        table.revision = revision;
        Ok(table)
    }
}

/// Returns the lengths of the prefixes of a path that end at a segment
/// boundary, longest first, up to `longest`.
fn prefix_lengths(path: &str, longest: usize) -> impl Iterator<Item = usize> {
    let bytes = path.as_bytes();
    let at_boundary = move |length: &usize| {
        let last = length.checked_sub(1).map(|index| bytes[index]);
        bytes.get(*length).is_none_or(|next| *next == b'/') || last == Some(b'/')
    };
    (0..=longest.min(path.len())).rev().filter(at_boundary)
}

/// Replaces the members of a pool, or removes the pool if it becomes empty.
fn update_pool(
    table: &mut ConfigTable,
    service: &ServiceId,
    update: impl FnOnce(&PoolMembers) -> PoolMembers,
) {
    let members = table.pools.get(service).cloned().unwrap_or_default();
    match update(&members) {
        members if members.is_empty() => table.pools.remove(service),
        members => table.pools.insert(service.clone(), Arc::new(members)),
    };
}
