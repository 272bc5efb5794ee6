//! Newtypes for sizes, rates and shares with their text forms.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result};

/// Number of bytes. The text form is, for example, `512B`, `64KB` or `1MB`, in powers of 1024.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct ByteSize(usize);

/// Units of a [`ByteSize`] in bytes, largest first.
const SIZE_UNITS: [(&str, usize); 3] = [("MB", 1 << 20), ("KB", 1 << 10), ("B", 1)];

impl ByteSize {
    /// Creates a size of `bytes` bytes.
    #[must_use]
    pub const fn from_bytes(bytes: usize) -> Self {
        Self(bytes)
    }

    /// Creates a size of `kib` times 1024 bytes.
    #[must_use]
    pub const fn from_kib(kib: usize) -> Self {
        Self(kib << 10)
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn as_bytes(self) -> usize {
        self.0
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (unit, size) = SIZE_UNITS
            .into_iter()
            .find(|(_, size)| self.0 >= *size && self.0.is_multiple_of(*size))
            .unwrap_or(("B", 1));
        write!(formatter, "{}{unit}", self.0 / size)
    }
}

impl FromStr for ByteSize {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let parse_error = || Error::parse("size", text, "a whole number with B, KB or MB");
        let digits = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(digits);
        let size = SIZE_UNITS
            .into_iter()
            .find_map(|(name, size)| (name == unit).then_some(size))
            .ok_or_else(parse_error)?;
        let count: usize = number.parse().map_err(|_| parse_error())?;
        count.checked_mul(size).map(Self).ok_or_else(parse_error)
    }
}

impl TryFrom<String> for ByteSize {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<ByteSize> for String {
    fn from(size: ByteSize) -> Self {
        size.to_string()
    }
}

/// Non-negative number of events per second. The text form is, for example, `140/s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RatePerSecond(f64);

impl RatePerSecond {
    /// Creates a rate of `per_second` events per second.
    ///
    /// # Errors
    /// `Error::Parse` if the number is negative, infinite or not a number.
    pub fn new(per_second: f64) -> Result<Self> {
        if per_second.is_finite() && per_second >= 0.0 {
            Ok(Self(per_second))
        } else {
            Err(Error::parse(
                "rate",
                per_second.to_string(),
                "a number of zero or more, followed by /s",
            ))
        }
    }

    /// Returns the number of events per second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RatePerSecond {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.0)
    }
}

impl FromStr for RatePerSecond {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let parse_error = || Error::parse("rate", text, "a number of zero or more, followed by /s");
        let number = text.strip_suffix("/s").ok_or_else(parse_error)?;
        Self::new(number.parse().map_err(|_| parse_error())?).map_err(|_| parse_error())
    }
}

impl TryFrom<String> for RatePerSecond {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<RatePerSecond> for String {
    fn from(rate: RatePerSecond) -> Self {
        rate.to_string()
    }
}

/// Fraction of a whole, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(f64);

impl Share {
    /// The whole, 1.0.
    pub const ONE: Self = Self(1.0);

    /// Returns the share as a number from 0 to 1.
    #[must_use]
    pub const fn as_f64(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Share {
    type Error = Error;

    fn try_from(number: f64) -> Result<Self> {
        if (0.0..=1.0).contains(&number) {
            Ok(Self(number))
        } else {
            Err(Error::parse(
                "share",
                number.to_string(),
                "a number from 0 to 1",
            ))
        }
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> Self {
        share.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for Share {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number: f64 = text
            .parse()
            .map_err(|_| Error::parse("share", text, "a number from 0 to 1"))?;
        Self::try_from(number)
    }
}
