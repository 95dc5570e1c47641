//! Newtypes for names, sizes, rates and times, shared by all other crates.
//!
//! A time is a number of nanoseconds ([`MonoTime`]) and not a
//! `std::time::Instant`, so that tests can run the state machines of the other
//! crates under virtual time.

mod mono;
mod name;
mod size;
mod token;

pub use mono::MonoTime;
pub use name::{AccountId, KeyId, NameError, RackId, RegionId, ServerId, ServiceId, VmId, ZoneId};
pub use size::{Percent, Rank, RequestRate, Revision, Slots, UnitError, Weight, WorkPriority};
pub use token::{TokenAmount, TokenRate};

/// Hash map with a fast hasher that has a random seed in each process.
pub type FastMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// Hash set with a fast hasher that has a random seed in each process.
pub type FastSet<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;

/// Returns a hash of `bytes` that is the same in every process of the fleet.
///
/// It serves rendezvous hashing and sharding, where all daemons must agree. The
/// algorithm is FNV-1a with a final mix, which is not cryptographic.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET;
    for byte in bytes {
        hash ^= u64::from(*byte);
        hash = hash.wrapping_mul(PRIME);
    }
    mix(hash)
}

/// Returns the weight of `node` for `key` in rendezvous hashing.
pub fn stable_pair_hash(key: u64, node: &str) -> u64 {
    mix(key ^ stable_hash(node.as_bytes()).rotate_left(32))
}

/// Improves the distribution of a weak hash with the finalizer of splitmix64.
fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 30;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^= hash >> 27;
    hash = hash.wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
