//! The values that operators publish: parts, a manifest and recent deltas.
//!
//! Names of parts contain their digest, so a new set never overwrites a part
//! that a reader of the old manifest is still fetching.

use std::collections::{BTreeMap, VecDeque};

use ids::{FastMap, Revision, stable_hash};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    ConfigError, ConfigTable, DocFault, PartDigest, Record, RecordId, StateDigest, TableBuilder,
    VmList,
};

/// Largest value that the platform holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Size that parts are cut for, in bytes; growth by deltas keeps some room.
const PART_BYTES: usize = 500_000;
/// Largest `changes` value, in bytes; older deltas are dropped beyond it.
const CHANGES_BYTES: usize = 200_000;
/// Format of manifest and changes.
const FORMAT: u32 = 1;

/// A part named by a manifest.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PartRef {
    /// Name of the value that holds it.
    pub name: String,
    /// Digest of its bytes.
    pub digest: PartDigest,
}

/// Names the parts of one revision.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Version of this format.
    pub format: u32,
    /// The revision.
    pub revision: Revision,
    /// Digest of all records together.
    pub state: StateDigest,
    /// The parts.
    pub parts: Vec<PartRef>,
}

/// Step from one revision to a later one.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The revision that it builds on.
    pub previous: Revision,
    /// The revision that it leads to.
    pub revision: Revision,
    /// Digest of all records afterwards.
    pub state: StateDigest,
    /// Identities that are removed.
    pub removes: Vec<RecordId>,
    /// Records that are added or replaced.
    pub puts: Vec<Record>,
}

/// The latest deltas, oldest first.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Version of this format.
    pub format: u32,
    /// Revision after the last delta.
    pub revision: Revision,
    /// The deltas.
    pub deltas: VecDeque<Delta>,
}

impl Changes {
    /// Deltas that lead from `revision` to the latest, or `None` if the chain
    /// does not reach back that far.
    pub fn since(&self, revision: Revision) -> Option<Vec<&Delta>> {
        let start = self
            .deltas
            .iter()
            .position(|delta| delta.previous == revision)?;
        Some(self.deltas.iter().skip(start).collect())
    }
}

/// A value to publish.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PackedValue {
    /// Its name.
    pub name: String,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// Kind and shard of a record; decides the part that holds it.
fn part_key(record: &Record, counts: &FastMap<&'static str, u64>) -> (&'static str, u64) {
    let kind = kind_of(record);
    let shards = counts.get(kind).copied().unwrap_or(1);
    let hash = stable_hash(record.id().to_string().as_bytes());
    (kind, hash % shards)
}

/// Name of a record's kind in part names.
///
/// Parts are read in the order of these names, so that what a record refers
/// to is mostly there before it and its name can be shared.
fn kind_of(record: &Record) -> &'static str {
    match record {
        Record::Zone(_) | Record::Vm(_) => "fleet",
        Record::Server(_) => "servers",
        Record::Service(_) | Record::Route(_) => "rules",
        Record::Account(_) => "accounts",
        Record::Key(_) => "keys",
    }
}

/// Cuts records into parts under the size limit.
fn make_parts(records: &[Record]) -> Vec<PackedValue> {
    let mut sizes: FastMap<&'static str, u64> = FastMap::default();
    for record in records {
        *sizes.entry(kind_of(record)).or_default() += record.to_bytes().len() as u64 + 1;
    }
    for size in sizes.values_mut() {
        // A power of two keeps most records in their part when a kind grows.
        *size = size.div_ceil(PART_BYTES as u64).next_power_of_two();
    }
    let mut groups: BTreeMap<(&'static str, u64), Vec<&Record>> = BTreeMap::new();
    for record in records {
        groups
            .entry(part_key(record, &sizes))
            .or_default()
            .push(record);
    }
    let pack = |((kind, shard), mut group): ((&'static str, u64), Vec<&Record>)| {
        group.sort_by_cached_key(|record| record.id());
        let bytes = to_json(&group);
        let digest = PartDigest::of(&bytes);
        PackedValue {
            name: format!("part-{kind}-{shard}-{digest}"),
            bytes,
        }
    };
    groups.into_iter().map(pack).collect()
}

/// Changes from one set of records to another.
pub fn diff_records(old: &[Record], new: &[Record]) -> (Vec<RecordId>, Vec<Record>) {
    let mut rest: FastMap<RecordId, &Record> = old.iter().map(|item| (item.id(), item)).collect();
    let mut puts = Vec::new();
    for record in new {
        match rest.remove(&record.id()) {
            Some(before) if before == record => {}
            _ => puts.push(record.clone()),
        }
    }
    let mut removes: Vec<RecordId> = rest.into_keys().collect();
    removes.sort();
    (removes, puts)
}

/// The step from one table to the next by the difference of their records;
/// `None` from the empty table, which has nothing that a step could continue.
pub fn delta_between(
    current: &ConfigTable,
    next: &ConfigTable,
    difference: (Vec<RecordId>, Vec<Record>),
) -> Option<Delta> {
    let (removes, puts) = difference;
    (current.revision() > Revision(0)).then(|| Delta {
        previous: current.revision(),
        revision: next.revision(),
        state: next.state_digest(),
        removes,
        puts,
    })
}

/// Makes the values to publish for `records`, as the revision after `old`.
///
/// `old` is the table and the changes of the set published before.
///
/// # Errors
///
/// [`ConfigError`] if the records are wrong or a value would be too large.
pub fn publish_set(
    old: Option<(&ConfigTable, &Changes)>,
    records: &[Record],
) -> Result<Vec<PackedValue>, ConfigError> {
    let mut builder = TableBuilder::new();
    for record in records {
        builder.put(record.clone())?;
    }
    let state = builder.state_digest();
    let previous = old.map_or(Revision(0), |(table, _)| table.revision());
    let revision = Revision(previous.get() + 1);
    let mut values = make_parts(records);
    let parts = values.iter().map(|value| PartRef {
        name: value.name.clone(),
        digest: PartDigest::of(&value.bytes),
    });
    let manifest = Manifest {
        format: FORMAT,
        revision,
        state,
        parts: parts.collect(),
    };
    let changes = next_changes(old, records, revision, state);
    values.push(PackedValue {
        name: "manifest".to_owned(),
        bytes: to_json(&manifest),
    });
    values.push(PackedValue {
        name: "changes".to_owned(),
        bytes: to_json(&changes),
    });
    match values
        .iter()
        .find(|value| value.bytes.len() > MAX_VALUE_BYTES)
    {
        Some(value) => Err(ConfigError::TooLarge {
            name: value.name.clone(),
            bytes: value.bytes.len(),
        }),
        None => Ok(values),
    }
}

/// The `changes` value after the step to `revision`.
fn next_changes(
    old: Option<(&ConfigTable, &Changes)>,
    records: &[Record],
    revision: Revision,
    state: StateDigest,
) -> Changes {
    let mut deltas = VecDeque::new();
    if let Some((table, changes)) = old {
        let (removes, puts) = diff_records(&table.records(), records);
        deltas.clone_from(&changes.deltas);
        deltas.push_back(Delta {
            previous: table.revision(),
            revision,
            state,
            removes,
            puts,
        });
    }
    let mut size: usize = deltas.iter().map(|delta| to_json(delta).len()).sum();
    while size > CHANGES_BYTES {
        size -= deltas
            .pop_front()
            .map_or(size, |delta| to_json(&delta).len());
    }
    Changes {
        format: FORMAT,
        revision,
        deltas,
    }
}

/// A value as JSON bytes.
fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("published values have text keys only")
}

/// Reads a JSON value of the platform.
fn from_json<T: DeserializeOwned>(name: &str, bytes: &[u8]) -> Result<T, ConfigError> {
    if bytes.len() > MAX_VALUE_BYTES {
        return Err(ConfigError::TooLarge {
            name: name.to_owned(),
            bytes: bytes.len(),
        });
    }
    serde_json::from_slice(bytes).map_err(|error| {
        ConfigError::Document(DocFault {
            file: name.to_owned(),
            line: error.line(),
            field: String::new(),
            message: format!("{error}; publish what `dogwoodshore pack` wrote"),
        })
    })
}

/// Refuses formats of other versions.
fn check_format(found: u32) -> Result<(), ConfigError> {
    match found {
        FORMAT => Ok(()),
        found => Err(ConfigError::Format { found }),
    }
}

/// Reads a manifest.
///
/// # Errors
///
/// [`ConfigError`] if it is not one, or of another format.
pub fn parse_manifest(bytes: &[u8]) -> Result<Manifest, ConfigError> {
    let manifest: Manifest = from_json("manifest", bytes)?;
    check_format(manifest.format)?;
    Ok(manifest)
}

/// Reads the latest deltas.
///
/// # Errors
///
/// [`ConfigError`] if the value is not that, or of another format.
pub fn parse_changes(bytes: &[u8]) -> Result<Changes, ConfigError> {
    let changes: Changes = from_json("changes", bytes)?;
    check_format(changes.format)?;
    Ok(changes)
}

/// Reads a part and checks its digest.
///
/// # Errors
///
/// [`ConfigError`] if the bytes are not those of the manifest.
pub fn parse_part(part: &PartRef, bytes: &[u8]) -> Result<Vec<Record>, ConfigError> {
    if PartDigest::of(bytes) != part.digest {
        return Err(ConfigError::PartMismatch {
            name: part.name.clone(),
        });
    }
    from_json(&part.name, bytes)
}

/// Reads the platform's VM list.
///
/// # Errors
///
/// [`ConfigError`] if the value is not a VM list.
pub fn parse_vm_list(bytes: &[u8]) -> Result<VmList, ConfigError> {
    from_json("vms", bytes)
}
