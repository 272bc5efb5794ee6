//! The budget of repeated arrivals at a service, shared by all nodes without asking each other.
//!
//! Load pattern: many nodes hedge and retry towards the same small service. Each of them sees only
//! its own sends, and together they must stay below a share of the requests for the service.
//!
//! Without it: a service whose servers turn slow is hedged by every node for every request, and
//! carries twice its load when it can carry least.
//!
//! The rule is counted in any window of a given length: repeats may be a share of the requests plus
//! a fixed number. Each node keeps its repeats below that share of its own requests, and takes its
//! part of the fixed number ([`crate::group_share`]), so that the sum keeps the rule whatever the
//! nodes know of each other.
//!
//! Hedges leave a reserve: a retry after a failure saves an answer, a hedge only saves time.

use std::collections::VecDeque;

use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};

/// The pieces into which the window is cut; a repeat is forgotten up to one piece late.
const WINDOW_BUCKETS: u64 = 20;

/// The share of the allowance that is used. Requests that are counted here may reach the service in the
/// next window, and nodes join and leave meanwhile.
const USED_ALLOWANCE_SHARE: f64 = 0.9;

/// The share of the allowance that hedges leave to retries after failures.
const RETRY_RESERVE_SHARE: f64 = 0.1;

/// A `RepeatOptions` holds the rule that all nodes keep together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RepeatOptions {
    /// The repeats that each request adds.
    pub ratio: f64,
    /// The repeats that come free in each window, for all nodes together.
    #[serde(rename = "extra")]
    pub free_per_window: f64,
    /// The length of the window.
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

/// A `RepeatReason` is why a request is sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatReason {
    /// The first attempt is late.
    Hedge,
    /// An attempt failed.
    Retry,
}

/// A `RepeatBudget` counts a node's requests and repeats towards one service.
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
    /// Returns a budget without any requests.
    #[must_use]
    pub const fn new(options: RepeatOptions) -> Self {
        Self {
            options,
            buckets: VecDeque::new(),
            requests: 0,
            repeats: 0,
        }
    }

    /// Takes over a changed rule.
    pub const fn set_options(&mut self, options: RepeatOptions) {
        self.options = options;
    }

    /// Notes a request for the service.
    pub fn record_request(&mut self, now: TimePoint) {
        self.current_bucket(now).requests += 1;
        self.requests += 1;
    }

    /// Takes one repeat; returns false where it would break the rule.
    ///
    /// `part` is the node's part of the fixed number of repeats.
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
