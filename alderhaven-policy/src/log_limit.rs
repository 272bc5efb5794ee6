//! How many lines of one kind go into the log.
//!
//! Load pattern: an overload or an outage makes every request log the same kind of line, thousands a
//! second on all nodes.
//!
//! Without it: writing the log takes processor time from the requests that it is about, and the lines
//! that tell of the cause are lost among those that tell of its effects.
//!
//! Each kind has a rate and a burst of its own, and the next line that is written says how many of its
//! kind were left out before it.

use std::collections::HashMap;

use alderhaven_core::quantities::RatePerSecond;
use alderhaven_core::time::TimePoint;

use crate::token_bucket::TokenBucket;

/// A `LogLimit` bounds the lines of each kind.
#[derive(Debug)]
pub struct LogLimit {
    rate: RatePerSecond,
    burst: f64,
    kinds: HashMap<&'static str, KindLimit>,
}

#[derive(Debug)]
struct KindLimit {
    bucket: TokenBucket,
    suppressed: u64,
}

impl LogLimit {
    /// Returns a limit of `rate` lines a second for each kind, and `burst` at once.
    #[must_use]
    pub fn new(rate: RatePerSecond, burst: f64) -> Self {
        Self {
            rate,
            burst,
            kinds: HashMap::new(),
        }
    }

    /// Asks for a line of a kind; gets the number that were left out before it, or none where this one
    /// is left out too.
    pub fn take(&mut self, kind: &'static str, now: TimePoint) -> Option<u64> {
        let (rate, burst) = (self.rate, self.burst);
        let limit = self.kinds.entry(kind).or_insert_with(|| KindLimit {
            bucket: TokenBucket::new(rate, burst, now),
            suppressed: 0,
        });
        if limit.bucket.take(now).is_err() {
            limit.suppressed += 1;
            return None;
        }
        Some(std::mem::take(&mut limit.suppressed))
    }
}
