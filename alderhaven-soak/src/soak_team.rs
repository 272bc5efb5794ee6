//! A team as a configuration of a run holds it.

use alderhaven_platform_standin::store_fixtures;
use alderhaven_platform_standin::team_bounds::TeamBounds;
use serde::Serialize;
use serde_json::Value;

/// The start of all keys, valid or not, by which targets notice a key in any header.
pub const KEY_PREFIX: &str = "soak-key-";
/// The divisor of a lowered limit.
const LOWERED_DIVISOR: f64 = 10.0;

/// A team with its keys and its limit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SoakTeam {
    /// The name.
    pub name: String,
    /// The valid keys. The first one is never removed; a key that is removed never returns.
    pub keys: Vec<String>,
    /// The rank.
    pub rank: u8,
    /// The requests per second of the team over all fronts; 0 for a team without a limit.
    pub rate_per_s: f64,
    /// The requests that may run at once beyond the rate.
    pub burst: f64,
    /// Whether the limit is lowered for a time.
    pub is_lowered: bool,
    /// The number of keys that were made so far.
    pub key_count: usize,
}

impl SoakTeam {
    /// Creates a team with two keys.
    #[must_use]
    pub fn new(name: &str, rank: u8, rate_per_s: f64, burst: f64) -> Self {
        let mut team = Self {
            name: name.to_owned(),
            keys: Vec::new(),
            rank,
            rate_per_s,
            burst,
            is_lowered: false,
            key_count: 0,
        };
        team.add_key();
        team.add_key();
        team
    }

    /// Returns true if the team has a limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }

    /// Replaces the second key by a new one.
    pub fn rotate_key(&mut self) {
        self.keys.truncate(1);
        self.add_key();
    }

    /// Returns the rate and the burst in force.
    #[must_use]
    pub fn limit(&self) -> (f64, f64) {
        if self.is_lowered {
            let (rate, burst) = (
                self.rate_per_s / LOWERED_DIVISOR,
                self.burst / LOWERED_DIVISOR,
            );
            (rate, burst.max(1.0))
        } else {
            (self.rate_per_s, self.burst)
        }
    }

    /// Returns the most requests that may run in a window; `None` without a limit.
    #[must_use]
    pub fn max_runs(&self, bounds: &TeamBounds) -> Option<f64> {
        let (rate, burst) = self.limit();
        let usual = rate * bounds.quota_window_s + burst;
        self.is_limited()
            .then_some(usual * (1.0 + bounds.quota_overshoot) + bounds.quota_slack)
    }

    /// Builds the team's entry of the configuration document.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let keys: Vec<&str> = self.keys.iter().map(String::as_str).collect();
        let (rate, burst) = self.limit();
        store_fixtures::team(&self.name, &keys, self.rank, rate, burst)
    }

    fn add_key(&mut self) {
        let key = format!("{KEY_PREFIX}{}-{}", self.name, self.key_count);
        self.keys.push(key);
        self.key_count += 1;
    }
}
