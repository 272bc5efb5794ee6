//! Idempotency key of a request that may run at most once.

use std::fmt;
use std::str::FromStr;

use alderhaven_core::errors::{Error, Result};
use serde::{Deserialize, Serialize};
use uuid::{Uuid, Variant};

/// The number of bits of a `UUIDv7` below its timestamp.
const BITS_BELOW_TIMESTAMP: u32 = 80;

/// A caller's idempotency key, a `UUIDv7`.
///
/// Its timestamp determines the bucket that holds the claim, and thereby how long it is remembered. The
/// timestamp is the caller's; at-most-once does not depend on its accuracy.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ClaimKey(Uuid);

impl ClaimKey {
    /// Creates a key from a time in milliseconds since the Unix epoch and random bits.
    #[must_use]
    pub fn new(millis: u64, random: [u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(millis, &random).into_uuid())
    }

    /// Returns the timestamp in milliseconds since the Unix epoch.
    #[must_use]
    pub fn millis(&self) -> u64 {
        u64::try_from(self.0.as_u128() >> BITS_BELOW_TIMESTAMP).unwrap_or(u64::MAX)
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.simple().fmt(formatter)
    }
}

impl FromStr for ClaimKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let parse_error = || Error::parse("idempotency key", text, "a UUID of version 7");
        let uuid = Uuid::parse_str(text).map_err(|_| parse_error())?;
        let is_v7 = uuid.get_version_num() == 7 && uuid.get_variant() == Variant::RFC4122;
        if is_v7 {
            Ok(Self(uuid))
        } else {
            Err(parse_error())
        }
    }
}

impl TryFrom<String> for ClaimKey {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<ClaimKey> for String {
    fn from(key: ClaimKey) -> Self {
        key.to_string()
    }
}
