//! The slot queue of one backend server, with those who wait in it.

use admit::{JobId, QueueAction, QueueEvent, QueueRefusal, SlotQueue};
use ids::{FastMap, MonoTime};
use tokio::sync::oneshot;

/// The queue with those who wait in it.
#[derive(Debug)]
pub struct QueueState {
    /// The queue.
    pub queue: SlotQueue,
    /// Who waits, by job.
    pub waiters: FastMap<JobId, oneshot::Sender<Result<(), QueueRefusal>>>,
    /// Number of the next job.
    pub next_job: u64,
}

impl QueueState {
    /// Passes an event to the queue and wakes whom its actions concern.
    pub fn handle(&mut self, now: MonoTime, event: QueueEvent) {
        for action in self.queue.handle(now, event) {
            let (id, verdict) = match action {
                QueueAction::Dispatch(id) => (id, Ok(())),
                QueueAction::Refuse(id, refusal) => (id, Err(refusal)),
            };
            if let Some(waiter) = self.waiters.remove(&id) {
                // A waiter that is gone gives its slot back by its guard.
                let _ = waiter.send(verdict);
            }
        }
    }
}
