//! Token bucket that bounds the retries of a process, to prevent retry storms.
//!
//! Each first attempt adds a fraction of a token and each retry takes one, so that retries stay
//! below that fraction of the load. A few tokens per second are free, so that a process with little
//! load can retry at all.

use alderhaven_core::time::TimePoint;
use serde::{Deserialize, Serialize};

use crate::policy_kind::PolicyKind;

/// Settings of the retry budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryOptions {
    /// Retries that each first attempt adds to the budget, and so the largest share of load that
    /// retries add during overload. 0.1 covers the loss of one target in ten.
    #[serde(rename = "budget")]
    pub retries_per_attempt: f64,
    /// Largest number of unused retries that the budget holds; covers the shards of a target that
    /// is lost under some dozens of queries.
    pub burst: f64,
    /// Retries that are added per second without any attempts.
    pub free_per_second: f64,
    /// Largest number of retries of one shard of a query.
    pub max_per_shard: u32,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            retries_per_attempt: 0.1,
            burst: 64.0,
            free_per_second: 2.0,
            max_per_shard: 2,
        }
    }
}

/// Current number of retries that may be sent.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryOptions,
    policy: PolicyKind,
    tokens: f64,
    updated_at: TimePoint,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(policy: PolicyKind, options: RetryOptions) -> Self {
        Self {
            tokens: options.burst,
            options,
            policy,
            updated_at: TimePoint::START,
        }
    }

    /// Records first attempts that were sent, which add to the budget.
    pub fn record_sent(&mut self, attempts: u32) {
        self.add(f64::from(attempts) * self.options.retries_per_attempt);
    }

    /// Takes one retry; returns false if the budget is used up.
    pub fn take(&mut self, now: TimePoint) -> bool {
        if self.policy == PolicyKind::Baseline {
            return true;
        }
        let free = now.since(self.updated_at).as_secs_f64() * self.options.free_per_second;
        self.updated_at = self.updated_at.max(now);
        self.add(free);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the settings.
    #[must_use]
    pub const fn options(&self) -> &RetryOptions {
        &self.options
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.options.burst);
    }
}
