//! Options of a run.

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_standin::service_layout::DeploymentKind;

use crate::scenario::ScenarioKind;

/// Options of one run of one policy.
#[derive(Clone, Debug, PartialEq)]
pub struct RunOptions {
    /// Deployment whose targets and templates are used.
    pub deployment: DeploymentKind,
    /// Load pattern and faults.
    pub scenario: ScenarioKind,
    /// Policy of entries and relays.
    pub policy: PolicyKind,
    /// Base load as a share of the targets' capacity.
    pub load: f64,
    /// Duration of the measurement.
    pub measured_time: TimeSpan,
    /// Load before the measurement; its queries are checked but not measured.
    pub warm_up: TimeSpan,
    /// Seed of arrivals, run times and faults.
    pub seed: u64,
    /// Number of entries, and of relays.
    pub nodes: usize,
    /// Factor on the run times of slow targets.
    pub slow_factor: f64,
    /// Share of the targets that are slow.
    pub slow_share: f64,
    /// Omits the scenario's special queries, for a comparison run.
    pub without_special_queries: bool,
}

impl RunOptions {
    /// Returns the time of the scenario's event, counted from the start of the run.
    #[must_use]
    pub fn event_at(&self) -> TimeSpan {
        self.warm_up + self.measured_time.mul_f64(0.25)
    }
}

impl Default for RunOptions {
    fn default() -> Self {
        Self {
            deployment: DeploymentKind::Volta,
            scenario: ScenarioKind::Steady,
            policy: PolicyKind::Current,
            load: ScenarioKind::Steady.default_load(),
            measured_time: TimeSpan::from_secs(10),
            warm_up: TimeSpan::from_secs(2),
            seed: 1,
            nodes: 8,
            slow_factor: 10.0,
            slow_share: 0.1,
            without_special_queries: false,
        }
    }
}
