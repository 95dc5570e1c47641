//! Resources of a backend server that a request holds and that are released on
//! drop.

use std::sync::Arc;

use admit::{JobId, QueueEvent};

use super::{cold::ColdPass, server::EgressServer};

/// Permission of the gate to send one request to a backend server.
#[derive(Debug)]
pub(super) struct GatePass {
    pub(super) server: Arc<EgressServer>,
    /// Whether the request is the one trial of a closed gate.
    pub(super) trial: bool,
    /// Whether the request got a good answer.
    pub(super) good: bool,
    /// Whether the server rejected the request, which decides no trial.
    pub(super) rejected: bool,
}

impl Drop for GatePass {
    fn drop(&mut self) {
        if self.trial {
            let now = self.server.clock.now();
            match self.rejected {
                true => self.server.gate().abandon_trial(now),
                false => self.server.gate().end_trial(now, self.good),
            }
        }
    }
}

/// Slot and permission that a request holds while it runs at a backend server.
#[derive(Debug)]
pub(super) struct HeldSlot {
    pub(super) ticket: SlotTicket,
    pub(super) pass: GatePass,
    pub(super) cold: ColdPass,
}

/// Place in the queue or slot of a job, which is released on drop.
#[derive(Debug)]
pub(super) struct SlotTicket {
    pub(super) server: Arc<EgressServer>,
    pub(super) id: JobId,
    /// Whether the request was sent to the backend server, or may have been.
    pub(super) sent: bool,
    /// Whether the request ended without an answer before its deadline.
    pub(super) aborted: bool,
}

impl Drop for SlotTicket {
    fn drop(&mut self) {
        let now = self.server.clock.now();
        let mut state = self.server.lock();
        state.waiters.remove(&self.id);
        let event = match state.queue.is_running(self.id) {
            true if self.sent && self.aborted => QueueEvent::Abort(self.id),
            true if self.sent => QueueEvent::Finish(self.id),
            true => QueueEvent::Release(self.id),
            false => QueueEvent::Cancel(self.id),
        };
        state.handle(now, event);
    }
}
