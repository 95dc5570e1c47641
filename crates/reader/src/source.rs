//! Interface to the values of the platform.

use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use futures::future::BoxFuture;
use ids::Revision;

use crate::PlatformError;

/// A value that was read from the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformValue {
    /// Revision of the value on the platform, which is independent of the revision
    /// of the configuration in it.
    pub revision: Revision,
    /// Content of the value, at most [`config::MAX_VALUE_BYTES`] bytes.
    pub bytes: Bytes,
}

/// A platform whose values can be read and watched.
pub trait PlatformSource: Send + Sync + 'static {
    /// Reads the value `name`.
    fn read<'a>(
        &'a self,
        name: &'a str,
    ) -> BoxFuture<'a, Result<PlatformValue, Report<PlatformError>>>;

    /// Waits up to `wait` for a revision of the value `name` later than `after`.
    ///
    /// Returns `None` if there is none within that time.
    fn watch<'a>(
        &'a self,
        name: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<PlatformValue>, Report<PlatformError>>>;
}
