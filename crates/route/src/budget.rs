//! Budget of retries and hedges, as a share of recent requests.
//!
//! Each daemon has a token bucket for its part of the retries that the fleet may
//! make. Requests fill the bucket; time does not.
//!
//! If a daemon's part is less than one retry, the daemon makes a retry with a
//! probability equal to the fraction of a retry that it has saved. If it could
//! only make whole retries, each of many daemons would save up one, and together
//! they would exceed the bound of the fleet many times over.
//!
//! If the budget does not suffice for all retries, the more urgent ones get it.

use std::sync::{
    Mutex,
    atomic::{AtomicU64, Ordering},
};

use ids::{Percent, stable_hash};

use crate::urgency::{RetryDemand, RetryUrgency};

/// Cost of one retry, in tokens.
const RETRY_COST: u64 = 100;
/// Capacity of a budget, in retries, until [`RetryBudget::set_capacity`] is
/// called.
const DEFAULT_CAPACITY: f64 = 50.0;
/// Balance of a new budget, in retries. Without it a service with few requests
/// could not retry at all.
const INITIAL_BALANCE: f64 = 3.0;
/// Share of the slack that daemons may save up. The rest covers the retries that
/// daemons forget when they restart.
const SAVED_SHARE: f64 = 0.5;

/// Budget of one service for retries and hedges.
///
/// Each request deposits its percentage in tokens, and each retry withdraws 100.
/// Tokens do not expire. Their number is bounded instead, so that a long period
/// without failures can't pay for a retry storm.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: AtomicU64,
    capacity: AtomicU64,
    /// Tokens that were deposited so far, whether or not they were kept.
    deposited: AtomicU64,
    demand: Mutex<RetryDemand>,
    /// Number of the next random draw. Budgets begin at different numbers.
    next_draw: AtomicU64,
}

/// Converts a number of retries to tokens.
fn to_tokens(retries: f64) -> u64 {
    (retries * RETRY_COST as f64) as u64
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::with_seed(rand::random())
    }
}

impl RetryBudget {
    /// Creates a budget with an initial balance of a few retries and a random
    /// seed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a budget whose random draws are determined by `seed`.
    pub fn with_seed(seed: u64) -> Self {
        Self {
            tokens: AtomicU64::new(to_tokens(INITIAL_BALANCE)),
            capacity: AtomicU64::new(to_tokens(DEFAULT_CAPACITY)),
            deposited: AtomicU64::new(0),
            demand: Mutex::default(),
            next_draw: AtomicU64::new(stable_hash(&seed.to_le_bytes())),
        }
    }

    /// Sets the capacity to this daemon's part of `slack`: the retries that
    /// `daemons` daemons together may make beyond their share of the requests.
    pub fn set_capacity(&self, slack: f64, daemons: usize) {
        let capacity = to_tokens(slack * SAVED_SHARE / daemons.max(1) as f64);
        self.capacity.store(capacity, Ordering::Relaxed);
        self.tokens.fetch_min(capacity, Ordering::Relaxed);
    }

    /// Deposits the tokens of one request. They may exceed the capacity by the
    /// share of this request, so that it can use its own share at once.
    pub fn deposit(&self, share: Percent) {
        let share = u64::from(share.get());
        self.deposited.fetch_add(share, Ordering::Relaxed);
        let capacity = self.capacity.load(Ordering::Relaxed) + share;
        let add = |tokens: u64| Some((tokens + share).min(capacity));
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Withdraws one retry and returns whether the retry may be made. A retry is denied
    /// although the budget holds one if more urgent retries are likely to need it.
    pub fn withdraw(&self, urgency: RetryUrgency) -> bool {
        let deposited = self.deposited.load(Ordering::Relaxed) as f64 / RETRY_COST as f64;
        let saved = self.tokens.load(Ordering::Relaxed) as f64 / RETRY_COST as f64;
        let mut demand = self
            .demand
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        let granted = demand.record(urgency, deposited, saved);
        drop(demand);
        // What the next request deposits beyond the capacity would be lost.
        let is_full = self.tokens.load(Ordering::Relaxed) > self.capacity.load(Ordering::Relaxed);
        if granted < 1.0 && !is_full && self.draw() as f64 >= granted * RETRY_COST as f64 {
            return false;
        }
        self.take_one()
    }

    /// Takes one retry out of the budget, if it holds one.
    ///
    /// If the capacity is less than one retry, all tokens are spent on a random
    /// draw that wins with the probability of the fraction saved. They are spent
    /// even if the draw is lost: if they were kept, draws would win more retries
    /// than were deposited.
    fn take_one(&self) -> bool {
        let is_fractional = self.capacity.load(Ordering::Relaxed) < RETRY_COST;
        let take = |tokens: u64| match tokens {
            RETRY_COST.. => Some(tokens - RETRY_COST),
            _ if is_fractional => Some(0),
            _ => None,
        };
        let before = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        before.is_ok_and(|tokens| tokens >= RETRY_COST || tokens > self.draw())
    }

    /// Returns a pseudorandom number below [`RETRY_COST`].
    fn draw(&self) -> u64 {
        let number = self.next_draw.fetch_add(1, Ordering::Relaxed);
        stable_hash(&number.to_le_bytes()) % RETRY_COST
    }

    /// Number of whole retries that the budget holds.
    pub fn available(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed) / RETRY_COST
    }
}
