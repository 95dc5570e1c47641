//! The daemon: HTTP edges, wiring of the decision crates, drain, state dump
//! and metrics.
//!
//! A request passes from [`HttpListener`] to the ingress, which routes,
//! authenticates and chooses, then to the egress beside the chosen backend
//! server, in this process or in that of a peer. Only the egress talks to
//! backend servers.

mod admin;
mod answer;
mod attempt;
mod body;
mod clock;
mod control;
mod daemon;
mod desk;
mod edge;
mod egress;
mod evidence;
mod gate;
mod hop;
mod ingress;
mod link;
mod listener;
mod metrics;
mod peer;
mod pool;
mod probe;
mod resume;
mod run;
mod settings;
mod task;
mod trail;
mod view;
mod wire;

pub use answer::Refusal;
pub use daemon::{Daemon, DaemonAddresses, DaemonBuilder, DaemonError};
pub use edge::{
    AnswerKind, CallerMetadata, DefaultCodec, DispatchMetadata, EdgeCodec, shed_backoff,
    take_bearer,
};
pub use listener::HttpListener;
pub use settings::{
    Budgets, FleetSecret, LogLevel, LogSettings, LogTarget, Policy, Settings, SourceKind,
};
pub use task::TaskGroup;
pub use view::FleetView;
pub use wire::{
    Attempt, EgressOutcome, EgressReport, HeaderSeal, NotRun, sanitize_headers,
    strip_connection_headers, target_hash,
};
