//! Slots and fair queue of one backend server.
//!
//! [`SlotQueue`] is a state machine without I/O: it takes events with the
//! time at which they happened and returns the actions to perform. Nothing
//! else grants slots of its backend server, so a refusal by the queue proves
//! that the job was not run.
//!
//! Client accounts share slot time and not the number of requests: an account
//! whose requests take ten times as long gets a tenth as many.
//!
//! [`ColdRate`] bounds what is sent to a backend server that is cold after its start.

mod cold;
mod demand;
mod flow;
mod job;
mod order;
mod pace;
mod queue;

pub use cold::{ColdDecision, ColdEvent, ColdLimit, ColdRate};
pub use job::{Job, JobId, QueueAction, QueueEvent, QueueRefusal};
pub use queue::{QueueLimits, QueueReport, SlotQueue};
