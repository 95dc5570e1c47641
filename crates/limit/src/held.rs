//! The shares of one home's accounts that are held here, and for how long.
//!
//! Tokens are minted for the time for which shares were held, so that time is
//! what is kept. The surprising part: a share that comes back counts as empty,
//! since another may have given its part of the burst out meanwhile.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use ids::{MonoTime, VmId};

/// Time for which one owner's share was held here.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HeldTime {
    /// Sum of earlier loans.
    earlier: Duration,
    pub(crate) from: MonoTime,
    pub(crate) until: MonoTime,
}

impl HeldTime {
    /// All time held until `now`.
    pub(crate) fn total(&self, now: MonoTime) -> Duration {
        self.earlier + now.min(self.until).since(self.from)
    }

    /// Extends the loan, or begins another.
    pub(crate) fn extend(&mut self, now: MonoTime, until: MonoTime) {
        if self.until < now {
            self.earlier += self.until.since(self.from);
            self.from = now;
        }
        self.until = self.until.max(until);
    }

    /// Whether it is held.
    pub(crate) fn is_held(&self, now: MonoTime) -> bool {
        self.until > now
    }
}

/// The shares that are held here of one home's accounts.
#[derive(Clone, Debug, Default)]
pub(crate) struct HomeShares {
    pub(crate) owners: BTreeMap<VmId, HeldTime>,
    /// Time held of owners that have left the cell.
    pub(crate) departed: Duration,
    /// Rises when this daemon takes the accounts over anew.
    pub(crate) generation: u64,
    /// Returns of shares, with ever more shares kept meanwhile: one that kept
    /// no more than a later one says nothing beside it.
    pub(crate) returns: Arc<[ShareReturn]>,
}

impl HomeShares {
    /// Time held of all shares.
    pub(crate) fn held_time(&self, now: MonoTime) -> Duration {
        let held = self.owners.values().map(|held| held.total(now));
        self.departed + held.sum::<Duration>()
    }

    /// Shares held now.
    pub(crate) fn held_count(&self, now: MonoTime) -> u32 {
        self.owners
            .values()
            .filter(|held| held.is_held(now))
            .count() as u32
    }

    /// Notes that a share is back which was not held for a while.
    pub(crate) fn note_return(&mut self, now: MonoTime) {
        let held_time = self.held_time(now);
        let kept = self.held_count(now);
        let earlier = self.returns.iter().filter(|earlier| earlier.kept < kept);
        let latest = ShareReturn { held_time, kept };
        self.returns = earlier.copied().chain([latest]).collect();
    }
}

/// A share that came back, and was perhaps used by another meanwhile.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ShareReturn {
    /// Time held of all shares until then.
    pub(crate) held_time: Duration,
    /// Shares that were still held.
    pub(crate) kept: u32,
}

/// Shares held of an account's home, at a moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ShareCounts {
    /// Sum over all owners of the time for which their shares were held.
    pub(crate) held_time: Duration,
    /// Shares held now.
    pub(crate) held: u32,
    /// Shares that there are.
    pub(crate) all: u32,
    /// Number of the takeover by which they are held.
    pub(crate) generation: u64,
}

/// What is needed to mint for an account.
#[derive(Clone, Debug)]
pub(crate) struct ShareSnapshot {
    /// Shares now.
    pub(crate) counts: ShareCounts,
    /// Returns of shares, in the order of time.
    pub(crate) returns: Arc<[ShareReturn]>,
}
