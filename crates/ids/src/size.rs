//! Counts, weights, priorities, percentages and revisions.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

/// Error for a text that is not a number with the expected unit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnitError {
    text: String,
    expected: &'static str,
}

impl fmt::Display for UnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is not {}", self.text, self.expected)
    }
}

impl std::error::Error for UnitError {}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $suffix:literal, $expected:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the number without its unit.
            pub const fn get(self) -> $inner {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $suffix), self.0)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                let number = text.strip_suffix($suffix).unwrap_or(text);
                number.parse().map(Self).map_err(|_| UnitError {
                    text: text.to_owned(),
                    expected: $expected,
                })
            }
        }
    };
}

number_type!(
    /// Number of requests that a backend server runs concurrently.
    Slots, u32, "", "a number of slots, such as 5"
);
number_type!(
    /// Revision of the configuration or of the VM list; a newer one is higher.
    Revision, u64, "", "a revision, such as 17"
);
number_type!(
    /// Relative share of a client account when accounts compete.
    Weight, u32, "", "a weight, such as 1"
);
number_type!(
    /// Rank of a request among those that wait; rank 0 goes first.
    Rank, u8, "", "a rank, such as 0"
);
number_type!(
    /// Random priority that all requests of one piece of work share, so that
    /// overload rejects whole pieces of work. A higher priority goes first when
    /// not all requests can be served. Requests without a piece of work have
    /// priority 0.
    WorkPriority, u32, "", "a priority, such as 7"
);
number_type!(
    /// Percentage of a whole.
    Percent, u8, "%", "a percentage, such as 60%"
);

impl Percent {
    /// Returns the percentage as a fraction of one.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// Number of requests per second, stored in thousandths.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Returns a rate of `thousandths` requests per 1,000 seconds.
    pub const fn from_thousandths(thousandths: u64) -> Self {
        Self(thousandths)
    }

    /// Returns the rate in requests per second, for calculations.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Returns the time between two requests at this rate, at most `longest`.
    pub fn interval(self, longest: Duration) -> Duration {
        match self.0 {
            0 => longest,
            thousandths => Duration::from_nanos(1_000_000_000_000 / thousandths).min(longest),
        }
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.as_f64())
    }
}

impl FromStr for RequestRate {
    type Err = UnitError;

    /// Parses a decimal number of requests per second, such as `3.2` or `3.2/s`.
    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number = text.strip_suffix("/s").unwrap_or(text);
        match number.parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Ok(Self((rate * 1_000.0) as u64)),
            _ => Err(UnitError {
                text: text.to_owned(),
                expected: "a number of requests per second, such as 3.2",
            }),
        }
    }
}
