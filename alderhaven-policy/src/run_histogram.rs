//! How many runs of a sliding window took longer than a given time.

use alderhaven_core::time::TimeSpan;

/// Number of buckets; each covers times that are a fifth longer than those of the one before.
const BUCKETS: usize = 64;
const BUCKET_RATIO: f64 = 1.2;

/// The longest time of the first bucket, in microseconds.
const FIRST_BUCKET_MICROS: f64 = 1_000.0;

/// Counts of runs by their time, up to about a minute and a half.
#[derive(Clone, Debug)]
pub struct RunHistogram {
    counts: [u32; BUCKETS],
}

impl Default for RunHistogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
        }
    }
}

impl RunHistogram {
    /// Adds a run.
    pub fn add(&mut self, run_time: TimeSpan) {
        let count = &mut self.counts[bucket_of(run_time)];
        *count = count.saturating_add(1);
    }

    /// Returns the number of runs in buckets above that of this time.
    #[must_use]
    pub fn count_above(&self, run_time: TimeSpan) -> u64 {
        let above = &self.counts[bucket_of(run_time) + 1..];
        above.iter().map(|count| u64::from(*count)).sum()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the logarithm is clamped to the number of buckets"
)]
fn bucket_of(run_time: TimeSpan) -> usize {
    let ratio = run_time.as_micros() as f64 / FIRST_BUCKET_MICROS;
    let steps = ratio.max(1.0).ln() / BUCKET_RATIO.ln();
    (steps.ceil() as usize).min(BUCKETS - 1)
}
