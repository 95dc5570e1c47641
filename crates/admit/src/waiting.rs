//! Waiting jobs and the work that goes before each of them.

use std::{cmp::Reverse, time::Duration};

use ids::{MonoTime, Rank, WorkPriority};

use crate::{
    displacement::{Displacement, JobOutlook, JobTerms, displacement, min_run_time},
    job::Job,
    work::KindWork,
};

/// A job that waits for a slot.
///
/// The slot time of its kind is that known at its arrival, so that its place does not
/// change with each job that ends. While none is known, the mean of all jobs is used.
#[derive(Clone, Debug)]
pub(crate) struct QueuedJob {
    pub(crate) job: Job,
    work: Option<KindWork>,
    /// Time that it had until its target when it arrived.
    target_budget: Duration,
    /// Time that it had until its deadline when it arrived.
    deadline_budget: Duration,
    /// Virtual time from which on its account has had waiting jobs.
    pub(crate) waits_since: f64,
}

impl QueuedJob {
    /// Creates the entry of a job that arrives at `now`. Its account has had waiting jobs
    /// from the virtual time `waits_since` on.
    pub(crate) fn new(job: Job, work: Option<KindWork>, now: MonoTime, waits_since: f64) -> Self {
        let target_budget = job.target.since(now);
        let deadline_budget = job.deadline.since(now);
        Self {
            job,
            work,
            target_budget,
            deadline_budget,
            waits_since,
        }
    }

    /// Slot time that the job is likely to need; `mean` is that of all jobs.
    pub(crate) fn typical_work(&self, mean: Duration) -> Duration {
        self.work.map_or(mean, |work| work.typical)
    }

    /// Slot time that jobs of its kind need on average.
    pub(crate) fn mean_work(&self, mean: Duration) -> Duration {
        self.work.map_or(mean, |work| work.mean)
    }

    /// Latest time at which it may start to end before its deadline.
    pub(crate) fn last_start(&self, mean: Duration) -> MonoTime {
        self.job.deadline - min_run_time(self.typical_work(mean), self.deadline_budget)
    }

    /// Returns the place of the job among all. `owed` tells whether its kind has got
    /// less than its least share.
    pub(crate) fn place(&self, now: MonoTime, owed: bool, mean: Duration) -> Displacement {
        displacement(&JobTerms {
            internal: self.job.internal,
            owed,
            rank: self.job.rank,
            idempotent: self.job.idempotent,
            to_target: self.job.target.since(now),
            to_deadline: self.job.deadline.since(now),
            target_budget: self.target_budget,
            deadline_budget: self.deadline_budget,
            work: self.typical_work(mean),
        })
    }

    /// Whether the job will miss its target if it waits for as long as it runs.
    pub(crate) fn is_urgent(&self, now: MonoTime, mean: Duration) -> bool {
        let soon = now + self.typical_work(mean) * 2;
        self.place(now, false, mean).outlook == JobOutlook::InTime && soon > self.job.target
    }
}

/// Part of the order that does not change while a job waits: whether it is
/// internal work, its rank, and its work priority within the rank.
type JobClass = (bool, Rank, Reverse<WorkPriority>);

/// Returns the class of a job.
fn class_of(job: &Job) -> JobClass {
    (job.internal, job.rank, Reverse(job.work_priority))
}

/// Work of the jobs whose class is the same as that of `job` or goes before it.
pub(crate) fn work_up_to(jobs: &[QueuedJob], job: &Job, mean: Duration) -> Duration {
    let class = class_of(job);
    let ahead = jobs.iter().filter(|queued| class_of(&queued.job) <= class);
    ahead.map(|queued| queued.mean_work(mean)).sum()
}

/// Work of all waiting jobs by class, sorted and summed up.
///
/// It is built once for a pass over all of them: summing up the jobs before each
/// one separately would take quadratic time.
#[derive(Clone, Debug)]
pub(crate) struct WorkAhead(Vec<(JobClass, Duration)>);

impl WorkAhead {
    /// Sums up the work of `jobs`. `mean` is the slot time of jobs of unknown kinds.
    pub(crate) fn new(jobs: &[QueuedJob], mean: Duration) -> Self {
        let work = |queued: &QueuedJob| (class_of(&queued.job), queued.mean_work(mean));
        let mut classes: Vec<(JobClass, Duration)> = jobs.iter().map(work).collect();
        classes.sort_unstable_by_key(|(class, _)| *class);
        let mut sum = Duration::ZERO;
        for (_, work) in &mut classes {
            sum += *work;
            *work = sum;
        }
        Self(classes)
    }

    /// Work of the jobs whose class is the same as that of `job` or goes before it.
    pub(crate) fn up_to(&self, job: &Job) -> Duration {
        let class = class_of(job);
        let count = self.0.partition_point(|(other, _)| *other <= class);
        match count {
            0 => Duration::ZERO,
            count => self.0[count - 1].1,
        }
    }
}
