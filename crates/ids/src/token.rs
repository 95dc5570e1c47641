//! Rate tokens in fixed-point arithmetic.
//!
//! One request costs one token. Amounts are stored in microtokens, so that a
//! burst of 5 can be divided among three zones. Divisions round down, which may
//! lose a microtoken and never creates one.

use std::{
    fmt,
    iter::Sum,
    ops::{Add, AddAssign, Sub, SubAssign},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::UnitError;

/// Number of microtokens in one token.
const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// Amount of rate tokens, stored in microtokens.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct TokenAmount(u64);

impl TokenAmount {
    /// Amount of zero tokens.
    pub const ZERO: Self = Self(0);
    /// Cost of one request.
    pub const ONE: Self = Self(MICROTOKENS_PER_TOKEN);

    /// Returns an amount of `count` whole tokens.
    pub const fn whole(count: u64) -> Self {
        Self(count.saturating_mul(MICROTOKENS_PER_TOKEN))
    }

    /// Returns an amount of `microtokens` microtokens.
    pub const fn from_microtokens(microtokens: u64) -> Self {
        Self(microtokens)
    }

    /// Returns the amount in microtokens.
    pub const fn as_microtokens(self) -> u64 {
        self.0
    }

    /// Returns the amount in tokens as a floating-point number, for display and
    /// statistics.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / MICROTOKENS_PER_TOKEN as f64
    }

    /// Returns one of `count` equal shares, rounded down; 0 counts as 1.
    pub const fn share(self, count: u32) -> Self {
        Self(self.0 / (if count == 0 { 1 } else { count as u64 }))
    }

    /// Returns the fraction `numerator / denominator` of the amount, rounded
    /// down; a denominator of 0 counts as 1.
    pub const fn fraction(self, numerator: u32, denominator: u32) -> Self {
        let denominator = if denominator == 0 {
            1
        } else {
            denominator as u128
        };
        Self((self.0 as u128 * numerator as u128 / denominator) as u64)
    }

    /// Returns the difference, or zero if `other` is larger.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the amount rounded down to whole tokens.
    pub const fn floor(self) -> Self {
        Self(self.0 / MICROTOKENS_PER_TOKEN * MICROTOKENS_PER_TOKEN)
    }
}

impl Add for TokenAmount {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for TokenAmount {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for TokenAmount {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.saturating_sub(other)
    }
}

impl SubAssign for TokenAmount {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

impl Sum for TokenAmount {
    fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
        amounts.fold(Self::ZERO, Add::add)
    }
}

impl fmt::Display for TokenAmount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.as_f64())
    }
}

impl FromStr for TokenAmount {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.parse::<crate::Revision>()
            .map(|count| Self::whole(count.get()))
    }
}

/// Rate tokens per second.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct TokenRate(u64);

impl TokenRate {
    /// Returns a rate of `count` whole tokens per second.
    pub const fn per_second(count: u64) -> Self {
        Self(count.saturating_mul(MICROTOKENS_PER_TOKEN))
    }

    /// Returns one of `count` equal shares, rounded down; 0 counts as 1.
    pub const fn share(self, count: u32) -> Self {
        Self(self.0 / (if count == 0 { 1 } else { count as u64 }))
    }

    /// Returns the tokens per second as a floating-point number.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / MICROTOKENS_PER_TOKEN as f64
    }

    /// Returns the tokens that accrue in `duration`, rounded down.
    pub fn tokens_in(self, duration: Duration) -> TokenAmount {
        let microtokens = u128::from(self.0) * duration.as_nanos() / 1_000_000_000;
        TokenAmount(u64::try_from(microtokens).unwrap_or(u64::MAX))
    }

    /// Returns the time in which `amount` accrues, rounded up, or `None` if the
    /// rate is zero.
    pub fn time_for(self, amount: TokenAmount) -> Option<Duration> {
        let nanos = u128::from(amount.0) * 1_000_000_000;
        match u128::from(self.0) {
            0 => None,
            rate => Some(Duration::from_nanos(
                u64::try_from(nanos.div_ceil(rate)).unwrap_or(u64::MAX),
            )),
        }
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.as_f64())
    }
}

impl FromStr for TokenRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number = text.strip_suffix("/s").unwrap_or(text);
        number
            .parse::<crate::Revision>()
            .map(|count| Self::per_second(count.get()))
    }
}
