//! How long targets take to run an attempt.

use std::collections::BTreeMap;
use std::f64::consts::TAU;

use alderhaven_core::time::TimeSpan;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// The default mean of a run.
const DEFAULT_MEAN_RUN_TIME: TimeSpan = TimeSpan::from_millis(4);
/// The default spread: the 99th percentile is about 3 times the median.
const DEFAULT_SIGMA: f64 = 0.5;

/// A `ServiceTime` is a lognormal distribution with a mean for each template.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// The mean of templates that are not listed.
    pub mean: TimeSpan,
    /// The standard deviation of the run time's logarithm; 0 makes every run as long as the mean.
    pub sigma: f64,
    /// The means of other templates by name.
    pub templates: BTreeMap<String, TimeSpan>,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            mean: DEFAULT_MEAN_RUN_TIME,
            sigma: DEFAULT_SIGMA,
            templates: BTreeMap::new(),
        }
    }
}

impl ServiceTime {
    /// Gets the mean run time of a template.
    #[must_use]
    pub fn mean_of(&self, template: &str) -> TimeSpan {
        self.templates.get(template).copied().unwrap_or(self.mean)
    }

    /// Draws a run time.
    pub fn sample(&self, template: &str, rng: &mut impl Rng) -> TimeSpan {
        // Box-Muller; the first number is kept above zero, where the logarithm has no value.
        let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (TAU * rng.random::<f64>()).cos();
        // exp(sigma^2 / 2) is the mean of exp(sigma * normal), so the result keeps the set mean.
        let factor = self
            .sigma
            .mul_add(normal, -self.sigma * self.sigma / 2.0)
            .exp();
        self.mean_of(template).mul_f64(factor)
    }
}
