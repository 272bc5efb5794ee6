//! Fault switches of a target.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Marker of requests that crash a target while `poison_down_ms` is set.
pub const POISON_MARKER: &str = "poison";

/// Complete set of switches of one target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// Factor on the time of each run.
    pub slow_factor: f64,
    /// Refuses attempts and reports that the target drains.
    pub draining: bool,
    /// Sheds every attempt.
    pub shedding: bool,
    /// Additional factor on run times while the target is cold.
    pub cold_factor: f64,
    /// Number of runs after a start for which the target is cold.
    pub cold_runs: u32,
    /// Milliseconds after a start for which the target is cold.
    pub cold_ms: u64,
    /// Downtime in milliseconds after a request whose parameters contain [`POISON_MARKER`]; if
    /// absent, such requests run normally.
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
    /// Returns the factor on the time of a run, given the number of earlier runs and the time since
    /// the target's last start.
    #[must_use]
    pub fn slowdown_factor(&self, runs: u32, age: Duration) -> f64 {
        let is_cold = runs < self.cold_runs || age < Duration::from_millis(self.cold_ms);
        let cold = if is_cold { self.cold_factor } else { 1.0 };
        self.slow_factor * cold
    }

    /// Returns the downtime that a request with these parameters causes; none if it doesn't crash
    /// the target.
    #[must_use]
    pub fn crash_downtime(&self, parameters: &str) -> Option<Duration> {
        let downtime = self.poison_down_ms.map(Duration::from_millis)?;
        parameters.contains(POISON_MARKER).then_some(downtime)
    }
}
