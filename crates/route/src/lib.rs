//! Choice of a backend server, retries, hedging and deadlines.
//!
//! [`choose_server`] compares two random candidates by expected delay.
//! [`AttemptPlan`] is the state machine of the attempts of one request. Only
//! [`AttemptPlan::may_retry`] decides whether an attempt that has ended may be
//! followed by another.

mod budget;
mod choice;
mod homes;
mod idempotence;
mod plan;
mod quantile;
mod rejection;
mod scope;
mod urgency;

pub use budget::RetryBudget;
pub use choice::{Candidate, Distance, choose_server, expected_delay, keep_floor};
pub use homes::HomeRegions;
pub use idempotence::is_idempotent;
pub use plan::{
    AttemptEnd, AttemptId, AttemptPlan, FailedOutcome, PlanAction, PlanEvent, PlanOptions,
};
pub use quantile::LatencyQuantile;
pub use rejection::{aged_rejections, excess_rejections, is_avoided, usual_rejections};
pub use scope::{RequestScope, ServerPlace};
pub use urgency::RetryUrgency;
