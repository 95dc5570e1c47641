//! Retries and hedges as a share of recent requests.

use std::sync::atomic::{AtomicU64, Ordering};

use ids::Percent;

/// Cost of one retry, in the budget's units.
const RETRY_COST: u64 = 100;
/// Most that can be saved up, in retries, where nothing else is set.
const MAX_SAVED: f64 = 50.0;
/// What a new budget holds, in retries; lets a quiet service retry at all.
const INITIAL: f64 = 3.0;

/// A service's budget for retries and hedges.
///
/// Each request pays in its percentage, each retry takes 100. There is no
/// clock: what is saved is bounded instead, so a quiet hour can't finance a
/// storm.
#[derive(Debug)]
pub struct RetryBudget {
    saved: AtomicU64,
    most: AtomicU64,
}

/// A number of retries in the budget's units.
fn units(retries: f64) -> u64 {
    (retries * RETRY_COST as f64) as u64
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: AtomicU64::new(units(INITIAL)),
            most: AtomicU64::new(units(MAX_SAVED)),
        }
    }
}

impl RetryBudget {
    /// A budget with a few retries in it.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the most that can be saved up, in retries.
    ///
    /// It is this daemon's part of what the fleet may retry beyond the share.
    pub fn set_most(&self, retries: f64) {
        let most = units(retries);
        self.most.store(most, Ordering::Relaxed);
        self.saved.fetch_min(most, Ordering::Relaxed);
    }

    /// Pays in for one request.
    pub fn deposit(&self, share: Percent) {
        let most = self.most.load(Ordering::Relaxed);
        let add = |saved: u64| Some((saved + u64::from(share.get())).min(most));
        let _ = self
            .saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry, if there is enough.
    pub fn withdraw(&self) -> bool {
        let take = |saved: u64| saved.checked_sub(RETRY_COST);
        let taken = self
            .saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.is_ok()
    }

    /// Retries that could be taken now.
    pub fn available(&self) -> u64 {
        self.saved.load(Ordering::Relaxed) / RETRY_COST
    }
}
