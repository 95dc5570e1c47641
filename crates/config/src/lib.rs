//! Parses, checks and packs the configuration that operators publish, and
//! indexes it for the daemons.
//!
//! The unit of configuration is the [`Record`]. The operators' inventory and
//! rules are converted to records, published parts contain records, a
//! [`Delta`] puts and removes records, and a [`ConfigTable`] indexes them. A
//! [`StateDigest`] is the sum of the hashes of all records: a delta updates it
//! without hashing the other records, and two tables with the same records
//! have the same digest, however they were built.

mod check;
mod digest;
mod document;
mod encode;
mod fault;
mod jsonc;
mod members;
mod model;
mod pack;
mod packed;
mod patch;
mod record;
mod shard;
mod table;

pub use check::{check_record, check_records};
pub use digest::{KeyDigest, KeyHasher, PartDigest, StateDigest};
pub use document::{InventoryDoc, RulesDoc, load_records};
pub use fault::{ConfigError, DocFault};
pub use jsonc::parse_document;
pub use members::PoolMembers;
pub use model::{
    Access, Account, Backend, CallerKey, CheckedKey, ClientLimits, ColdTerms, DetectionMode, Route,
    RouteTerms, Service, TrafficClass, Vm, VmEntry, VmList, VmState, WeightedService, Zone,
};
pub use pack::{
    Changes, Delta, MAX_VALUE_BYTES, Manifest, PackedValue, PartRef, delta_between, diff_records,
    parse_changes, parse_manifest, parse_part, parse_vm_list, publish_set,
};
pub use packed::{PackedMap, PackedRecord};
pub use patch::{BucketDigests, TablePatch};
pub use record::{Record, RecordId};
pub use shard::ShardMap;
pub use table::{ConfigTable, TableBuilder};
