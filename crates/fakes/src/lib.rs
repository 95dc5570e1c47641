//! Stand-ins for the platform and for backend servers, for tests, the load
//! tool and `dogwoodshore try`.
//!
//! Each one is an HTTP server on a port of its own that counts what it is
//! asked and can be told to misbehave.

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
