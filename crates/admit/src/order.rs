//! Order in which waiting jobs are dispatched.

use std::cmp::{Ordering, Reverse};

use ids::{Rank, WorkPriority};

use crate::job::Job;

/// Part of the order that does not change while a job waits: whether it is
/// internal work, its rank, and its work priority within the rank.
type JobClass = (bool, Rank, Reverse<WorkPriority>);

/// Returns the class of a job.
fn class_of(job: &Job) -> JobClass {
    (job.internal, job.rank, Reverse(job.work_priority))
}

/// Classes of all waiting jobs, sorted.
///
/// It is built once for a pass over all of them: counting the jobs before each
/// one separately would take quadratic time.
#[derive(Clone, Debug)]
pub(crate) struct SortedClasses(Vec<JobClass>);

impl SortedClasses {
    /// Sorts the classes of `jobs`.
    pub(crate) fn new(jobs: &[Job]) -> Self {
        let mut classes: Vec<JobClass> = jobs.iter().map(class_of).collect();
        classes.sort_unstable();
        Self(classes)
    }

    /// Number of jobs whose class is the same as that of `job` or goes before it.
    pub(crate) fn count_up_to(&self, job: &Job) -> usize {
        let class = class_of(job);
        self.0.partition_point(|other| *other <= class)
    }
}

/// Sort key of a waiting job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobOrder {
    /// Whether the job is internal work, its rank, and whether it would miss its
    /// target.
    pub(crate) class: (bool, Rank, bool),
    /// Virtual time at which the next job of the account would start.
    pub(crate) start: f64,
    /// Work priority of the job, which decides between otherwise equal jobs.
    pub(crate) work_priority: WorkPriority,
    /// Index of the job in the queue, which is in order of arrival.
    pub(crate) index: usize,
}

impl JobOrder {
    /// Whether the job runs before `other`, which arrived earlier.
    ///
    /// Jobs of one account have the same virtual start. Among them, the job with
    /// the higher work priority goes first, so that all servers serve or refuse
    /// the same requests of one piece of work. If the work priorities are equal
    /// too, the earlier job goes first unless `newest_first` is set.
    pub(crate) fn goes_before(&self, other: &Self, newest_first: bool) -> bool {
        match self.class.cmp(&other.class) {
            Ordering::Equal => {}
            order => return order.is_lt(),
        }
        match self.start.total_cmp(&other.start) {
            Ordering::Equal => {}
            order => return order.is_lt(),
        }
        self.work_priority > other.work_priority
            || (self.work_priority == other.work_priority && newest_first)
    }
}
