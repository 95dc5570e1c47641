//! Stubs of the platform and of backend servers, for tests, benches and
//! `dogwoodshore try`.
//!
//! [`BackendStub`] and [`PlatformStub`] are HTTP servers, each on its own
//! address, that count their requests and can be told to misbehave.
//! [`DropRelay`] injects network faults in front of a daemon, and
//! [`Deployment`] builds the records of a fleet.

mod backend;
mod deployment;
mod platform;
mod publisher;
mod raw;
mod relay;
mod server;

pub use backend::{BackendStub, Behaviour, ECHO_HEADER, RUN_HEADER};
pub use deployment::{Deployment, DeploymentShape, ServiceShape};
pub use platform::{PlatformFault, PlatformStub};
pub use publisher::SetPublisher;
pub use raw::RawStub;
pub use relay::DropRelay;
pub use server::{StubBody, StubServer, full_body};
