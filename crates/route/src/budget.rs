//! Retries and hedges as a share of recent requests.
//!
//! Pattern: token bucket without a clock, one at each daemon for its part of
//! what the fleet may do. The surprising part: where a daemon's part is less
//! than one retry, it takes one with as much probability as it has saved.
//! Whole retries only would let each of many daemons save one up, and all of
//! them together many times the bound.

use std::sync::atomic::{AtomicU64, Ordering};

use ids::{Percent, stable_hash};

/// Cost of one retry, in the budget's units.
const RETRY_COST: u64 = 100;
/// Most that can be saved up, in retries, where nothing else is set.
const MAX_SAVED: f64 = 50.0;
/// What a new budget holds, in retries; lets a quiet service retry at all.
const INITIAL: f64 = 3.0;
/// Part of the slack that daemons save up; the rest is for what a restart
/// forgets.
const SAVED_PART: f64 = 0.5;

/// A service's budget for retries and hedges.
///
/// Each request pays in its percentage, each retry takes 100. There is no
/// clock: what is saved is bounded instead, so a quiet hour can't finance a
/// storm.
#[derive(Debug)]
pub struct RetryBudget {
    saved: AtomicU64,
    most: AtomicU64,
    /// Number of the next draw; budgets begin at different ones.
    draws: AtomicU64,
}

/// A number of retries in the budget's units.
fn units(retries: f64) -> u64 {
    (retries * RETRY_COST as f64) as u64
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::with_seed(rand::random())
    }
}

impl RetryBudget {
    /// A budget with a few retries in it.
    pub fn new() -> Self {
        Self::default()
    }

    /// A budget whose draws follow from `seed`.
    pub fn with_seed(seed: u64) -> Self {
        Self {
            saved: AtomicU64::new(units(INITIAL)),
            most: AtomicU64::new(units(MAX_SAVED)),
            draws: AtomicU64::new(stable_hash(&seed.to_le_bytes())),
        }
    }

    /// Sets the most that can be saved up: this daemon's part of the `slack`
    /// retries that `daemons` together may take beyond the share.
    pub fn set_capacity(&self, slack: f64, daemons: usize) {
        let most = units(slack * SAVED_PART / daemons.max(1) as f64);
        self.most.store(most, Ordering::Relaxed);
        self.saved.fetch_min(most, Ordering::Relaxed);
    }

    /// Pays in for one request, which may use its own share at once beside
    /// what is saved.
    pub fn deposit(&self, share: Percent) {
        let share = u64::from(share.get());
        let most = self.most.load(Ordering::Relaxed) + share;
        let add = |saved: u64| Some((saved + share).min(most));
        let _ = self
            .saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry, if there is enough. Where only parts of one can be
    /// saved, what is there is spent on a draw, won or lost: with what a lost
    /// one leaves, draws would win more than was paid in.
    pub fn withdraw(&self) -> bool {
        let parts = self.most.load(Ordering::Relaxed) < RETRY_COST;
        let take = |saved: u64| match saved {
            RETRY_COST.. => Some(saved - RETRY_COST),
            _ if parts => Some(0),
            _ => None,
        };
        let before = self
            .saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        before.is_ok_and(|saved| saved >= RETRY_COST || saved > self.draw())
    }

    /// A draw below the cost of a retry.
    fn draw(&self) -> u64 {
        let number = self.draws.fetch_add(1, Ordering::Relaxed);
        stable_hash(&number.to_le_bytes()) % RETRY_COST
    }

    /// Retries that could be taken now.
    pub fn available(&self) -> u64 {
        self.saved.load(Ordering::Relaxed) / RETRY_COST
    }
}
