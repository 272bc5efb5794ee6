//! What a run is asked to do.

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_standin::service_layout::DeploymentKind;

use crate::scenario::ScenarioKind;

/// A `RunOptions` says what one run of one policy does.
#[derive(Clone, Debug, PartialEq)]
pub struct RunOptions {
    /// The deployment whose targets and templates are used.
    pub deployment: DeploymentKind,
    /// The scenario.
    pub scenario: ScenarioKind,
    /// The policy of entries and relays.
    pub policy: PolicyKind,
    /// The arrivals a second, as a share of what the targets can serve.
    pub load: f64,
    /// The measured time.
    pub measured_time: TimeSpan,
    /// The time before it, whose queries are checked but not measured.
    pub warm_up: TimeSpan,
    /// The seed of arrivals, run times and faults.
    pub seed: u64,
    /// The number of entries and of relays.
    pub nodes: usize,
    /// The factor by which slow targets are slower.
    pub slow_factor: f64,
    /// The share of the targets that are slow.
    pub slow_share: f64,
    /// Leaves out the special queries of the scenario: the run that it is compared with.
    pub without_special_queries: bool,
}

impl RunOptions {
    /// Gets when the faults and changes of the scenario come, since the run began.
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
