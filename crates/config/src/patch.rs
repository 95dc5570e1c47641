//! What is needed to get from one table to another that shares no history.
//!
//! Pattern: anti-entropy by bucket digests. Readers of the platform step from
//! revision to revision as their watches wake them, so the deltas of one
//! seldom continue the table of another. The daemon that lags sends a short
//! digest for each bucket of its records, and gets the buckets that differ.

use ids::{Revision, stable_hash};
use serde::{Deserialize, Serialize};

use crate::{
    ConfigError, ConfigTable, Delta, Record, RecordId, StateDigest, TableBuilder, delta_between,
    diff_records,
};

/// Buckets that records are spread over: 256 bytes of digests.
const BUCKETS: u64 = 64;

/// Digest of the records in each bucket.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct BucketDigests(Vec<u32>);

impl BucketDigests {
    /// Digests of records in any order.
    pub fn of(records: &[Record]) -> Self {
        let mut sums = vec![0_u32; BUCKETS as usize];
        for record in records {
            let sum = &mut sums[usize::from(bucket_of(&record.id()))];
            // A sum, so that the order does not matter.
            *sum = sum.wrapping_add(stable_hash(&record.to_bytes()) as u32);
        }
        Self(sums)
    }

    /// Buckets that are not the same.
    fn differing(&self, other: &Self) -> Vec<u8> {
        let same = |bucket: usize| self.0.get(bucket) == other.0.get(bucket);
        (0..BUCKETS as u8)
            .filter(|bucket| !same(usize::from(*bucket)))
            .collect()
    }
}

/// Bucket of a record, the same at all daemons.
fn bucket_of(id: &RecordId) -> u8 {
    (stable_hash(id.to_string().as_bytes()) % BUCKETS) as u8
}

/// The buckets that another table lacks or has otherwise.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct TablePatch {
    /// Revision that it leads to.
    pub revision: Revision,
    /// Digest of the records there.
    state: StateDigest,
    /// Buckets that are replaced as a whole.
    buckets: Vec<u8>,
    /// All records of these buckets.
    records: Vec<Record>,
}

impl TablePatch {
    /// The patch from a table with `known` digests to `table`.
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

    /// Number of records that it carries.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether it carries no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The table that it leads to from `table`, and the step for peers;
    /// `None` from the empty table.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] if a record is wrong, or the result is not the table
    /// that the patch was made from.
    pub fn apply(self, table: &ConfigTable) -> Result<(ConfigTable, Option<Delta>), ConfigError> {
        let old = table.records();
        let replaced = |record: &Record| self.buckets.contains(&bucket_of(&record.id()));
        let mut records: Vec<Record> = old.iter().filter(|item| !replaced(item)).cloned().collect();
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
