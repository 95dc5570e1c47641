//! Limits of a slot queue and the load that it reports.

use std::time::Duration;

use ids::{RequestRate, Slots};

/// Limits of a slot queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Maximum number of jobs that run at the same time.
    pub slots: Slots,
    /// Maximum number of jobs that wait at the same time.
    pub waiting: usize,
}

impl QueueLimits {
    /// Maximum number of waiting jobs per slot.
    const WAITING_PER_SLOT: usize = 16;

    /// Returns the limits for a backend server with `slots` slots.
    pub fn for_slots(slots: Slots) -> Self {
        Self {
            slots,
            waiting: slots.get() as usize * Self::WAITING_PER_SLOT,
        }
    }
}

/// Load of a slot queue, as reported to the ingresses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueueReport {
    /// Number of slots without a job.
    pub free: u32,
    /// Number of running jobs.
    pub running: u32,
    /// Number of waiting jobs.
    pub waiting: u32,
    /// Expected wait of a customer's job that arrives now.
    pub delay: Duration,
    /// Whether the backend server is draining.
    pub draining: bool,
    /// Rate at which the backend server takes requests, if it has named one.
    pub limit: Option<RequestRate>,
    /// Number of ranks and kinds that get less than their least share and go first.
    pub owed: u32,
}
