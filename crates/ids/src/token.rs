//! Rate tokens in fixed-point arithmetic.
//!
//! One request costs one whole token. A token has a million parts, so that a
//! burst of 5 can be divided over three zones; divisions round down, which
//! may lose a millionth and never creates one.

use std::{
    fmt,
    iter::Sum,
    ops::{Add, AddAssign, Sub, SubAssign},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::UnitError;

/// Parts of one token.
const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// A number of rate tokens.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct TokenAmount(u64);

impl TokenAmount {
    /// No token.
    pub const ZERO: Self = Self(0);
    /// The cost of one request.
    pub const ONE: Self = Self(MICROTOKENS_PER_TOKEN);

    /// That many whole tokens.
    pub const fn whole(count: u64) -> Self {
        Self(count.saturating_mul(MICROTOKENS_PER_TOKEN))
    }

    /// That many millionths of a token.
    pub const fn from_microtokens(microtokens: u64) -> Self {
        Self(microtokens)
    }

    /// Millionths of a token.
    pub const fn as_microtokens(self) -> u64 {
        self.0
    }

    /// The amount as a fraction, for display and statistics.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / MICROTOKENS_PER_TOKEN as f64
    }

    /// One of `count` equal shares, rounded down.
    pub const fn share(self, count: u32) -> Self {
        Self(self.0 / (if count == 0 { 1 } else { count as u64 }))
    }

    /// `count` of `all` equal shares, rounded down.
    pub const fn fraction(self, count: u32, all: u32) -> Self {
        let all = if all == 0 { 1 } else { all as u128 };
        Self((self.0 as u128 * count as u128 / all) as u64)
    }

    /// The difference, zero where `other` is larger.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The part of the amount that is a number of whole tokens.
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
    /// That many whole tokens per second.
    pub const fn per_second(count: u64) -> Self {
        Self(count.saturating_mul(MICROTOKENS_PER_TOKEN))
    }

    /// One of `count` equal shares, rounded down.
    pub const fn share(self, count: u32) -> Self {
        Self(self.0 / (if count == 0 { 1 } else { count as u64 }))
    }

    /// Tokens per second as a fraction.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / MICROTOKENS_PER_TOKEN as f64
    }

    /// Tokens that `span` brings, rounded down.
    pub fn tokens_in(self, span: Duration) -> TokenAmount {
        let parts = u128::from(self.0) * span.as_nanos() / 1_000_000_000;
        TokenAmount(u64::try_from(parts).unwrap_or(u64::MAX))
    }

    /// Time until `amount` has come in, rounded up; `None` at rate zero.
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
