//! Teams: who may ask, how much of the targets each is due, and its bearer token.

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::errors::Error;
use crate::ids::TeamId;
use crate::quantities::RatePerSecond;

/// The greatest weight of a team.
pub const MAX_WEIGHT: u32 = 1000;

/// A `TeamPolicy` is what operators publish for one team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamPolicy {
    /// The team's name.
    pub name: TeamId,
    /// The team's weight when teams compete, 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The most queries a second over all entries; without it only fairness limits the team.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_rate: Option<RatePerSecond>,
    /// The most queries in flight at one entry; without it only fairness limits the team.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_in_flight: Option<u32>,
    /// The BLAKE3 hash of the bearer token in hexadecimal; without it no token is asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_hash: Option<String>,
}

const fn default_weight() -> u32 {
    1
}

/// Gets the text that `token_hash` holds for a bearer token.
#[must_use]
pub fn hash_token(token: &str) -> String {
    blake3::hash(token.as_bytes()).to_hex().to_string()
}

impl TeamPolicy {
    /// Checks the policy and collects everything that is wrong with it.
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

    /// Returns true where `token` is the team's token, or the team has none.
    ///
    /// The hashes are compared in constant time, so that a reply's timing tells nothing of them.
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
