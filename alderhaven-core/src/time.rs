//! Time points and spans in microseconds, independent of the system clock.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result};

/// Duration in microseconds.
///
/// The text form is a whole number with a unit, for example `250us`, `370ms`, `9s`, `2m` or `1h`.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct TimeSpan(u64);

/// Units of a [`TimeSpan`] in microseconds, largest first.
const SPAN_UNITS: [(&str, u64); 5] = [
    ("h", 3_600_000_000),
    ("m", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

impl TimeSpan {
    /// A span of zero microseconds.
    pub const ZERO: Self = Self(0);

    /// Creates a span of `micros` microseconds.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a span of `millis` milliseconds, saturating at the maximum.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Creates a span of `secs` seconds, saturating at the maximum.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000_000))
    }

    /// Returns the number of microseconds.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the number of milliseconds, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the number of seconds with their fraction.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Converts the span to the standard library's type.
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// Subtracts `other`, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Multiplies the span by `factor`, rounding down and saturating at zero and at the maximum.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast from a float saturates, as documented"
    )]
    pub fn mul_f64(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }
}

impl From<Duration> for TimeSpan {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl Add for TimeSpan {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (unit, size) = SPAN_UNITS
            .into_iter()
            .find(|(_, size)| self.0 >= *size && self.0.is_multiple_of(*size))
            .unwrap_or(("us", 1));
        write!(formatter, "{}{unit}", self.0 / size)
    }
}

impl FromStr for TimeSpan {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let parse_error =
            || Error::parse("time span", text, "a whole number with us, ms, s, m or h");
        let digits = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(digits);
        let size = SPAN_UNITS
            .into_iter()
            .find_map(|(name, size)| (name == unit).then_some(size))
            .ok_or_else(parse_error)?;
        let count: u64 = number.parse().map_err(|_| parse_error())?;
        count.checked_mul(size).map(Self).ok_or_else(parse_error)
    }
}

impl TryFrom<String> for TimeSpan {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<TimeSpan> for String {
    fn from(span: TimeSpan) -> Self {
        span.to_string()
    }
}

/// Reading of a monotonic clock, in microseconds since the clock's start.
///
/// It has no meaning in another process, so messages between processes carry remaining time instead.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize)]
#[serde(transparent)]
pub struct TimePoint(u64);

impl TimePoint {
    /// The start of the clock.
    pub const START: Self = Self(0);

    /// Creates the point `micros` microseconds after the start.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the start.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the span from `earlier` to this point, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }

    /// Returns the span from this point to `later`, or zero if `later` is earlier.
    #[must_use]
    pub const fn until(self, later: Self) -> TimeSpan {
        later.since(self)
    }
}

impl Add<TimeSpan> for TimePoint {
    type Output = Self;

    fn add(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<TimeSpan> for TimePoint {
    type Output = Self;

    fn sub(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}
