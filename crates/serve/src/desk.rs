//! Slot queue of one backend server and the tasks that wait in it.

use admit::{JobId, QueueAction, QueueEvent, QueueRefusal, SlotQueue};
use ids::{FastMap, MonoTime};
use tokio::sync::oneshot;

/// Slot queue with the tasks whose jobs wait in it.
#[derive(Debug)]
pub struct QueueState {
    /// The queue, which decides the order of the jobs.
    pub queue: SlotQueue,
    /// Sender that wakes the task of each waiting job.
    pub waiters: FastMap<JobId, oneshot::Sender<Result<(), QueueRefusal>>>,
    /// Id of the next job.
    pub next_job: u64,
    /// Time of the latest log line about kinds that get less than their least share.
    pub owed_logged_at: Option<MonoTime>,
}

impl QueueState {
    /// Passes an event to the queue and wakes the tasks of the jobs that it
    /// dispatches or refuses.
    pub fn handle(&mut self, now: MonoTime, event: QueueEvent) {
        for action in self.queue.handle(now, event) {
            let (id, decision) = match action {
                QueueAction::Dispatch(id) => (id, Ok(())),
                QueueAction::Refuse(id, refusal) => (id, Err(refusal)),
            };
            if let Some(waiter) = self.waiters.remove(&id) {
                // If the task is gone, the drop of its `SlotTicket` releases the
                // slot.
                let _ = waiter.send(decision);
            }
        }
    }
}
