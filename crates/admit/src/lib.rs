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
mod displacement;
mod flow;
mod job;
mod limits;
mod pace;
mod queue;
mod waiting;
mod work;

pub use cold::{ColdDecision, ColdEvent, ColdLimit, ColdRate};
pub use displacement::{Displacement, JobOutlook, JobTerms, displacement};
pub use job::{Job, JobId, QueueAction, QueueEvent, QueueRefusal, WorkKind};
pub use limits::{QueueLimits, QueueReport, SheddingOrder};
pub use queue::SlotQueue;
