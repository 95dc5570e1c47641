//! Leased tokens that the request path takes without a message.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use ids::MonoTime;

/// Maximum number of leases held at a time for one account.
const SLOTS: usize = 8;
/// Number of bits of the token count in a packed lease.
const COUNT_BITS: u32 = 24;
/// Maximum number of tokens in one lease.
pub(crate) const MAX_TOKENS: u32 = (1 << COUNT_BITS) - 1;

/// Leases of one account at one daemon, shared by many threads.
///
/// A lease is packed into one word: its expiry in milliseconds and the number
/// of tokens left. Taking a token is one compare-and-swap of that word, so it
/// can never mix the tokens of one lease with the expiry of another.
#[derive(Debug, Default)]
pub struct LeaseSlots {
    words: [AtomicU64; SLOTS],
    taken: AtomicU64,
}

/// A token taken from a lease, to be given back if it is not used.
///
/// It names the slot and the expiry of the lease, and so identifies the lease
/// itself as well.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenGrant {
    slot: usize,
    expires_ms: u64,
}

/// Packs expiry and count into one word.
fn pack(expires_ms: u64, count: u32) -> u64 {
    expires_ms << COUNT_BITS | u64::from(count)
}

/// Unpacks expiry and count from a word.
fn unpack(word: u64) -> (u64, u32) {
    (word >> COUNT_BITS, (word & u64::from(MAX_TOKENS)) as u32)
}

/// Returns a time in milliseconds, rounded down.
fn millis(time: MonoTime) -> u64 {
    time.as_nanos() / 1_000_000
}

impl LeaseSlots {
    /// Takes a token that is valid at `now`, from the lease that expires first.
    pub fn try_take(&self, now: MonoTime) -> Option<TokenGrant> {
        let now_ms = millis(now);
        loop {
            let words = self
                .words
                .iter()
                .map(|word| word.load(Ordering::Acquire))
                .enumerate();
            let usable = words.filter(|(_, word)| {
                let (expires_ms, count) = unpack(*word);
                count > 0 && expires_ms > now_ms
            });
            let (slot, word) = usable.min_by_key(|(_, word)| *word)?;
            let swap = self.words[slot].compare_exchange_weak(
                word,
                word - 1,
                Ordering::AcqRel,
                Ordering::Acquire,
            );
            if swap.is_ok() {
                self.taken.fetch_add(1, Ordering::Relaxed);
                let (expires_ms, _) = unpack(word);
                return Some(TokenGrant { slot, expires_ms });
            }
        }
    }

    /// Gives a token back to its lease, if that is still present and valid.
    pub fn give_back(&self, now: MonoTime, grant: TokenGrant) {
        let now_ms = millis(now);
        let add = |word| {
            let (expires_ms, count) = unpack(word);
            let same = expires_ms == grant.expires_ms && expires_ms > now_ms;
            (same && count < MAX_TOKENS).then_some(word + 1)
        };
        let _ = self.words[grant.slot].fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
    }

    /// Returns the number of tokens valid at `now`.
    pub fn available(&self, now: MonoTime) -> u32 {
        let now_ms = millis(now);
        let words = self
            .words
            .iter()
            .map(|word| unpack(word.load(Ordering::Acquire)));
        words
            .filter(|(expires_ms, _)| *expires_ms > now_ms)
            .map(|(_, count)| count)
            .sum()
    }

    /// Returns the number of tokens taken so far.
    pub fn taken(&self) -> u64 {
        self.taken.load(Ordering::Relaxed)
    }

    /// Stores a lease in a free slot; `None` if there is none.
    pub(crate) fn install(
        &self,
        now: MonoTime,
        expires: MonoTime,
        count: u32,
    ) -> Option<TokenGrant> {
        let now_ms = millis(now);
        let expires_ms = millis(expires);
        for (slot, word) in self.words.iter().enumerate() {
            let old = word.load(Ordering::Acquire);
            let (old_expires, old_count) = unpack(old);
            let free = old_count == 0 || old_expires <= now_ms;
            // Two leases with the same expiry in the same slot would be
            // indistinguishable.
            if !free || old_expires == expires_ms || expires_ms <= now_ms {
                continue;
            }
            let new = pack(expires_ms, count.min(MAX_TOKENS));
            let swap = word.compare_exchange(old, new, Ordering::AcqRel, Ordering::Acquire);
            if swap.is_ok() {
                return Some(TokenGrant { slot, expires_ms });
            }
        }
        None
    }

    /// Takes all remaining tokens of a lease and ends it, so that no token can
    /// be given back to it afterwards.
    pub(crate) fn drain(&self, lease: TokenGrant) -> u32 {
        let take = |word| {
            let (expires_ms, _) = unpack(word);
            (expires_ms == lease.expires_ms).then_some(0)
        };
        let word = &self.words[lease.slot];
        match word.fetch_update(Ordering::AcqRel, Ordering::Acquire, take) {
            Ok(old) => unpack(old).1,
            Err(_) => 0,
        }
    }
}

impl TokenGrant {
    /// Returns when the lease expires.
    pub fn expires(&self) -> MonoTime {
        MonoTime::ZERO + Duration::from_millis(self.expires_ms)
    }
}
