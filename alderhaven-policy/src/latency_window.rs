//! A latency quantile over the most recent samples.

use alderhaven_core::time::TimeSpan;
use hdrhistogram::Histogram;

/// The number of samples after which a new half of the window begins.
const HALF_WINDOW_SAMPLES: u64 = 1000;
/// The number of samples below which a quantile is not known.
const MIN_SAMPLES: u64 = 20;
/// The greatest latency that is told apart, in microseconds: the longest deadline.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// The significant digits of the histogram: 1% is as exact as a delay needs to be.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A `LatencyWindow` follows quantiles of the last one to two thousand samples.
///
/// Two histograms take turns: the older one is dropped when the newer one is full, so that what
/// was long ago is forgotten all at once and at no cost per sample.
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    older: Histogram<u32>,
    newer: Histogram<u32>,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        let empty = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
                .expect("the bounds are within those of the library")
        };
        Self {
            older: empty(),
            newer: empty(),
        }
    }
}

impl LatencyWindow {
    /// Adds a sample.
    pub fn add(&mut self, latency: TimeSpan) {
        self.newer.saturating_record(latency.as_micros().max(1));
        if self.newer.len() >= HALF_WINDOW_SAMPLES {
            std::mem::swap(&mut self.older, &mut self.newer);
            self.newer.reset();
        }
    }

    /// Gets the latency below which this share of the samples lies, or none while there are few.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Option<TimeSpan> {
        let (older, newer) = (self.older.len(), self.newer.len());
        if older + newer < MIN_SAMPLES {
            return None;
        }
        // The fuller half decides: a mean of two quantiles is none.
        let half = if newer > older {
            &self.newer
        } else {
            &self.older
        };
        Some(TimeSpan::from_micros(half.value_at_quantile(share)))
    }
}
