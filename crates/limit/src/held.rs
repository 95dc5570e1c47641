//! Tracks which shares of one home's accounts this daemon holds, and for how
//! long.
//!
//! Tokens are refilled in proportion to the time for which shares were held, so
//! that time is recorded. A share that was not held for a while counts as empty
//! when it returns, since another holder may have granted its part of the burst
//! in the meantime.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use ids::{MonoTime, VmId};

/// Time for which the share of one owner was held here.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HeldTime {
    /// Sum over earlier loans.
    earlier: Duration,
    pub(crate) from: MonoTime,
    pub(crate) until: MonoTime,
}

impl HeldTime {
    /// Returns the total time for which the share was held until `now`.
    pub(crate) fn total(&self, now: MonoTime) -> Duration {
        self.earlier + now.min(self.until).since(self.from)
    }

    /// Extends the current loan, or begins a new one if it has ended.
    pub(crate) fn extend(&mut self, now: MonoTime, until: MonoTime) {
        if self.until < now {
            self.earlier += self.until.since(self.from);
            self.from = now;
        }
        self.until = self.until.max(until);
    }

    /// Whether the share is held at `now`.
    pub(crate) fn is_held(&self, now: MonoTime) -> bool {
        self.until > now
    }
}

/// Shares of one home's accounts that are held here.
#[derive(Clone, Debug, Default)]
pub(crate) struct HomeShares {
    pub(crate) owners: BTreeMap<VmId, HeldTime>,
    /// Sum of the held time of owners that have left the cell.
    pub(crate) departed: Duration,
    /// Increases each time this daemon takes over the accounts anew.
    pub(crate) generation: u64,
    /// Returns of shares in order of time, with increasing `kept`. A return is
    /// dropped once a later one kept as many shares or fewer, since the later
    /// one limits the bucket at least as much.
    pub(crate) returns: Arc<[ShareReturn]>,
}

impl HomeShares {
    /// Returns the held time summed over all shares.
    pub(crate) fn held_time(&self, now: MonoTime) -> Duration {
        let held = self.owners.values().map(|held| held.total(now));
        self.departed + held.sum::<Duration>()
    }

    /// Returns the number of shares held at `now`.
    pub(crate) fn held_count(&self, now: MonoTime) -> u32 {
        self.owners
            .values()
            .filter(|held| held.is_held(now))
            .count() as u32
    }

    /// Records the return of a share that was not held for a while.
    pub(crate) fn record_return(&mut self, now: MonoTime) {
        let held_time = self.held_time(now);
        let kept = self.held_count(now);
        let earlier = self.returns.iter().filter(|earlier| earlier.kept < kept);
        let latest = ShareReturn { held_time, kept };
        self.returns = earlier.copied().chain([latest]).collect();
    }
}

/// Return of a share that another holder may have used in the meantime.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ShareReturn {
    /// Held time summed over all shares up to the return.
    pub(crate) held_time: Duration,
    /// Number of shares still held when the share returned.
    pub(crate) kept: u32,
}

/// Counts of the shares of a home's accounts at one moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ShareCounts {
    /// Time for which shares were held, summed over all owners.
    pub(crate) held_time: Duration,
    /// Number of shares held now.
    pub(crate) held: u32,
    /// Number of shares in total.
    pub(crate) all: u32,
    /// Generation of the takeover under which the shares are held.
    pub(crate) generation: u64,
}

/// Shares of an account, from which its bucket is refilled.
#[derive(Clone, Debug)]
pub(crate) struct ShareSnapshot {
    /// Current counts.
    pub(crate) counts: ShareCounts,
    /// Returns of shares, in order of time.
    pub(crate) returns: Arc<[ShareReturn]>,
}
