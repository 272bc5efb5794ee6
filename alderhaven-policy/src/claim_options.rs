//! Settings of the claim ledger.

use alderhaven_core::errors::Error;
use alderhaven_core::quantities::{ByteSize, RatePerSecond};
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// The default write rate of one entry. Eight entries use 24 of the store's 300 writes per second,
/// and 500 claims per second over them make batches of about 20.
const DEFAULT_WRITE_RATE: &str = "3/s";

/// Limits on the load and memory of the claim ledger.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimOptions {
    /// The sustained write rate of this entry; batches grow when claims arrive faster.
    pub writes: RatePerSecond,
    /// The number of writes that may follow each other at once after a quiet time.
    pub burst: u32,
    /// The maximum time that a claim waits for the store.
    pub claim_timeout: TimeSpan,
    /// The first pause between calls while the store fails; it doubles up to `longest_pause`.
    pub least_pause: TimeSpan,
    /// The longest pause between calls.
    pub longest_pause: TimeSpan,
    /// The maximum number of claims without a verdict.
    pub max_waiting: usize,
    /// The maximum total size of the answers that are kept for resends.
    pub held_bytes: ByteSize,
    /// How long an answer is kept for resends.
    pub held_time: TimeSpan,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            writes: DEFAULT_WRITE_RATE.parse().unwrap_or_default(),
            burst: 6,
            claim_timeout: TimeSpan::from_secs(2),
            least_pause: TimeSpan::from_millis(100),
            longest_pause: TimeSpan::from_secs(2),
            max_waiting: 4_096,
            held_bytes: ByteSize::from_kib(8 << 10),
            held_time: TimeSpan::from_secs(600),
        }
    }
}

impl ClaimOptions {
    /// Returns all errors in the values.
    #[must_use]
    pub fn check(&self) -> Vec<Error> {
        let zero_error = |field: &str| {
            let field = format!("claims.{field}");
            Error::invalid(field, "0 is refused: allowed is above 0")
        };
        let mut errors = Vec::new();
        if self.writes.per_second() <= 0.0 {
            errors.push(zero_error("writes"));
        }
        if self.burst == 0 {
            errors.push(zero_error("burst"));
        }
        if self.max_waiting == 0 {
            errors.push(zero_error("max_waiting"));
        }
        let spans = [
            ("claim_timeout", self.claim_timeout),
            ("least_pause", self.least_pause),
            ("longest_pause", self.longest_pause),
        ];
        for (field, span) in spans {
            if span == TimeSpan::ZERO {
                errors.push(zero_error(field));
            }
        }
        errors
    }
}
