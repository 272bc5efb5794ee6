//! Result of a run as a JSON line, and ratios between two results.

use std::collections::BTreeMap;

use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_standin::service_layout::DeploymentKind;
use serde::{Deserialize, Serialize};

use crate::scenario::ScenarioKind;
use crate::scenario_figures::FigureMap;
use crate::violations::ViolationCounts;

/// Result of one run of one policy.
///
/// Counts and latencies are of the queries due in the measured time. Latencies are measured from
/// the due time to the complete reply, without refusals. A figure without any samples is `null`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunLine {
    /// Load pattern and faults of the run.
    pub scenario: ScenarioKind,
    /// Policy of entries and relays.
    pub policy: PolicyKind,
    /// Seed of arrivals, run times and faults.
    pub seed: u64,
    /// Queries that were due.
    pub offered: u64,
    /// Complete answers.
    pub complete: u64,
    /// Partial answers.
    pub partial: u64,
    /// Refusals that assert that no target ran the query.
    pub refused_not_run: u64,
    /// Failed queries, including those without a reply.
    pub failed: u64,
    /// Queries whose outcome is unknown.
    pub unknown: u64,
    /// Answers after the template's deadline, counted from the due time.
    pub late: u64,
    /// Median latency in milliseconds.
    pub p50_ms: Option<f64>,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: Option<f64>,
    /// 99.9th percentile of the latency, in milliseconds.
    pub p999_ms: Option<f64>,
    /// 99th percentile of the urgent queries' latency, in milliseconds.
    pub urgent_p99_ms: Option<f64>,
    /// Share of all urgent queries, including refused ones, with a useful answer in time.
    pub urgent_in_time: Option<f64>,
    /// Work of the useful answers that arrived in the measured time, as a share of capacity.
    pub goodput: f64,
    /// Lowest ratio of served work to fair share among the teams.
    pub fairness: f64,
    /// Mean share of covered shards over the queries that were not refused.
    pub coverage: Option<f64>,
    /// Attempts that the targets ran, divided by the minimum for the answers.
    pub extra_load: Option<f64>,
    /// Violations found in the whole run, including the warm-up.
    pub violations: ViolationCounts,
    /// Deployment whose services were queried.
    pub deployment: DeploymentKind,
    /// Base load as a share of the targets' capacity.
    pub load: f64,
    /// Base load in queries per second.
    pub rate: f64,
    /// Duration of the measurement in seconds.
    pub seconds: f64,
    /// Number of entries, and of relays.
    pub nodes: usize,
    /// 99th percentile of the time from sending to a refusal, in milliseconds.
    pub refusal_p99_ms: Option<f64>,
    /// Number of errors by code.
    pub errors: BTreeMap<String, u64>,
    /// 99th percentile of the delay between due time and sending, in milliseconds.
    pub send_lag_p99_ms: Option<f64>,
    /// CPU usage of this process, which includes the stand-ins, as a share of all cores.
    pub cpu_share: f64,
    /// CPU usage of the whole machine as a share of all cores; near 1 the machine limits the run.
    pub machine_busy: f64,
    /// Figures that only this scenario has.
    #[serde(default)]
    pub figures: FigureMap,
}

/// Results of the current policy divided by those of the baseline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RatioLine {
    /// Scenario of both runs.
    pub scenario: ScenarioKind,
    /// Always `current/baseline`.
    pub ratio: String,
    /// Seed of both runs.
    pub seed: u64,
    /// Ratio of the median latencies.
    pub p50: Option<f64>,
    /// Ratio of the 99th percentiles.
    pub p99: Option<f64>,
    /// Ratio of the 99.9th percentiles.
    pub p999: Option<f64>,
    /// Ratio of the urgent queries' 99th percentiles.
    pub urgent_p99: Option<f64>,
    /// Ratio of the urgent queries' shares in time.
    pub urgent_in_time: Option<f64>,
    /// Ratio of useful work.
    pub goodput: Option<f64>,
    /// Ratio of the fairness figures.
    pub fairness: Option<f64>,
    /// Ratio of mean coverage.
    pub coverage: Option<f64>,
    /// Ratio of attempts per needed attempt.
    pub extra_load: Option<f64>,
}

impl RatioLine {
    /// Divides two results of the same scenario and seed.
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

/// Returns none if a value is missing or the divisor isn't above zero.
fn ratio(current: Option<f64>, baseline: Option<f64>) -> Option<f64> {
    let baseline = baseline.filter(|figure| *figure > 0.0)?;
    Some(rounded(current? / baseline))
}

/// Rounds to four decimals for output.
#[must_use]
pub fn rounded(figure: f64) -> f64 {
    (figure * 1e4).round() / 1e4
}
