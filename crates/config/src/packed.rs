//! A hash map that stores records in encoded form.
//!
//! A record with a few short names takes about 40 bytes, instead of about 150
//! bytes for separately allocated names, reference counts and a table slot. A
//! lookup decodes one record, which takes about a third of a microsecond. As
//! in [`ShardMap`](crate::ShardMap), clones share unchanged shards.

use std::{hash::BuildHasher, marker::PhantomData, sync::Arc};

use foldhash::fast::FixedState;
use hashbrown::HashTable;
use serde::{Serialize, de::DeserializeOwned};

/// Number of shards of a map, a power of two.
const SHARDS: usize = 512;
/// A full shard grows by its size divided by this number.
const GROWTH_DIVISOR: usize = 8;
/// A shard is compacted when the bytes of removed records exceed its size
/// divided by this number.
const GARBAGE_DIVISOR: usize = 4;

/// A record whose first fields are its key.
///
/// The map relies on this order: the encoded record begins with the encoded
/// key.
pub trait PackedRecord: Serialize + DeserializeOwned {
    /// Borrowed key; a tuple if the key consists of several fields.
    type Key<'a>: Serialize
    where
        Self: 'a;

    /// Returns the key of the record.
    fn key(&self) -> Self::Key<'_>;
}

/// Hash map of encoded records, in shards that are copied on write.
#[derive(Debug)]
pub struct PackedMap<V> {
    shards: Arc<[Arc<PackedShard>]>,
    len: usize,
    record_type: PhantomData<fn() -> V>,
}

/// Offset of an encoded record, with 32 bits of the hash of its key.
#[derive(Clone, Copy, Debug)]
struct IndexEntry {
    hash: u32,
    offset: u32,
}

/// Encoded records of one shard, with a hash table of their offsets.
#[derive(Clone, Debug, Default)]
struct PackedShard {
    entries: HashTable<IndexEntry>,
    bytes: Vec<u8>,
    /// Number of bytes that belong to removed records.
    garbage: usize,
}

/// Encodes a key or a record.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("keys and records have only types that postcard can encode")
}

/// Extends the stored 32 bits of a hash to the 64 bits that the table expects.
fn widen_hash(hash: u32) -> u64 {
    u64::from(hash).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

impl PackedShard {
    /// Finds the index entry of a key.
    fn find(&self, hash: u32, key: &[u8]) -> Option<IndexEntry> {
        let same_key =
            |entry: &IndexEntry| entry.hash == hash && self.bytes_from(*entry).starts_with(key);
        self.entries.find(widen_hash(hash), same_key).copied()
    }

    /// Returns the bytes of the shard from the start of a record.
    fn bytes_from(&self, entry: IndexEntry) -> &[u8] {
        &self.bytes[entry.offset as usize..]
    }

    /// Decodes a record, and returns it with the bytes that follow it.
    fn decode<V: DeserializeOwned>(&self, entry: IndexEntry) -> (V, &[u8]) {
        postcard::take_from_bytes(self.bytes_from(entry))
            .expect("shards contain only records that the map encoded")
    }

    /// Appends an encoded record whose key is not in the shard yet.
    fn push(&mut self, hash: u32, record: &[u8]) {
        let offset = self.bytes.len();
        if self.bytes.capacity() - offset < record.len() {
            // Doubling the capacity could leave half of it unused.
            self.bytes
                .reserve_exact(record.len().max(offset / GROWTH_DIVISOR));
        }
        self.bytes.extend_from_slice(record);
        let entry = IndexEntry {
            hash,
            offset: offset as u32,
        };
        self.entries
            .insert_unique(widen_hash(hash), entry, |entry| widen_hash(entry.hash));
    }

    /// Removes a record and returns it.
    fn remove<V: DeserializeOwned>(&mut self, hash: u32, key: &[u8]) -> Option<V> {
        let entry = self.find(hash, key)?;
        let (record, rest) = self.decode::<V>(entry);
        self.garbage += self.bytes_from(entry).len() - rest.len();
        let same_offset = |other: &IndexEntry| other.offset == entry.offset;
        if let Ok(occupied) = self.entries.find_entry(widen_hash(hash), same_offset) {
            occupied.remove();
        }
        if self.garbage * GARBAGE_DIVISOR > self.bytes.len() {
            self.compact::<V>();
        }
        Some(record)
    }

    /// Frees the bytes of removed records.
    fn compact<V: DeserializeOwned>(&mut self) {
        let mut bytes = Vec::with_capacity(self.bytes.len() - self.garbage);
        let old = std::mem::take(&mut self.bytes);
        for entry in &mut self.entries {
            let record = &old[entry.offset as usize..];
            let (_, rest) = postcard::take_from_bytes::<V>(record)
                .expect("shards contain only records that the map encoded");
            entry.offset = bytes.len() as u32;
            bytes.extend_from_slice(&record[..record.len() - rest.len()]);
        }
        self.bytes = bytes;
        self.garbage = 0;
    }
}

impl<V> Clone for PackedMap<V> {
    fn clone(&self) -> Self {
        Self {
            shards: Arc::clone(&self.shards),
            len: self.len,
            record_type: PhantomData,
        }
    }
}

impl<V> Default for PackedMap<V> {
    fn default() -> Self {
        let empty = Arc::new(PackedShard::default());
        Self {
            shards: (0..SHARDS).map(|_| Arc::clone(&empty)).collect(),
            len: 0,
            record_type: PhantomData,
        }
    }
}

impl<V: PackedRecord> PackedMap<V> {
    /// Number of records.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the map has no records.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the record with a key.
    pub fn get<'a>(&self, key: V::Key<'a>) -> Option<V>
    where
        V: 'a,
    {
        let key = encode(&key);
        let (index, hash) = locate(&key);
        let shard = &self.shards[index];
        shard.find(hash, &key).map(|entry| shard.decode(entry).0)
    }

    /// Whether a record with this key exists.
    pub fn contains<'a>(&self, key: V::Key<'a>) -> bool
    where
        V: 'a,
    {
        let key = encode(&key);
        let (index, hash) = locate(&key);
        self.shards[index].find(hash, &key).is_some()
    }

    /// Inserts a record, or replaces the one with the same key.
    pub fn insert(&mut self, record: &V) {
        let key = encode(&record.key());
        let bytes = encode(record);
        debug_assert!(
            bytes.starts_with(&key),
            "an encoded record must begin with its key"
        );
        let (index, hash) = locate(&key);
        let shard = self.shard_mut(index);
        let old = shard.remove::<V>(hash, &key);
        shard.push(hash, &bytes);
        self.len += usize::from(old.is_none());
    }

    /// Removes the record with a key and returns it.
    pub fn remove<'a>(&mut self, key: V::Key<'a>) -> Option<V>
    where
        V: 'a,
    {
        let key = encode(&key);
        let (index, hash) = locate(&key);
        // Avoids copying the shard if it doesn't contain the key.
        self.shards[index].find(hash, &key)?;
        let old = self.shard_mut(index).remove::<V>(hash, &key);
        self.len -= usize::from(old.is_some());
        old
    }

    /// Returns all records in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = V> {
        let shards = self.shards.iter();
        shards.flat_map(|shard| shard.entries.iter().map(|entry| shard.decode(*entry).0))
    }

    /// Returns a shard for changes; copies it first if clones share it.
    fn shard_mut(&mut self, index: usize) -> &mut PackedShard {
        let shards = Arc::make_mut(&mut self.shards);
        Arc::make_mut(&mut shards[index])
    }
}

/// Returns the shard number of a key and the 32 bits of its hash that are
/// stored.
fn locate(key: &[u8]) -> (usize, u32) {
    let hash = FixedState::with_seed(0).hash_one(key);
    ((hash >> 32) as usize % SHARDS, hash as u32)
}
