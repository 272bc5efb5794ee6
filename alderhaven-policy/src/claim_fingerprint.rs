//! Fingerprint of a claimed request, which tells a resend from a different request.

use std::fmt;
use std::str::FromStr;

use alderhaven_core::errors::{Error, Result};
use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::TeamId;
use serde::{Deserialize, Serialize};

/// A hash of template, canonical parameters and team.
///
/// It detects a key that a caller reuses by mistake. 64 bits are enough for that: a caller that
/// searches for a collision can only prevent a run of its own request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ClaimFingerprint(u64);

impl ClaimFingerprint {
    /// Computes the fingerprint of a team's request.
    #[must_use]
    pub fn of(request: &RequestFingerprint, team: &TeamId) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(request.to_string().as_bytes());
        hasher.update(team.as_str().as_bytes());
        let mut head = [0; 8];
        head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(head))
    }

    /// Creates a fingerprint from its bits.
    #[must_use]
    pub const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }
}

impl fmt::Display for ClaimFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for ClaimFingerprint {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| Error::parse("claim fingerprint", text, "16 hexadecimal digits"))
    }
}

impl TryFrom<String> for ClaimFingerprint {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<ClaimFingerprint> for String {
    fn from(fingerprint: ClaimFingerprint) -> Self {
        fingerprint.to_string()
    }
}
