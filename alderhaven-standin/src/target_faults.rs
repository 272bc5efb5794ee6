//! The fault switches of a target.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The text that makes a request crash targets where the switch is on.
pub const POISON_MARKER: &str = "poison";

/// A `TargetFaults` is the set of fault switches of a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// The factor by which each run is slower.
    pub slow_factor: f64,
    /// The target refuses attempts because it drains.
    pub draining: bool,
    /// The target sheds every attempt.
    pub shedding: bool,
    /// The factor by which runs are slower while the target is cold.
    pub cold_factor: f64,
    /// The runs after a start for which the target is cold.
    pub cold_runs: u32,
    /// The milliseconds after a start for which the target is cold.
    pub cold_ms: u64,
    /// The milliseconds for which the target is down after a request whose parameters hold
    /// [`POISON_MARKER`]; without a value such requests do no harm.
    pub poison_down_ms: Option<u64>,
}

impl Default for TargetFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            draining: false,
            shedding: false,
            cold_factor: 1.0,
            cold_runs: 0,
            cold_ms: 0,
            poison_down_ms: None,
        }
    }
}

impl TargetFaults {
    /// Gets the factor by which a run is slower that has `runs` runs before it since the target's
    /// start, and begins `age` after it.
    #[must_use]
    pub fn slowdown_factor(&self, runs: u32, age: Duration) -> f64 {
        let is_cold = runs < self.cold_runs || age < Duration::from_millis(self.cold_ms);
        let cold = if is_cold { self.cold_factor } else { 1.0 };
        self.slow_factor * cold
    }

    /// Gets the time for which the target is down after a request with these parameters; none where
    /// it does no harm.
    #[must_use]
    pub fn crash_downtime(&self, parameters: &str) -> Option<Duration> {
        let down = self.poison_down_ms.map(Duration::from_millis)?;
        parameters.contains(POISON_MARKER).then_some(down)
    }
}
