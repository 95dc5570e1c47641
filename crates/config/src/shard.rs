//! A hash map in shards that are copied on write.
//!
//! A clone shares all shards with the original, and a change copies only one
//! shard. Thus a delta to a table of 440,000 accounts doesn't need memory for
//! a second copy of the table.

use std::{
    borrow::Borrow,
    hash::{BuildHasher, Hash},
    sync::Arc,
};

use foldhash::fast::FixedState;
use ids::FastMap;

/// Number of shards of a map, a power of two.
const SHARDS: usize = 512;

/// Hash map that shares unchanged shards with its clones.
#[derive(Debug)]
pub struct ShardMap<K, V> {
    shards: Arc<[Arc<FastMap<K, V>>]>,
    len: usize,
}

impl<K, V> Clone for ShardMap<K, V> {
    fn clone(&self) -> Self {
        Self {
            shards: self.shards.clone(),
            len: self.len,
        }
    }
}

impl<K, V> Default for ShardMap<K, V> {
    fn default() -> Self {
        let empty = Arc::new(FastMap::default());
        Self {
            shards: (0..SHARDS).map(|_| Arc::clone(&empty)).collect(),
            len: 0,
        }
    }
}

/// Returns the shard number of a key.
fn shard_of<Q: Hash + ?Sized>(key: &Q) -> usize {
    let hash = FixedState::with_seed(0).hash_one(key);
    (hash >> 32) as usize % SHARDS
}

impl<K: Clone + Eq + Hash, V: Clone> ShardMap<K, V> {
    /// Number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the value of a key.
    pub fn get<Q>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.shards[shard_of(key)].get(key)
    }

    /// Inserts a value and returns the one that it replaces.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        let index = shard_of(&key);
        let old = self.shard_mut(index).insert(key, value);
        self.len += usize::from(old.is_none());
        old
    }

    /// Removes a key and returns its value.
    pub fn remove<Q>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        let old = self.shard_mut(shard_of(key)).remove(key);
        self.len -= usize::from(old.is_some());
        old
    }

    /// Returns all entries in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.shards.iter().flat_map(|shard| shard.iter())
    }

    /// Returns a shard for changes; copies it first if clones share it.
    fn shard_mut(&mut self, index: usize) -> &mut FastMap<K, V> {
        let shards = Arc::make_mut(&mut self.shards);
        Arc::make_mut(&mut shards[index])
    }
}
