//! Budget of hedges and retries towards one service, which all nodes keep without coordination.
//!
//! In any window, repeats may be a share of the requests plus a fixed number for all nodes
//! together. Each node keeps to that share of its own requests and to its share of the fixed number
//! ([`crate::group_share`]), so that the sum stays within the budget whatever the nodes know of
//! each other. Hedges leave a reserve for retries, since a retry saves an answer and a hedge only
//! time.

use std::collections::VecDeque;

use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};

/// Number of buckets in the window; a repeat expires up to one bucket late.
const WINDOW_BUCKETS: u64 = 20;

/// Share of the allowance that is used. The rest covers requests that reach the service in a later
/// window than the one in which they are counted, and nodes that join or leave.
const USED_ALLOWANCE_SHARE: f64 = 0.9;

/// Share of the allowance that hedges leave for retries.
const RETRY_RESERVE_SHARE: f64 = 0.1;

/// Limits that all nodes keep together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RepeatOptions {
    /// Repeats that each request allows.
    pub ratio: f64,
    /// Repeats that are allowed in each window without any requests, for all nodes together.
    #[serde(rename = "extra")]
    pub free_per_window: f64,
    /// Length of the window.
    pub window: TimeSpan,
}

impl Default for RepeatOptions {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            free_per_window: 32.0,
            window: TimeSpan::from_secs(10),
        }
    }
}

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatReason {
    /// An earlier attempt is late.
    Hedge,
    /// An earlier attempt failed.
    Retry,
}

/// Requests and repeats of one node towards one service in the current window.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    options: RepeatOptions,
    buckets: VecDeque<WindowBucket>,
    requests: u32,
    repeats: u32,
}

#[derive(Clone, Copy, Debug)]
struct WindowBucket {
    number: u64,
    requests: u32,
    repeats: u32,
}

impl RepeatBudget {
    /// Creates a budget without any requests.
    #[must_use]
    pub const fn new(options: RepeatOptions) -> Self {
        Self {
            options,
            buckets: VecDeque::new(),
            requests: 0,
            repeats: 0,
        }
    }

    /// Replaces the limits; requests and repeats that were counted stay.
    pub const fn set_options(&mut self, options: RepeatOptions) {
        self.options = options;
    }

    /// Records a request for the service.
    pub fn record_request(&mut self, now: TimePoint) {
        self.current_bucket(now).requests += 1;
        self.requests += 1;
    }

    /// Takes one repeat; returns false if it would exceed the budget.
    ///
    /// `node_share` is this node's share of the fixed number of repeats, from 0 to 1.
    pub fn take(&mut self, reason: RepeatReason, node_share: f64, now: TimePoint) -> bool {
        self.evict_expired(now);
        let allowance = self.allowance(node_share);
        let reserve = match reason {
            RepeatReason::Hedge => allowance * RETRY_RESERVE_SHARE,
            RepeatReason::Retry => 0.0,
        };
        if f64::from(self.repeats) + 1.0 > allowance - reserve {
            return false;
        }
        self.current_bucket(now).repeats += 1;
        self.repeats += 1;
        true
    }

    fn allowance(&self, node_share: f64) -> f64 {
        let free_repeats = self.options.free_per_window * node_share;
        (f64::from(self.requests) * self.options.ratio + free_repeats) * USED_ALLOWANCE_SHARE
    }

    fn current_bucket(&mut self, now: TimePoint) -> &mut WindowBucket {
        self.evict_expired(now);
        let number = self.bucket_number(now);
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.number < number)
        {
            self.buckets.push_back(WindowBucket {
                number,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn evict_expired(&mut self, now: TimePoint) {
        let number = self.bucket_number(now);
        while let Some(bucket) = self.buckets.front().copied() {
            if bucket.number + WINDOW_BUCKETS >= number {
                return;
            }
            self.requests -= bucket.requests;
            self.repeats -= bucket.repeats;
            self.buckets.pop_front();
        }
    }

    fn bucket_number(&self, now: TimePoint) -> u64 {
        let bucket_micros = (self.options.window.as_micros() / WINDOW_BUCKETS).max(1);
        now.as_micros() / bucket_micros
    }
}
