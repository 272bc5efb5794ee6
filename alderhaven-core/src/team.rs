//! Policy of a team: its weight, its limits and its bearer token.

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::errors::Error;
use crate::ids::TeamId;
use crate::quantities::RatePerSecond;

/// Maximum weight of a team.
pub const MAX_WEIGHT: u32 = 1000;

/// Policy that operators publish for one team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamPolicy {
    /// The team, which is also the name of the policy's object.
    pub name: TeamId,
    /// The team's weight in fair sharing, from 1 to [`MAX_WEIGHT`].
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The maximum number of queries per second over all entries. Without it, only fair sharing limits
    /// the team.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_rate: Option<RatePerSecond>,
    /// The maximum number of queries in flight at one entry. Without it, only fair sharing limits the
    /// team.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_in_flight: Option<u32>,
    /// The BLAKE3 hash of the bearer token in hexadecimal. Without it, no token is required.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_hash: Option<String>,
}

const fn default_weight() -> u32 {
    1
}

/// Returns the value of `token_hash` for a bearer token.
#[must_use]
pub fn hash_token(token: &str) -> String {
    blake3::hash(token.as_bytes()).to_hex().to_string()
}

impl TeamPolicy {
    /// Validates the policy and returns all errors.
    #[must_use]
    pub fn check(&self) -> Vec<Error> {
        let mut errors = Vec::new();
        if !(1..=MAX_WEIGHT).contains(&self.weight) {
            errors.push(Error::invalid(
                "weight",
                format!("{} is refused: allowed is 1 to {MAX_WEIGHT}", self.weight),
            ));
        }
        if self.max_in_flight == Some(0) {
            errors.push(Error::invalid("max_in_flight", "allowed is 1 or more"));
        }
        if let Some(hash) = &self.token_hash
            && blake3::Hash::from_hex(hash).is_err()
        {
            errors.push(Error::invalid(
                "token_hash",
                "allowed is a BLAKE3 hash of 64 hexadecimal digits",
            ));
        }
        errors
    }

    /// Returns true if `token` is the team's token or the team has none.
    ///
    /// The hashes are compared in constant time to prevent timing attacks.
    #[must_use]
    pub fn accepts_token(&self, token: Option<&str>) -> bool {
        let Some(expected) = &self.token_hash else {
            return true;
        };
        let Ok(expected) = blake3::Hash::from_hex(expected) else {
            return false;
        };
        let given = blake3::hash(token.unwrap_or_default().as_bytes());
        token.is_some() && bool::from(given.as_bytes().ct_eq(expected.as_bytes()))
    }
}
