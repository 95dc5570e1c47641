//! Tokens at hand for the request path.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use ids::MonoTime;

/// Leases held at a time for one account.
const SLOTS: usize = 8;
/// Bits of the token count in a lease word.
const COUNT_BITS: u32 = 24;
/// Largest number of tokens in one lease.
pub(crate) const MAX_TOKENS: u32 = (1 << COUNT_BITS) - 1;

/// Leases of one account at one daemon, for many threads.
///
/// A lease is one word: the time at which it expires, in milliseconds, and
/// the tokens left. A take is one compare-and-swap of that word, so it can
/// never mix the tokens of one lease with the validity of another.
#[derive(Debug, Default)]
pub struct LeaseSlots {
    words: [AtomicU64; SLOTS],
    taken: AtomicU64,
}

/// A token that was taken, to be given back if it is not used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenGrant {
    slot: usize,
    expires_ms: u64,
}

/// Expiry and count in one word.
fn pack(expires_ms: u64, count: u32) -> u64 {
    expires_ms << COUNT_BITS | u64::from(count)
}

/// Expiry and count of a word.
fn unpack(word: u64) -> (u64, u32) {
    (word >> COUNT_BITS, (word & u64::from(MAX_TOKENS)) as u32)
}

/// Milliseconds of a time, rounded down.
fn millis(time: MonoTime) -> u64 {
    time.as_nanos() / 1_000_000
}

impl LeaseSlots {
    /// Takes a token that is valid at `now`, from the lease that ends first.
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

    /// Gives a token back to its lease, if that is still there and valid.
    pub fn give_back(&self, now: MonoTime, grant: TokenGrant) {
        let now_ms = millis(now);
        let add = |word| {
            let (expires_ms, count) = unpack(word);
            let same = expires_ms == grant.expires_ms && expires_ms > now_ms;
            (same && count < MAX_TOKENS).then_some(word + 1)
        };
        let _ = self.words[grant.slot].fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
    }

    /// Tokens valid at `now`.
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

    /// Tokens taken so far.
    pub fn taken(&self) -> u64 {
        self.taken.load(Ordering::Relaxed)
    }

    /// Puts a lease into a free slot; `None` if there is none.
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
            // Two leases of one expiry in one slot could not be told apart.
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

    /// Takes all that is left of a lease and ends it, so that no token can be
    /// given back to it afterwards.
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
    /// When the lease expires.
    pub fn expires(&self) -> MonoTime {
        MonoTime::ZERO + Duration::from_millis(self.expires_ms)
    }
}
