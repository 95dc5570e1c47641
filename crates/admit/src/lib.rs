//! Slots and fair queue of one backend server.
//!
//! [`SlotQueue`] is a state machine without I/O: it takes events with the
//! time at which they happened and returns what to do. It is the only
//! authority on the slots of its backend server, so a refusal by it proves
//! that nothing ran.
//!
//! Fairness among client accounts counts slot time and not requests: an
//! account whose requests take ten times as long gets a tenth as many.

mod demand;
mod flow;
mod job;
mod order;
mod queue;

pub use job::{Job, JobId, QueueAction, QueueEvent, QueueRefusal};
pub use queue::{QueueLimits, QueueReport, SlotQueue};
