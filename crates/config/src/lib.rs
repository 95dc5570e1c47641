//! The configuration that operators publish: parse, check, pack and compile.
//!
//! Everything is a [`Record`]. The operators' inventory and rules become
//! records; parts carry records; a [`Delta`] puts and removes records; a
//! [`ConfigTable`] indexes them. A state digest is the sum of the hashes of
//! all records, so it can be kept up to date under deltas and tells two
//! tables apart whatever way they were built.

mod check;
mod digest;
mod document;
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

pub use check::check_records;
pub use digest::{KeyDigest, KeyHasher, PartDigest, StateDigest};
pub use document::{InventoryDoc, RulesDoc, load_records};
pub use fault::{ConfigError, DocFault};
pub use jsonc::parse_document;
pub use members::PoolMembers;
pub use model::{
    Access, Account, Backend, CallerKey, DetectionMode, PriorityClass, Route, RouteTerms, Service,
    Vm, VmEntry, VmList, VmState, WeightedService, Zone,
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
