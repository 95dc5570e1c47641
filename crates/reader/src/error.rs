//! Errors that occur while the platform is read.

use std::{fmt, time::Duration};

/// Why a read of the platform failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The connection could not be established, or it broke.
    Unreachable {
        /// Name of the requested value.
        name: String,
        /// Error of the connection.
        cause: String,
    },
    /// The response was not complete within the time limit.
    TimedOut {
        /// Name of the requested value.
        name: String,
        /// Time limit that expired.
        after: Duration,
    },
    /// The platform responded that it can't serve reads at present.
    Unavailable {
        /// Name of the requested value.
        name: String,
        /// Response of the platform.
        cause: String,
    },
    /// The response violates the protocol.
    BadResponse {
        /// Name of the requested value.
        name: String,
        /// What is wrong with the response.
        cause: String,
    },
    /// The value does not exist.
    NotFound {
        /// Name of the requested value.
        name: String,
    },
    /// The revision is older than one that was read before.
    Stale {
        /// Name of the requested value.
        name: String,
    },
    /// The values were read, but they are not a valid configuration or VM list.
    Invalid,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { name, cause } => write!(
                f,
                "can't read {name}: {cause}; check `platform` in the settings and whether the platform runs"
            ),
            Self::TimedOut { name, after } => write!(
                f,
                "no complete response for {name} within {} ms; check the load of the platform",
                after.as_millis()
            ),
            Self::Unavailable { name, cause } => write!(
                f,
                "{name} can't serve reads at present: {cause}; if this persists, check its load and rate limit"
            ),
            Self::BadResponse { name, cause } => write!(
                f,
                "response for {name} violates the protocol: {cause}; see docs/PLATFORM.md"
            ),
            Self::NotFound { name } => write!(
                f,
                "{name} does not exist on the platform; publish the values that `dogwoodshore pack` wrote"
            ),
            Self::Stale { name } => write!(
                f,
                "{name} is older than a revision that was read before; the platform serves a stale copy"
            ),
            Self::Invalid => f.write_str("the published configuration or VM list is invalid"),
        }
    }
}

impl std::error::Error for PlatformError {}
