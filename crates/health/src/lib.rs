//! Sequential detection of gray failures, ejection, floor and probation.
//!
//! A [`PoolDetector`] watches the backend servers of one service from one
//! daemon. It is a state machine without I/O: evidence goes in, weights come
//! out, each with its reason.
//!
//! Detection is sequential and not windowed: each sample moves a score by its
//! log-likelihood ratio (CUSUM), and the threshold follows from the mean time
//! between false ejections that operators ask for. So the delay is what the
//! evidence allows at that confidence, at any request rate.

mod baseline;
mod calls;
mod detector;
mod event;
mod gate;
mod member;
mod score;

pub use calls::FailedCalls;
pub use detector::{DetectorOptions, MemberDump, PoolDetector, STUCK_FACTOR};
pub use event::{Action, Event, MemberSpec, Observation, OutcomeCounts, Reason};
pub use gate::{GateDecision, Outcome, ServerGate};
pub use member::Rotation;
pub use score::Signal;
