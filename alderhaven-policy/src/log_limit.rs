//! Rate limit of log lines, separately for each kind.
//!
//! During an overload or outage every request would log the same kind of line. The limit saves
//! processor time and keeps rare lines visible. The next line that is written carries the number of
//! suppressed ones.

use std::collections::HashMap;

use alderhaven_core::quantities::RatePerSecond;
use alderhaven_core::time::TimePoint;

use crate::token_bucket::TokenBucket;

/// Token buckets of all kinds of lines.
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
    /// Creates a limit of `rate` lines per second for each kind, with bursts of `burst` lines.
    #[must_use]
    pub fn new(rate: RatePerSecond, burst: f64) -> Self {
        Self {
            rate,
            burst,
            kinds: HashMap::new(),
        }
    }

    /// Asks to write a line of a kind. Returns the number of lines suppressed since the last one,
    /// or `None` if this line is suppressed too.
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
