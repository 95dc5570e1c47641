//! Client of the users' configuration service and VM list.
//!
//! The service is only read and watched; the contract stands in
//! `docs/PLATFORM.md`. [`ConfigFeed`] is the edge at which another
//! platform can be fitted. A [`ConfigReader`] never hands out a revision that
//! is not newer than the one it was given.

mod error;
mod feed;
mod http;
mod reader;
mod source;

pub use error::PlatformError;
pub use feed::{ConfigFeed, PublishedFeed};
pub use http::{HttpPlatform, HttpPlatformBuilder};
pub use reader::{ConfigReader, ReadOutcome};
pub use source::{PlatformSource, PlatformValue};
