//! Detects gray failures of backend servers with sequential tests, ejects the
//! outliers and returns them after a probation.
//!
//! A [`PoolDetector`] watches the backend servers of one service from one
//! daemon. It is a state machine without I/O: its inputs are [`Event`]s, and its
//! outputs are [`Action`]s that set the weight of each server with a [`Reason`].
//! The floor is the share of a pool's slots that ejections have to leave in
//! rotation.
//!
//! Detection uses a sequential test (CUSUM) instead of a time window: each
//! sample adds its log-likelihood ratio to a score. The threshold of the score
//! follows from the mean time between false ejections that the operator
//! configures. The detection delay is therefore as short as the evidence allows
//! at that confidence, at any request rate.

mod baseline;
mod calls;
mod detector;
mod event;
mod gate;
mod member;
mod rejection;
mod score;

pub use calls::FailedCalls;
pub use detector::{DetectorOptions, MemberDump, PoolDetector, STUCK_FACTOR};
pub use event::{Action, Event, MemberSpec, Observation, OutcomeCounts, Reason};
pub use gate::{GateDecision, Outcome, ServerGate};
pub use member::Rotation;
pub use rejection::{RejectionChange, RejectionShare};
pub use score::Signal;
