//! Patches between tables that are not connected by known deltas.
//!
//! This is anti-entropy with bucket digests. Daemons that read the platform
//! move to a new revision whenever their watch reports one, so they skip
//! different revisions, and the deltas of one daemon seldom continue the table
//! of another. A daemon with an older table sends a short digest of each bucket
//! of its records, and receives the buckets that differ.

use ids::{Revision, stable_hash};
use serde::{Deserialize, Serialize};

use crate::{
    ConfigError, ConfigTable, Delta, Record, RecordId, StateDigest, TableBuilder, delta_between,
    diff_records,
};

/// Number of buckets that records are hashed to; their digests take 256 bytes.
const BUCKETS: u64 = 64;

/// Digest of the records in each bucket.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct BucketDigests(Vec<u32>);

impl BucketDigests {
    /// Computes the bucket digests of records, which may be in any order.
    pub fn of(records: &[Record]) -> Self {
        let mut sums = vec![0_u32; BUCKETS as usize];
        for record in records {
            let sum = &mut sums[usize::from(bucket_of(&record.id()))];
            // The sum does not depend on the order of records.
            *sum = sum.wrapping_add(stable_hash(&record.to_bytes()) as u32);
        }
        Self(sums)
    }

    /// Returns the numbers of the buckets whose digests differ.
    fn differing(&self, other: &Self) -> Vec<u8> {
        let same = |bucket: usize| self.0.get(bucket) == other.0.get(bucket);
        (0..BUCKETS as u8)
            .filter(|bucket| !same(usize::from(*bucket)))
            .collect()
    }
}

/// Returns the bucket of a record, which is the same at all daemons.
fn bucket_of(id: &RecordId) -> u8 {
    (stable_hash(id.to_string().as_bytes()) % BUCKETS) as u8
}

/// Replacement for the buckets in which two tables differ.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct TablePatch {
    /// Revision of the table that the patch leads to.
    pub revision: Revision,
    /// State digest of the table that the patch leads to.
    state: StateDigest,
    /// Numbers of the buckets that are replaced.
    buckets: Vec<u8>,
    /// All records of the replaced buckets.
    records: Vec<Record>,
}

impl TablePatch {
    /// Returns the patch that leads from a table with the digests `known` to
    /// `table`.
    pub fn new(table: &ConfigTable, known: &BucketDigests) -> Self {
        let mut records = table.records();
        let buckets = BucketDigests::of(&records).differing(known);
        records.retain(|record| buckets.contains(&bucket_of(&record.id())));
        Self {
            revision: table.revision(),
            state: table.state_digest(),
            buckets,
            records,
        }
    }

    /// Number of records in the patch.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the patch has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Applies the patch to `table`, and returns the new table with the
    /// equivalent delta for peers; there is no delta from the empty table.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] if a record is invalid or if the result is not
    /// the table that the patch was made from.
    pub fn apply(self, table: &ConfigTable) -> Result<(ConfigTable, Option<Delta>), ConfigError> {
        let old = table.records();
        let replaced = |record: &Record| self.buckets.contains(&bucket_of(&record.id()));
        let mut records: Vec<Record> = old
            .iter()
            .filter(|record| !replaced(record))
            .cloned()
            .collect();
        records.extend(self.records.iter().cloned());
        let mut builder = TableBuilder::new();
        for record in &records {
            builder.put(record.clone())?;
        }
        builder.check_all_references()?;
        let next = builder.finish(self.revision, self.state)?;
        let delta = delta_between(table, &next, diff_records(&old, &records));
        Ok((next, delta))
    }
}
