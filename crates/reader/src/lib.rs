//! Client of the users' configuration service and VM list.
//!
//! Both are called the platform here. They are only read and watched, over the
//! protocol that `docs/PLATFORM.md` specifies. A client of a platform with
//! another protocol implements [`ConfigFeed`]. A [`ConfigReader`] returns only
//! revisions that are newer than the one that it was given.

mod error;
mod feed;
mod http;
mod reader;
mod source;

pub use error::PlatformError;
pub use feed::{ConfigFeed, FeedCounts, PublishedFeed};
pub use http::{HttpPlatform, HttpPlatformBuilder};
pub use reader::{ConfigReader, ReadOutcome};
pub use source::{PlatformSource, PlatformValue};
