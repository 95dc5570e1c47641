//! Refusals of waiting jobs when the queue is too long.

use std::cmp::Reverse;

use ids::{AccountId, FastMap, MonoTime, WorkPriority};

use super::SlotQueue;
use crate::{
    displacement::Displacement,
    job::{QueueAction, QueueRefusal},
    waiting::QueuedJob,
};

impl SlotQueue {
    /// Refuses waiting jobs until their number is within the limit.
    pub(super) fn trim(&mut self, now: MonoTime, actions: &mut Vec<QueueAction>) {
        while self.waiting.len() > self.limits.waiting {
            let queued = self.waiting.remove(self.drop_position(now));
            self.shares.record_wanted(&queued.job);
            actions.push(QueueAction::Refuse(queued.job.id, QueueRefusal::Overloaded));
        }
    }

    /// Index of the job to refuse when the queue is too long: one that goes last in
    /// the order of displacement. Among those it belongs to the account with the most
    /// waiting jobs for its weight, and has the lowest work priority among the jobs of
    /// that account. If several have that priority, it is the latest.
    fn drop_position(&self, now: MonoTime) -> usize {
        let mut counts: FastMap<&Option<AccountId>, f64> = FastMap::default();
        for QueuedJob { job, .. } in &self.waiting {
            *counts.entry(&job.account).or_default() += 1.0 / f64::from(job.weight.get().max(1));
        }
        let mut position = self.waiting.len() - 1;
        let mut worst: Option<(Displacement, f64, Reverse<WorkPriority>)> = None;
        for (index, queued) in self.waiting.iter().enumerate() {
            let count = counts.get(&queued.job.account).copied().unwrap_or(0.0);
            let priority = Reverse(queued.job.work_priority);
            let place = self.place(now, queued);
            let goes_last = worst.is_none_or(|(other, most, lowest)| {
                let class = place.cmp_class(&other);
                class
                    .then(count.total_cmp(&most))
                    .then(priority.cmp(&lowest))
                    .is_ge()
            });
            if goes_last {
                worst = Some((place, count, priority));
                position = index;
            }
        }
        position
    }
}
