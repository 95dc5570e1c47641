//! The values that operators publish: parts, a manifest and recent deltas.
//!
//! The name of a part contains its digest, so a new set never overwrites a part
//! that a reader of the old manifest is still fetching.

use std::collections::{BTreeMap, VecDeque};

use ids::{FastMap, Revision, stable_hash};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    ConfigError, ConfigTable, DocFault, PartDigest, Record, RecordId, StateDigest, TableBuilder,
    VmList,
};

/// Maximum size of a value on the platform, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Target size of a part, in bytes; leaves room for growth by deltas.
const TARGET_PART_BYTES: usize = 500_000;
/// Maximum total size of the deltas in the `changes` value, in bytes; the
/// oldest deltas are dropped first.
const MAX_CHANGES_BYTES: usize = 200_000;
/// Format version of the manifest and the changes.
const FORMAT: u32 = 1;

/// Reference from a manifest to a part.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PartRef {
    /// Name of the value that contains the part.
    pub name: String,
    /// Digest of the bytes of the part.
    pub digest: PartDigest,
}

/// List of the parts of one revision.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Format version.
    pub format: u32,
    /// Revision of the records in the parts.
    pub revision: Revision,
    /// State digest of all records.
    pub state: StateDigest,
    /// References to the parts.
    pub parts: Vec<PartRef>,
}

/// Difference between one revision and a later one.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// Revision that the delta starts from.
    pub previous: Revision,
    /// Revision that the delta leads to.
    pub revision: Revision,
    /// State digest of all records after the delta.
    pub state: StateDigest,
    /// Identities of the records that are removed.
    pub removes: Vec<RecordId>,
    /// Records that are added or replaced.
    pub puts: Vec<Record>,
}

/// The most recent deltas, oldest first.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Format version.
    pub format: u32,
    /// Revision that the last delta leads to.
    pub revision: Revision,
    /// Deltas, of which each starts from the revision of the one before.
    pub deltas: VecDeque<Delta>,
}

impl Changes {
    /// Returns the deltas that lead from `revision` to the latest one, or
    /// `None` if no delta starts from `revision`.
    pub fn since(&self, revision: Revision) -> Option<Vec<&Delta>> {
        let start = self
            .deltas
            .iter()
            .position(|delta| delta.previous == revision)?;
        Some(self.deltas.iter().skip(start).collect())
    }
}

/// A named value to publish on the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PackedValue {
    /// Name of the value.
    pub name: String,
    /// Content of the value.
    pub bytes: Vec<u8>,
}

/// Returns the kind and the shard of a record, which identify its part.
fn part_key(record: &Record, counts: &FastMap<&'static str, u64>) -> (&'static str, u64) {
    let kind = kind_of(record);
    let shards = counts.get(kind).copied().unwrap_or(1);
    let hash = stable_hash(record.id().to_string().as_bytes());
    (kind, hash % shards)
}

/// Returns the kind of a record as it occurs in part names.
///
/// Parts are read in the order of their names. Most records are thus read after
/// the records that they refer to, so that names can be shared.
fn kind_of(record: &Record) -> &'static str {
    match record {
        Record::Zone(_) | Record::Vm(_) => "fleet",
        Record::Server(_) => "servers",
        Record::Service(_) | Record::Route(_) | Record::Limits(_) => "rules",
        Record::Account(_) => "accounts",
        Record::Key(_) => "keys",
    }
}

/// Splits records into parts of about [`TARGET_PART_BYTES`] or less on average.
fn make_parts(records: &[Record]) -> Vec<PackedValue> {
    let mut sizes: FastMap<&'static str, u64> = FastMap::default();
    for record in records {
        *sizes.entry(kind_of(record)).or_default() += record.to_bytes().len() as u64 + 1;
    }
    for size in sizes.values_mut() {
        // From here on, the size is the number of parts of the kind. With a power
        // of two, most records stay in their part when the kind grows.
        *size = size.div_ceil(TARGET_PART_BYTES as u64).next_power_of_two();
    }
    let mut groups: BTreeMap<(&'static str, u64), Vec<&Record>> = BTreeMap::new();
    for record in records {
        groups
            .entry(part_key(record, &sizes))
            .or_default()
            .push(record);
    }
    let make_part = |((kind, shard), mut group): ((&'static str, u64), Vec<&Record>)| {
        group.sort_by_cached_key(|record| record.id());
        let bytes = to_json(&group);
        let digest = PartDigest::of(&bytes);
        PackedValue {
            name: format!("part-{kind}-{shard}-{digest}"),
            bytes,
        }
    };
    groups.into_iter().map(make_part).collect()
}

/// Returns the identities to remove and the records to put that lead from one
/// set of records to another.
pub fn diff_records(old: &[Record], new: &[Record]) -> (Vec<RecordId>, Vec<Record>) {
    let mut unmatched: FastMap<RecordId, &Record> =
        old.iter().map(|record| (record.id(), record)).collect();
    let mut puts = Vec::new();
    for record in new {
        match unmatched.remove(&record.id()) {
            Some(previous) if previous == record => {}
            _ => puts.push(record.clone()),
        }
    }
    let mut removes: Vec<RecordId> = unmatched.into_keys().collect();
    removes.sort();
    (removes, puts)
}

/// Returns the delta from one table to the next, given the difference of their
/// records; `None` from the empty table, which no delta can start from.
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

/// Returns the values to publish for `records`, as the revision after `old`.
///
/// `old` is the table and the changes of the set published before.
///
/// # Errors
///
/// Returns a [`ConfigError`] if a record is invalid or a value would be too
/// large.
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

/// Returns the `changes` value for `revision`, with the delta that leads to it.
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
    while size > MAX_CHANGES_BYTES {
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

/// Encodes a value as JSON.
fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("published values have no maps whose keys are not strings")
}

/// Parses a JSON value that was read from the platform.
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
            message: format!("{error}; publish only values that `dogwoodshore pack` wrote"),
        })
    })
}

/// Refuses other format versions.
fn check_format(found: u32) -> Result<(), ConfigError> {
    match found {
        FORMAT => Ok(()),
        found => Err(ConfigError::Format { found }),
    }
}

/// Parses a manifest.
///
/// # Errors
///
/// Returns a [`ConfigError`] if the bytes are not a manifest, or if its format
/// version is not supported.
pub fn parse_manifest(bytes: &[u8]) -> Result<Manifest, ConfigError> {
    let manifest: Manifest = from_json("manifest", bytes)?;
    check_format(manifest.format)?;
    Ok(manifest)
}

/// Parses the most recent deltas.
///
/// # Errors
///
/// Returns a [`ConfigError`] if the bytes are not a `changes` value, or if its
/// format version is not supported.
pub fn parse_changes(bytes: &[u8]) -> Result<Changes, ConfigError> {
    let changes: Changes = from_json("changes", bytes)?;
    check_format(changes.format)?;
    Ok(changes)
}

/// Parses a part and checks its digest.
///
/// # Errors
///
/// Returns a [`ConfigError`] if the bytes do not have the digest in the
/// manifest, or if they are not a list of records.
pub fn parse_part(part: &PartRef, bytes: &[u8]) -> Result<Vec<Record>, ConfigError> {
    if PartDigest::of(bytes) != part.digest {
        return Err(ConfigError::PartMismatch {
            name: part.name.clone(),
        });
    }
    from_json(&part.name, bytes)
}

/// Parses the platform's VM list.
///
/// # Errors
///
/// Returns a [`ConfigError`] if the bytes are not a VM list.
pub fn parse_vm_list(bytes: &[u8]) -> Result<VmList, ConfigError> {
    from_json("vms", bytes)
}
