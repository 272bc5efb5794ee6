//! The budget of calls that one process makes to the platform's object API.
//!
//! Load pattern: the API takes several hundred writes and about two thousand reads a second for the
//! whole fleet, and it refuses what is above. After an outage or a burst of changes every process
//! has calls to catch up with at once. Without a budget a few busy processes use up the rate, and
//! the calls of all others are refused; retries of the refused calls then keep the rate used up.
//! With a token bucket for each process the fleet stays below the rate whatever single processes
//! want. Tokens that were not used are kept for a short while only, so that an idle fleet can't
//! spend its savings in one moment.

use alderhaven_core::quantities::RatePerSecond;
use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};

/// The default reads a second: 0.8 of the API's 2,000, shared by the 16 processes of 8 hosts.
const DEFAULT_READ_RATE: &str = "100/s";
/// The default writes a second: 0.8 of 300, shared by the 16 processes of 8 hosts.
const DEFAULT_WRITE_RATE: &str = "15/s";
/// The default time for which unused tokens are kept.
const DEFAULT_BURST: TimeSpan = TimeSpan::from_secs(2);
/// The cost of a call in tokens.
const CALL_COST: f64 = 1.0;
/// A missing part of a token that is taken as rounding, since times are whole microseconds.
const TOKEN_TOLERANCE: f64 = 1e-6;

/// A `StoreCall` is the kind of a call, as the API counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreCall {
    /// A get, a list or a watch.
    Read,
    /// A conditional write or delete.
    Write,
}

/// `BudgetOptions` bound the calls of one process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreBudgetOptions {
    /// The sustained reads a second.
    pub reads: RatePerSecond,
    /// The sustained writes a second.
    pub writes: RatePerSecond,
    /// How long unused tokens are kept; at least one token always is.
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

/// A `StoreBudget` grants or refuses calls so that their rate stays within the options.
#[derive(Clone, Debug, Serialize)]
pub struct StoreBudget {
    options: StoreBudgetOptions,
    reads: CallBucket,
    writes: CallBucket,
}

/// A `TokenBucket` holds the tokens of one kind of call.
#[derive(Clone, Copy, Debug, Serialize)]
struct CallBucket {
    tokens: f64,
    refilled: TimePoint,
}

impl StoreBudget {
    /// Returns a budget that is full at `now`.
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

    /// Takes the token of one call.
    ///
    /// # Errors
    /// The time until there is a token, where there is none now; nothing is taken then.
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

    /// Gets the options.
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
