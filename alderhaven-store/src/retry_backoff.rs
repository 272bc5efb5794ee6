//! The waits between calls to the platform while it fails.
//!
//! Load pattern: an outage ends for all processes at once. Without growing and jittered waits they
//! all call in the same moment, again and again, and the API stays overloaded after it is back.

use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// The default first wait.
const DEFAULT_INITIAL_WAIT: TimeSpan = TimeSpan::from_millis(100);
/// The default longest wait: short beside the 9 s in which a change must be in force.
const DEFAULT_MAX_WAIT: TimeSpan = TimeSpan::from_secs(4);
/// The factor between two waits.
const GROWTH_FACTOR: f64 = 2.0;
/// The part of each wait that is not random, so that no wait is next to nothing.
const FIXED_SHARE: f64 = 0.5;

/// `BackoffOptions` bound the waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackoffOptions {
    /// The first wait.
    #[serde(rename = "first")]
    pub initial_wait: TimeSpan,
    /// The longest wait.
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

/// A `RetryBackoff` gives the next wait of a series of failures.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    options: BackoffOptions,
    wait_bound: TimeSpan,
}

impl RetryBackoff {
    /// Returns a backoff that has seen no failure.
    #[must_use]
    pub const fn new(options: BackoffOptions) -> Self {
        Self {
            options,
            wait_bound: options.initial_wait,
        }
    }

    /// Gets the wait after one more failure; `random` is from 0 to 1.
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

    /// Begins anew after a success.
    pub const fn reset(&mut self) {
        self.wait_bound = self.options.initial_wait;
    }
}
