//! The daemon: it connects the state machines of the other crates to HTTP,
//! sockets and timers, and provides graceful shutdown, the state dump and
//! metrics.
//!
//! A request passes from [`HttpListener`] to the ingress, which finds the route,
//! authenticates the caller and chooses a backend server. The ingress sends it
//! to the egress on the VM of that backend server, which runs in this process or
//! in that of a peer. Only the egress of its VM sends requests to a backend
//! server.

mod admin;
mod answer;
mod attempt;
mod body;
mod budget;
mod caller;
mod clock;
mod control;
mod daemon;
mod desk;
mod edge;
mod egress;
mod evidence;
mod gate;
mod hop;
mod host;
mod ingress;
mod interim;
mod keepalive;
mod ledger;
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
mod watch;
mod wire;
mod write_limit;

pub use answer::Refusal;
pub use caller::{AheadHead, AheadLimits, AheadPlan, BegunRequest};
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
