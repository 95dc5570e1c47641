//! The edge towards the platform.

use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use futures::future::BoxFuture;
use ids::Revision;

use crate::PlatformError;

/// A value of the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformValue {
    /// Revision of the value in the platform; not that of a configuration.
    pub revision: Revision,
    /// Its bytes, at most [`config::MAX_VALUE_BYTES`].
    pub bytes: Bytes,
}

/// Something that values can be read from and watched at.
pub trait PlatformSource: Send + Sync + 'static {
    /// Reads a value.
    fn read<'a>(
        &'a self,
        name: &'a str,
    ) -> BoxFuture<'a, Result<PlatformValue, Report<PlatformError>>>;

    /// Waits for a revision of a value after `after`, at most `wait`.
    ///
    /// Gives `None` if there was none in that time.
    fn watch<'a>(
        &'a self,
        name: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<PlatformValue>, Report<PlatformError>>>;
}
