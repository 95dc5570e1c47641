//! Errors of reading the platform.

use std::{fmt, time::Duration};

/// Why a read of the platform failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// No connection, or it broke.
    Unreachable {
        /// Value that was asked for.
        name: String,
        /// What the connection said.
        cause: String,
    },
    /// No whole answer in time.
    TimedOut {
        /// Value that was asked for.
        name: String,
        /// How long was waited.
        after: Duration,
    },
    /// It answered that it does not serve for now.
    Unavailable {
        /// Value that was asked for.
        name: String,
        /// What it said.
        cause: String,
    },
    /// An answer that the contract does not allow.
    BadResponse {
        /// Value that was asked for.
        name: String,
        /// What was wrong.
        cause: String,
    },
    /// No such value.
    NotFound {
        /// Value that was asked for.
        name: String,
    },
    /// A revision older than one seen before.
    Stale {
        /// Value that was asked for.
        name: String,
    },
    /// The values were read but do not make a valid configuration.
    Invalid,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { name, cause } => write!(
                f,
                "can't read {name}: {cause}; check `platform` in the settings and the service"
            ),
            Self::TimedOut { name, after } => write!(
                f,
                "no whole answer for {name} within {} ms; check the service's load",
                after.as_millis()
            ),
            Self::Unavailable { name, cause } => write!(
                f,
                "{name} does not serve reads for now: {cause}; check its load and rate if it lasts"
            ),
            Self::BadResponse { name, cause } => write!(
                f,
                "answer for {name} breaks the contract: {cause}; see docs/PLATFORM.md"
            ),
            Self::NotFound { name } => write!(
                f,
                "the platform has no {name}; publish what `dogwoodshore pack` wrote"
            ),
            Self::Stale { name } => write!(
                f,
                "{name} is older than what was read before; the service serves a stale copy"
            ),
            Self::Invalid => f.write_str("the published configuration is refused"),
        }
    }
}

impl std::error::Error for PlatformError {}
