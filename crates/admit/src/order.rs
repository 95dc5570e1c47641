//! Which of the waiting jobs goes first, and how many go before one.

use std::cmp::{Ordering, Reverse};

use ids::{Rank, WorkPriority};

use crate::job::Job;

/// Class of a job by internal work and rank, and its place in it.
type JobClass = (bool, Rank, Reverse<WorkPriority>);

/// Class of a job.
fn class_of(job: &Job) -> JobClass {
    (job.internal, job.rank, Reverse(job.lot))
}

/// Classes of all waiting jobs, in order. Made once for a pass over all of
/// them, which would take quadratic time otherwise.
#[derive(Clone, Debug)]
pub(crate) struct ClassCounts(Vec<JobClass>);

impl ClassCounts {
    /// Counts jobs.
    pub(crate) fn new(jobs: &[Job]) -> Self {
        let mut classes: Vec<JobClass> = jobs.iter().map(class_of).collect();
        classes.sort_unstable();
        Self(classes)
    }

    /// Jobs of the job's class and of those that go before it.
    pub(crate) fn up_to(&self, job: &Job) -> usize {
        let class = class_of(job);
        self.0.partition_point(|other| *other <= class)
    }
}

/// A waiting job, as it compares to another one that came before it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobPlace {
    /// Internal work, rank, and whether it is late.
    pub(crate) class: (bool, Rank, bool),
    /// Virtual start time of its account.
    pub(crate) start: f64,
    /// Its place among equals.
    pub(crate) lot: WorkPriority,
    /// Its place in the queue.
    pub(crate) place: usize,
}

impl JobPlace {
    /// Whether it is to run before `other`. Jobs of one account start at the
    /// same time: the higher lot goes first then, so that calls of one piece of
    /// work fare alike at all servers; and among equals, if the queue is
    /// pressed, the one that came last.
    pub(crate) fn goes_before(&self, other: &Self, pressed: bool) -> bool {
        match self.class.cmp(&other.class) {
            Ordering::Equal => {}
            order => return order.is_lt(),
        }
        match self.start.total_cmp(&other.start) {
            Ordering::Equal => {}
            order => return order.is_lt(),
        }
        self.lot > other.lot || (self.lot == other.lot && pressed)
    }
}
