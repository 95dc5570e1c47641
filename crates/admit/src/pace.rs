//! Pace of dispatches under the rate that a backend server has named.

use std::time::Duration;

use ids::{AccountId, FastMap, FastSet, MonoTime, Rank, RequestRate};

use crate::{job::JobId, waiting::QueuedJob};

/// Longest time between two dispatches. A server that names a lower rate gets a
/// request at this interval, because only its answers tell when the limit ends.
const MAX_INTERVAL: Duration = Duration::from_secs(4);

/// Spaces dispatches so that they keep to a rate, with at most one ahead of time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct DispatchPace {
    rate: RequestRate,
    interval: Duration,
    /// Time at which the next dispatch is on schedule.
    next: MonoTime,
}

impl DispatchPace {
    /// Starts at `now`, when requests may be running already.
    pub(crate) fn new(now: MonoTime, rate: RequestRate) -> Self {
        let interval = rate.interval(MAX_INTERVAL);
        Self {
            rate,
            interval,
            next: now + interval * 2,
        }
    }

    /// Returns the rate.
    pub(crate) fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Changes the rate from the next dispatch on.
    pub(crate) fn set_rate(&mut self, now: MonoTime, rate: RequestRate) {
        self.rate = rate;
        self.interval = rate.interval(MAX_INTERVAL);
        self.next = self.next.min(now + self.interval * 2);
    }

    /// Time of the next dispatch, if it is not now.
    pub(crate) fn ready_at(&self) -> MonoTime {
        self.next - self.interval
    }

    /// Time until a job is dispatched that has `ahead` jobs before it.
    pub(crate) fn wait(&self, now: MonoTime, ahead: usize) -> Duration {
        self.ready_at().since(now) + self.interval * ahead as u32
    }

    /// Counts a dispatch.
    pub(crate) fn record(&mut self, now: MonoTime) {
        self.next = self.next.max(now) + self.interval;
    }

    /// Takes back a dispatch whose request was not sent.
    pub(crate) fn refund(&mut self) {
        self.next = self.next - self.interval;
    }
}

/// Returns the jobs that can't end before their deadline under the pace of dispatches.
///
/// `wait` returns the expected wait of a job by the number of jobs before it, and
/// `mean` is the slot time of jobs of unknown kinds. Jobs of one rank are taken
/// to be dispatched in turn, one of each account.
pub(crate) fn late_jobs(
    jobs: &[QueuedJob],
    now: MonoTime,
    mean: Duration,
    wait: impl Fn(usize) -> Duration,
) -> FastSet<JobId> {
    let mut counts: FastMap<(bool, Rank, &Option<AccountId>), u32> = FastMap::default();
    let mut turns: Vec<_> = jobs
        .iter()
        .map(|queued| {
            let job = &queued.job;
            let count = counts
                .entry((job.internal, job.rank, &job.account))
                .or_default();
            *count += 1;
            (job.internal, job.rank, *count, queued)
        })
        .collect();
    turns.sort_by_key(|(internal, rank, count, _)| (*internal, *rank, *count));
    let mut late = FastSet::default();
    let mut ahead = 0;
    for (_, _, _, queued) in turns {
        let wait = wait(ahead);
        match !wait.is_zero() && queued.last_start(mean) <= now + wait {
            true => {
                late.insert(queued.job.id);
            }
            false => ahead += 1,
        }
    }
    late
}
