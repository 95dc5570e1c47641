//! Which retries get a budget that does not suffice for all.
//!
//! Retries compete in classes: by rank, before or after the target latency, and hedges
//! last. A class gets what the more urgent ones leave, by the recent demand of each.

use ids::Rank;

/// Number of ranks that are told apart.
const RANKS: usize = 4;
/// Number of classes: two for each rank, and hedges.
const CLASSES: usize = 2 * RANKS + 1;
/// Time constant of the recent demand, in retries that the budget allows meanwhile.
/// With a share of 20% this is the time of 25 requests.
const DEMAND_WINDOW: f64 = 5.0;
/// Part of the budget that more urgent retries may need before others are held back.
/// Demand comes in bursts, and a budget that is held back too much is not used.
const UNCONTESTED_SHARE: f64 = 1.0 / 3.0;

/// Urgency of a retry, by which retries compete for the budget.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RetryUrgency(usize);

impl RetryUrgency {
    /// Urgency of a hedge, which is sent beside an attempt that may yet succeed.
    pub const HEDGE: Self = Self(CLASSES - 1);

    /// Returns the urgency of a retry of a request of that rank. `late` tells whether
    /// its answer would come after the target latency.
    pub fn new(rank: Rank, late: bool) -> Self {
        let rank = usize::from(rank.get()).min(RANKS - 1);
        Self(2 * rank + usize::from(late))
    }
}

/// Recent demand for retries by urgency.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryDemand {
    wanted: [f64; CLASSES],
    /// Number of retries that the budget had been given when the demand was last
    /// counted.
    counted_at: f64,
}

impl RetryDemand {
    /// Counts a retry that is wanted. `deposited` is the number of retries that the
    /// budget has been given so far and `saved` the number that it holds. Returns the
    /// share of the retries of this urgency that may draw on the budget.
    pub(crate) fn record(&mut self, urgency: RetryUrgency, deposited: f64, saved: f64) -> f64 {
        let kept = (-(deposited - self.counted_at).max(0.0) / DEMAND_WINDOW).exp();
        self.counted_at = deposited;
        self.wanted.iter_mut().for_each(|wanted| *wanted *= kept);
        self.wanted[urgency.0] += 1.0;
        let before: f64 = self.wanted[..urgency.0].iter().sum();
        let supply = DEMAND_WINDOW + (saved - 1.0).max(0.0);
        ((1.0 - before / supply) / (1.0 - UNCONTESTED_SHARE)).clamp(0.0, 1.0)
    }
}
