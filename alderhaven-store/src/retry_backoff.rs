//! Exponential backoff with jitter between failed calls to the platform.
//!
//! An outage affects all processes at once. Without growing, jittered waits they would retry at the
//! same moments and keep the API overloaded after it recovers.

use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// Default bound of the first wait.
const DEFAULT_INITIAL_WAIT: TimeSpan = TimeSpan::from_millis(100);
/// Default bound of all waits. Keeps the delay of a configuration change short after an outage.
const DEFAULT_MAX_WAIT: TimeSpan = TimeSpan::from_secs(4);
/// Factor by which the bound of the wait grows after each failure.
const GROWTH_FACTOR: f64 = 2.0;
/// Share of the bound that is not random, which keeps every wait well above zero.
const FIXED_SHARE: f64 = 0.5;

/// Bounds of the waits of a [`RetryBackoff`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackoffOptions {
    /// The upper bound of the first wait.
    #[serde(rename = "first")]
    pub initial_wait: TimeSpan,
    /// The upper bound of all waits.
    #[serde(rename = "longest")]
    pub max_wait: TimeSpan,
}

impl Default for BackoffOptions {
    fn default() -> Self {
        Self {
            initial_wait: DEFAULT_INITIAL_WAIT,
            max_wait: DEFAULT_MAX_WAIT,
        }
    }
}

/// Exponential backoff over a series of failures.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    options: BackoffOptions,
    wait_bound: TimeSpan,
}

impl RetryBackoff {
    /// Creates a backoff without failures.
    #[must_use]
    pub const fn new(options: BackoffOptions) -> Self {
        Self {
            options,
            wait_bound: options.initial_wait,
        }
    }

    /// Returns the wait after one more failure. `random` is a random number from 0 to 1.
    pub fn next_wait(&mut self, random: f64) -> TimeSpan {
        let wait = self
            .wait_bound
            .mul_f64(FIXED_SHARE + (1.0 - FIXED_SHARE) * random);
        self.wait_bound = self
            .wait_bound
            .mul_f64(GROWTH_FACTOR)
            .min(self.options.max_wait);
        wait
    }

    /// Resets the wait to its initial bound after a success.
    pub const fn reset(&mut self) {
        self.wait_bound = self.options.initial_wait;
    }
}
