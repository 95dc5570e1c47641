//! What a request holds of a backend server, given back when dropped.

use std::sync::Arc;

use admit::{JobId, QueueEvent};

use super::server::EgressServer;

/// Right to send one request to a backend server.
#[derive(Debug)]
pub(super) struct GatePass {
    pub(super) server: Arc<EgressServer>,
    /// Whether it is the one trial of a closed gate.
    pub(super) trial: bool,
    /// Whether the answer was good.
    pub(super) good: bool,
}

impl Drop for GatePass {
    fn drop(&mut self) {
        if self.trial {
            let now = self.server.clock.now();
            self.server.gate().end_trial(now, self.good);
        }
    }
}

/// What a request holds while it is at a backend server.
#[derive(Debug)]
pub(super) struct HeldSlot {
    #[expect(dead_code, reason = "frees the slot when it is dropped")]
    pub(super) ticket: SlotTicket,
    pub(super) pass: GatePass,
}

/// A place in the queue or a slot, given back when dropped.
#[derive(Debug)]
pub(super) struct SlotTicket {
    pub(super) server: Arc<EgressServer>,
    pub(super) id: JobId,
}

impl Drop for SlotTicket {
    fn drop(&mut self) {
        let now = self.server.clock.now();
        let mut desk = self.server.lock();
        desk.waiters.remove(&self.id);
        let event = match desk.queue.is_running(self.id) {
            true => QueueEvent::Finish(self.id),
            false => QueueEvent::Cancel(self.id),
        };
        desk.handle(now, event);
    }
}
