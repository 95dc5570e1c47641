//! Order in which jobs that compete for slots are served, and the reverse order in
//! which they are displaced.
//!
//! [`displacement`] decides which job is dispatched, which waiting job can no longer be
//! served, and which one is refused when too many wait. Forecasts of waits (`WorkAhead`)
//! use only the rank, since the rest of the order changes before a job's turn. What it
//! takes into account, in this order:
//!
//! 1. internal work goes last;
//! 2. a kind of request that gets less than its least share goes first (`ServedShares`);
//! 3. rank;
//! 4. what can still be answered within the target goes before what cannot;
//! 5. slot time, as a cost beside the fair share of the account: short jobs go first, as
//!    do those that may not run twice, and jobs whose target leaves them much time can
//!    wait.

use std::{cmp::Ordering, time::Duration};

use ids::{Rank, WorkPriority};

/// Least slot time of a job, as a share of what its kind usually needs. A job with less
/// time left before its deadline would only waste its slot.
const MIN_RUN_SHARE: f64 = 0.4;
/// Largest part of the time that a job had until its deadline which counts as its least
/// slot time. A slot may be held for longer than the deadline while a large answer is
/// read, and a kind that was never tried again would never be known to have changed.
const MAX_RUN_DIVISOR: u32 = 4;
/// Ratios of the time to spare before the target to the work above which a job can
/// wait, and the factors of its cost. The factors are small, so that the fair share of
/// accounts is exceeded by two jobs at the most.
const SPARE_STEPS: [(u32, f64); 2] = [(9, 2.0), (3, 1.5)];

/// Factor of the cost of a job that may not run twice. Of four such kinds of the
/// deployments in question, two are worth twice as much as others.
const UNSAFE_FACTOR: f64 = 2.0 / 3.0;

/// Whether a job can still be answered in time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum JobOutlook {
    /// It can be answered within its target.
    InTime,
    /// It can be answered before its deadline.
    Late,
    /// It cannot be answered before its deadline.
    Hopeless,
}

/// What the order of a job depends on.
#[derive(Clone, Copy, Debug)]
pub struct JobTerms {
    /// Whether it is internal work.
    pub internal: bool,
    /// Whether its kind has got less than its least share lately.
    pub owed: bool,
    /// Its rank.
    pub rank: Rank,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time left until the target; zero if that has passed.
    pub to_target: Duration,
    /// Time left until the deadline; zero if that has passed.
    pub to_deadline: Duration,
    /// Time that it had until the target when it arrived.
    pub target_budget: Duration,
    /// Time that it had until the deadline when it arrived.
    pub deadline_budget: Duration,
    /// Slot time that jobs of its kind usually need. It includes the time of their
    /// calls, since they hold the slot meanwhile.
    pub work: Duration,
}

/// Place of a job among those that compete for slots. The least goes first, and the
/// greatest is displaced first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Displacement {
    /// Whether it is internal work.
    pub internal: bool,
    /// Whether its kind has had its least share.
    pub had_share: bool,
    /// Its rank.
    pub rank: Rank,
    /// Whether it can still be answered in time.
    pub outlook: JobOutlook,
    /// Slot time that it costs, more for a job that can wait.
    pub cost: Duration,
}

impl Displacement {
    /// Compares the parts that go before the fair share of accounts. The cost is added
    /// to that share.
    pub fn cmp_class(&self, other: &Self) -> Ordering {
        let class = |item: &Self| (item.internal, item.had_share, item.rank, item.outlook);
        class(self).cmp(&class(other))
    }
}

/// Least slot time of a job whose kind usually needs `work`, and which had the time
/// `budget` until its deadline when it arrived.
pub(crate) fn min_run_time(work: Duration, budget: Duration) -> Duration {
    work.mul_f64(MIN_RUN_SHARE).min(budget / MAX_RUN_DIVISOR)
}

/// Returns the place of a job among those that compete for slots.
pub fn displacement(terms: &JobTerms) -> Displacement {
    let outlook = match terms.work {
        work if min_run_time(work, terms.deadline_budget) >= terms.to_deadline => {
            JobOutlook::Hopeless
        }
        work if work > terms.to_target => JobOutlook::Late,
        _ => JobOutlook::InTime,
    };
    // The time to spare is that at the arrival. By the time left, the jobs that have
    // waited longest would go first, and all would become late in turn.
    let spare = terms.target_budget.saturating_sub(terms.work);
    let step = SPARE_STEPS
        .iter()
        .find(|(ratio, _)| spare > terms.work * *ratio);
    let worth = match terms.idempotent {
        true => 1.0,
        false => UNSAFE_FACTOR,
    };
    Displacement {
        internal: terms.internal,
        had_share: !terms.owed,
        rank: terms.rank,
        outlook,
        cost: terms
            .work
            .mul_f64(worth * step.map_or(1.0, |(_, factor)| *factor)),
    }
}

/// Sort key of a waiting job for the next dispatch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobOrder {
    pub(crate) place: Displacement,
    /// Virtual time at which the job would end, by the fair share of its account.
    pub(crate) virtual_end: f64,
    /// Virtual time at which it would start.
    pub(crate) virtual_start: f64,
    /// Work priority of the job, which decides between otherwise equal jobs.
    pub(crate) work_priority: WorkPriority,
    /// Index of the job in the queue, which is in order of arrival.
    pub(crate) index: usize,
}

impl JobOrder {
    /// Whether the job runs before `other`, which arrived earlier.
    ///
    /// Jobs of one account and kind have the same virtual end. Among them, the job with
    /// the higher work priority goes first, so that all servers serve or refuse the same
    /// requests of one piece of work. If the work priorities are equal too, the earlier
    /// job goes first unless `newest_first` is set.
    pub(crate) fn goes_before(&self, other: &Self, newest_first: bool) -> bool {
        let order = self
            .place
            .cmp_class(&other.place)
            .then(self.virtual_end.total_cmp(&other.virtual_end));
        match order {
            Ordering::Equal => {}
            order => return order.is_lt(),
        }
        self.work_priority > other.work_priority
            || (self.work_priority == other.work_priority && newest_first)
    }
}
