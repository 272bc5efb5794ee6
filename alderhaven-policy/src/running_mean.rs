//! Exponentially weighted mean of time spans.

use alderhaven_core::time::TimeSpan;

/// Mean of the most recent samples.
///
/// Until the window is full it is the plain mean, so that an unusual first sample has little
/// weight.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningMean {
    mean_micros: f64,
    samples: u32,
}

impl RunningMean {
    /// Adds a sample with a weight of 1 / `window` once the window is full.
    pub fn add(&mut self, sample: TimeSpan, window: u32) {
        self.samples = (self.samples + 1).min(window.max(1));
        let micros = sample.as_micros() as f64;
        self.mean_micros += (micros - self.mean_micros) / f64::from(self.samples);
    }

    /// Returns the mean, or `None` before the first sample.
    #[must_use]
    pub fn get(&self) -> Option<TimeSpan> {
        (self.samples > 0).then(|| TimeSpan::from_micros(1).mul_f64(self.mean_micros))
    }
}
