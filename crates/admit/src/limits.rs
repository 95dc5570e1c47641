//! Limits of a slot queue and the load that it reports.

use std::time::Duration;

use ids::{RequestRate, Slots};

/// What decides between jobs of one rank that compete for slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SheddingOrder {
    /// The fair share of accounts. All jobs count as equal work.
    Account,
    /// The fair share of accounts and the work that each kind of request needs; each
    /// rank and kind keeps a least share.
    #[default]
    Work,
}

/// Limits of a slot queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Maximum number of jobs that run at the same time.
    pub slots: Slots,
    /// Maximum number of jobs that wait at the same time.
    pub waiting: usize,
    /// What decides between jobs of one rank.
    pub order: SheddingOrder,
}

impl QueueLimits {
    /// Maximum number of waiting jobs per slot.
    const WAITING_PER_SLOT: usize = 16;

    /// Returns the limits for a backend server with `slots` slots.
    pub fn for_slots(slots: Slots) -> Self {
        Self {
            slots,
            waiting: slots.get() as usize * Self::WAITING_PER_SLOT,
            order: SheddingOrder::default(),
        }
    }

    /// Returns the same limits with another order.
    pub fn with_order(self, order: SheddingOrder) -> Self {
        Self { order, ..self }
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
