//! Random run times of attempts at targets.

use std::collections::BTreeMap;
use std::f64::consts::TAU;

use alderhaven_core::time::TimeSpan;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Mean run time of templates without a mean of their own.
const DEFAULT_MEAN_RUN_TIME: TimeSpan = TimeSpan::from_millis(4);
/// Spread at which the 99th percentile is about three times the median.
const DEFAULT_SIGMA: f64 = 0.5;

/// Lognormal distribution of run times, with a mean per template.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// Mean of templates that aren't listed.
    pub mean: TimeSpan,
    /// Standard deviation of the logarithm; 0 makes every run take the mean.
    pub sigma: f64,
    /// Means by template name.
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
    /// Returns the mean run time of a template.
    #[must_use]
    pub fn mean_of(&self, template: &str) -> TimeSpan {
        self.templates.get(template).copied().unwrap_or(self.mean)
    }

    /// Draws a random run time of a template.
    pub fn sample(&self, template: &str, rng: &mut impl Rng) -> TimeSpan {
        // Box-Muller transform; the argument of the logarithm is above zero.
        let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (TAU * rng.random::<f64>()).cos();
        // The mean of exp(sigma * normal) is exp(sigma^2 / 2); dividing by it keeps the set mean.
        let factor = self
            .sigma
            .mul_add(normal, -self.sigma * self.sigma / 2.0)
            .exp();
        self.mean_of(template).mul_f64(factor)
    }
}
