//! Policy of a team: its weight, its limits and its bearer token.

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::errors::Error;
use crate::ids::TeamId;
use crate::quantities::RatePerSecond;
use crate::token_hash::{HASH_FORM, TokenHash};

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
    /// The queries that the team may send at once beyond its rate. Fronts apply it; entries allow one
    /// second of their part of the rate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst: Option<f64>,
    /// The rank of the team's queries on fronts; 0 is served first. It precedes the rank of the route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u32>,
    /// The maximum number of queries in flight at one entry. Without it, only fair sharing limits the
    /// team.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_in_flight: Option<u32>,
    /// The BLAKE3 hash of the bearer token in hexadecimal. Without it, no token is required.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_hash: Option<String>,
    /// The hashes of further tokens of the team, such as those that replace one another.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub other_token_hashes: Vec<String>,
}

const fn default_weight() -> u32 {
    1
}

/// Returns the value of `token_hash` for a bearer token.
#[must_use]
pub fn hash_token(token: &str) -> String {
    TokenHash::of_token(token.as_bytes()).to_string()
}

impl TeamPolicy {
    /// Creates the policy of a team without tokens, limits and rank.
    #[must_use]
    pub const fn new(name: TeamId) -> Self {
        Self {
            name,
            weight: default_weight(),
            max_rate: None,
            burst: None,
            rank: None,
            max_in_flight: None,
            token_hash: None,
            other_token_hashes: Vec::new(),
        }
    }

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
        if self
            .burst
            .is_some_and(|burst| !burst.is_finite() || burst < 0.0)
        {
            errors.push(Error::invalid("burst", "allowed is 0 or more"));
        }
        let is_malformed = |hash: &str| hash.parse::<TokenHash>().is_err();
        if self.token_hash.as_deref().is_some_and(is_malformed) {
            errors.push(Error::invalid("token_hash", HASH_FORM));
        }
        if self
            .other_token_hashes
            .iter()
            .any(|hash| is_malformed(hash))
        {
            errors.push(Error::invalid("other_token_hashes", HASH_FORM));
        }
        errors
    }

    /// Returns the hashes of all tokens of the team.
    pub fn token_hashes(&self) -> impl Iterator<Item = &str> {
        let others = self.other_token_hashes.iter();
        self.token_hash.iter().chain(others).map(String::as_str)
    }

    /// Returns true if `token` is one of the team's tokens or the team has none.
    ///
    /// The hashes are compared in constant time to prevent timing attacks.
    #[must_use]
    pub fn accepts_token(&self, token: Option<&str>) -> bool {
        if self.token_hashes().next().is_none() {
            return true;
        }
        let given = blake3::hash(token.unwrap_or_default().as_bytes());
        let is_same = |expected: &str| {
            blake3::Hash::from_hex(expected)
                .is_ok_and(|expected| bool::from(given.as_bytes().ct_eq(expected.as_bytes())))
        };
        token.is_some() && self.token_hashes().any(is_same)
    }
}
