//! The result of a run as one line of JSON, and the ratios of two such lines.

use std::collections::BTreeMap;

use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_standin::service_layout::DeploymentKind;
use serde::{Deserialize, Serialize};

use crate::scenario::ScenarioKind;
use crate::scenario_figures::FigureMap;
use crate::violations::ViolationCounts;

/// A `RunLine` is the result of one run of one policy.
///
/// Counts and latencies are of the queries that were due in the measured time; latencies count from
/// the due time to the whole reply, refusals left out. A field whose set is empty is `null`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunLine {
    /// The scenario.
    pub scenario: ScenarioKind,
    /// The policy.
    pub policy: PolicyKind,
    /// The seed.
    pub seed: u64,
    /// The queries that were due.
    pub offered: u64,
    /// The complete answers.
    pub complete: u64,
    /// The partial answers.
    pub partial: u64,
    /// The refusals with the promise that nothing ran.
    pub refused_not_run: u64,
    /// The failed queries, those without any reply included.
    pub failed: u64,
    /// The queries with an unknown outcome.
    pub unknown: u64,
    /// The answers that came after their template's deadline, counted from the due time.
    pub late: u64,
    /// The median latency, in milliseconds.
    pub p50_ms: Option<f64>,
    /// The latency that 99 in 100 keep, in milliseconds.
    pub p99_ms: Option<f64>,
    /// The latency that 999 in 1000 keep, in milliseconds.
    pub p999_ms: Option<f64>,
    /// The latency that 99 in 100 urgent queries keep, in milliseconds.
    pub urgent_p99_ms: Option<f64>,
    /// The share of all urgent queries, refused ones included, with a useful answer in time.
    pub urgent_in_time: Option<f64>,
    /// The work of useful answers in time that came in the measured time, as a share of capacity.
    pub goodput: f64,
    /// The lowest team's share of its due.
    pub fairness: f64,
    /// The mean share of covered shards over the queries that were not refused.
    pub coverage: Option<f64>,
    /// The attempts that the targets ran over the fewest that the answers needed.
    pub extra_load: Option<f64>,
    /// The broken promises, over all queries.
    pub violations: ViolationCounts,
    /// The deployment.
    pub deployment: DeploymentKind,
    /// The load as a share of the targets' capacity.
    pub load: f64,
    /// The arrivals a second.
    pub rate: f64,
    /// The measured seconds.
    pub seconds: f64,
    /// The entries, and as many relays.
    pub nodes: usize,
    /// The time to a refusal that 99 in 100 refusals keep, in milliseconds from sending.
    pub refusal_p99_ms: Option<f64>,
    /// The errors by their code.
    pub errors: BTreeMap<String, u64>,
    /// The delay of sending that 99 in 100 queries keep, in milliseconds: the tool's own lag.
    pub send_lag_p99_ms: Option<f64>,
    /// The share of the machine's cores that this process used, stand-ins and tool included.
    pub cpu_share: f64,
    /// The share of the machine's cores that were busy: near 1 the machine limits the run.
    pub machine_busy: f64,
    /// The figures of this scenario alone.
    #[serde(default)]
    pub figures: FigureMap,
}

/// A `RatioLine` gives the figures of the current policy over those of the baseline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RatioLine {
    /// The scenario.
    pub scenario: ScenarioKind,
    /// Always `current/baseline`.
    pub ratio: String,
    /// The seed.
    pub seed: u64,
    /// The ratio of the medians.
    pub p50: Option<f64>,
    /// The ratio of the 99th percentiles.
    pub p99: Option<f64>,
    /// The ratio of the 99.9th percentiles.
    pub p999: Option<f64>,
    /// The ratio of the urgent queries' 99th percentiles.
    pub urgent_p99: Option<f64>,
    /// The ratio of the urgent queries' shares in time.
    pub urgent_in_time: Option<f64>,
    /// The ratio of goodput.
    pub goodput: Option<f64>,
    /// The ratio of fairness.
    pub fairness: Option<f64>,
    /// The ratio of coverage.
    pub coverage: Option<f64>,
    /// The ratio of extra load.
    pub extra_load: Option<f64>,
}

impl RatioLine {
    /// Returns the ratios of two lines of the same scenario and seed.
    #[must_use]
    pub fn from_runs(current: &RunLine, baseline: &RunLine) -> Self {
        Self {
            scenario: current.scenario,
            ratio: "current/baseline".to_owned(),
            seed: current.seed,
            p50: ratio(current.p50_ms, baseline.p50_ms),
            p99: ratio(current.p99_ms, baseline.p99_ms),
            p999: ratio(current.p999_ms, baseline.p999_ms),
            urgent_p99: ratio(current.urgent_p99_ms, baseline.urgent_p99_ms),
            urgent_in_time: ratio(current.urgent_in_time, baseline.urgent_in_time),
            goodput: ratio(Some(current.goodput), Some(baseline.goodput)),
            fairness: ratio(Some(current.fairness), Some(baseline.fairness)),
            coverage: ratio(current.coverage, baseline.coverage),
            extra_load: ratio(current.extra_load, baseline.extra_load),
        }
    }
}

/// Divides where both are there and the divisor is above zero.
fn ratio(current: Option<f64>, baseline: Option<f64>) -> Option<f64> {
    let baseline = baseline.filter(|figure| *figure > 0.0)?;
    Some(rounded(current? / baseline))
}

/// Rounds to four decimals, so that lines can be read.
#[must_use]
pub fn rounded(figure: f64) -> f64 {
    (figure * 1e4).round() / 1e4
}
