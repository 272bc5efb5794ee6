//! Rate limit of one process's calls to the platform's object API.
//!
//! The API has a rate limit for all processes together. When they have calls to catch up with, a
//! few of them could use up that rate, and retries of refused calls would keep it used up. A token
//! bucket per process keeps the sum below the limit. The bucket holds little, so that processes
//! that were idle can't all spend saved tokens at once.

use alderhaven_core::quantities::RatePerSecond;
use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};

/// The default rate of reads: 80% of the API's 2,000 per second over 16 processes.
const DEFAULT_READ_RATE: &str = "100/s";
/// The default rate of writes: 80% of the API's 300 per second over 16 processes.
const DEFAULT_WRITE_RATE: &str = "15/s";
/// The default time for which unused tokens are kept.
const DEFAULT_BURST: TimeSpan = TimeSpan::from_secs(2);
/// The cost of a call in tokens.
const CALL_COST: f64 = 1.0;
/// The tolerated shortfall of tokens, for rounding: times are whole microseconds.
const TOKEN_TOLERANCE: f64 = 1e-6;

/// The kind of a call, as the API counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreCall {
    /// A get, a list or a watch.
    Read,
    /// A conditional write or delete.
    Write,
}

/// Settings of [`StoreBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreBudgetOptions {
    /// The sustained rate of reads.
    pub reads: RatePerSecond,
    /// The sustained rate of writes.
    pub writes: RatePerSecond,
    /// How long unused tokens are kept; a bucket holds at least one token unless its rate is zero.
    pub burst: TimeSpan,
}

impl Default for StoreBudgetOptions {
    fn default() -> Self {
        Self {
            reads: DEFAULT_READ_RATE.parse().unwrap_or_default(),
            writes: DEFAULT_WRITE_RATE.parse().unwrap_or_default(),
            burst: DEFAULT_BURST,
        }
    }
}

/// The rate limit of one process, with separate tokens for reads and writes.
#[derive(Clone, Debug, Serialize)]
pub struct StoreBudget {
    options: StoreBudgetOptions,
    reads: CallBucket,
    writes: CallBucket,
}

/// The tokens of one kind of call.
#[derive(Clone, Copy, Debug, Serialize)]
struct CallBucket {
    tokens: f64,
    refilled: TimePoint,
}

impl StoreBudget {
    /// Creates a budget that is full at `now`.
    #[must_use]
    pub fn new(options: StoreBudgetOptions, now: TimePoint) -> Self {
        let full = |rate| CallBucket {
            tokens: burst_capacity(rate, options.burst),
            refilled: now,
        };
        Self {
            options,
            reads: full(options.reads),
            writes: full(options.writes),
        }
    }

    /// Takes the token for one call.
    ///
    /// # Errors
    /// The time until a token is available, if there is none now; nothing is taken then.
    pub fn take(&mut self, call: StoreCall, now: TimePoint) -> Result<(), TimeSpan> {
        let burst = self.options.burst;
        let (bucket, rate) = match call {
            StoreCall::Read => (&mut self.reads, self.options.reads),
            StoreCall::Write => (&mut self.writes, self.options.writes),
        };
        bucket.refill(rate, burst, now);
        if bucket.tokens + TOKEN_TOLERANCE >= CALL_COST {
            bucket.tokens = (bucket.tokens - CALL_COST).max(0.0);
            return Ok(());
        }
        Err(bucket.wait(rate))
    }

    /// Returns the settings.
    #[must_use]
    pub const fn options(&self) -> &StoreBudgetOptions {
        &self.options
    }
}

impl CallBucket {
    fn refill(&mut self, rate: RatePerSecond, burst: TimeSpan, now: TimePoint) {
        let earned = now.since(self.refilled).as_secs_f64() * rate.per_second();
        self.tokens = (self.tokens + earned).min(burst_capacity(rate, burst));
        self.refilled = self.refilled.max(now);
    }

    fn wait(&self, rate: RatePerSecond) -> TimeSpan {
        if rate.per_second() <= 0.0 {
            return TimeSpan::from_micros(u64::MAX);
        }
        let secs = (CALL_COST - self.tokens) / rate.per_second();
        TimeSpan::from_secs(1).mul_f64(secs) + TimeSpan::from_micros(1)
    }
}

fn burst_capacity(rate: RatePerSecond, burst: TimeSpan) -> f64 {
    if rate.per_second() <= 0.0 {
        return 0.0;
    }
    (rate.per_second() * burst.as_secs_f64()).max(CALL_COST)
}
