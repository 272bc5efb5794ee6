//! An exponentially weighted mean of time spans.

use alderhaven_core::time::TimeSpan;

/// A `RunningMean` follows the mean of the most recent samples.
///
/// The first samples count as a plain average, so that one odd first sample does not stay for long.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningMean {
    mean_micros: f64,
    samples: u32,
}

impl RunningMean {
    /// Adds a sample; it counts about one part in `window` once that many have been seen.
    pub fn add(&mut self, sample: TimeSpan, window: u32) {
        self.samples = (self.samples + 1).min(window.max(1));
        let micros = sample.as_micros() as f64;
        self.mean_micros += (micros - self.mean_micros) / f64::from(self.samples);
    }

    /// Gets the mean, or none before the first sample.
    #[must_use]
    pub fn get(&self) -> Option<TimeSpan> {
        (self.samples > 0).then(|| TimeSpan::from_micros(1).mul_f64(self.mean_micros))
    }
}
