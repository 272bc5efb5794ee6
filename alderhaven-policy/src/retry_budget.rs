//! The budget of retries of a process.
//!
//! Load pattern: a service fails or sheds much of what it is sent.
//!
//! Without it: every failed attempt is sent again, the load doubles when the service can carry
//! least, and what was a short failure feeds itself (a retry storm).
//!
//! Each first attempt adds a part of a token and each retry takes one, so that retries stay below
//! that part of the load. A few tokens a second come free, so that a process with little load can
//! retry at all.
//!
//! Grounds for the figures: one retry for ten attempts covers a lost target in ten without loss of
//! coverage, and adds at most 10% to an overloaded service; a bucket of 64 covers the shards of a
//! target that is lost at once under some dozens of queries.

use alderhaven_core::time::TimePoint;
use serde::{Deserialize, Serialize};

use crate::policy_kind::PolicyKind;

/// A `RetryOptions` holds the settings of the budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryOptions {
    /// The retries that each first attempt adds.
    #[serde(rename = "budget")]
    pub retries_per_attempt: f64,
    /// The most retries that can be saved up.
    pub burst: f64,
    /// The retries a second that come free.
    pub free_per_second: f64,
    /// The most retries of one shard of a query.
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

/// A `RetryBudget` counts how many retries may be sent.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryOptions,
    policy: PolicyKind,
    tokens: f64,
    updated_at: TimePoint,
}

impl RetryBudget {
    /// Returns a full budget.
    #[must_use]
    pub fn new(policy: PolicyKind, options: RetryOptions) -> Self {
        Self {
            tokens: options.burst,
            options,
            policy,
            updated_at: TimePoint::START,
        }
    }

    /// Notes first attempts that were sent.
    pub fn record_sent(&mut self, attempts: u32) {
        self.add(f64::from(attempts) * self.options.retries_per_attempt);
    }

    /// Takes one retry; returns false where the budget is used up.
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

    /// Gets the settings.
    #[must_use]
    pub const fn options(&self) -> &RetryOptions {
        &self.options
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.options.burst);
    }
}
