//! Latency quantiles over the most recent samples.

use alderhaven_core::time::TimeSpan;
use hdrhistogram::Histogram;

/// Number of samples after which the older half of the window is dropped.
const HALF_WINDOW_SAMPLES: u64 = 1000;
/// Number of samples below which no quantile is returned.
const MIN_SAMPLES: u64 = 20;
/// Largest latency that is resolved, in microseconds; longer ones count as this.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Sliding histogram of the last one to two thousand latencies.
///
/// It consists of two histograms. When the newer one is full, it replaces the older one, which
/// drops old samples without a cost per sample.
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    older: Histogram<u32>,
    newer: Histogram<u32>,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        let empty = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
                .expect("the histogram bounds are valid")
        };
        Self {
            older: empty(),
            newer: empty(),
        }
    }
}

impl LatencyWindow {
    /// Adds the latency of one attempt.
    pub fn add(&mut self, latency: TimeSpan) {
        self.newer.saturating_record(latency.as_micros().max(1));
        if self.newer.len() >= HALF_WINDOW_SAMPLES {
            std::mem::swap(&mut self.older, &mut self.newer);
            self.newer.reset();
        }
    }

    /// Returns the latency that this share of the samples doesn't exceed, or `None` for too few
    /// samples.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Option<TimeSpan> {
        let (older, newer) = (self.older.len(), self.newer.len());
        if older + newer < MIN_SAMPLES {
            return None;
        }
        // The half with more samples is used, since quantiles of two sets can't be averaged.
        let half = if newer > older {
            &self.newer
        } else {
            &self.older
        };
        Some(TimeSpan::from_micros(half.value_at_quantile(share)))
    }
}
