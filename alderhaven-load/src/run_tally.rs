//! Aggregates the replies of a run into its result.

use std::collections::BTreeMap;

use alderhaven_core::class::{AnswerPreference, QueryClass};
use alderhaven_core::outcome::QueryOutcome;
use alderhaven_core::time::TimeSpan;
use hdrhistogram::Histogram;

use crate::cpu_clock::CpuShares;
use crate::fairness_tally::FairnessTally;
use crate::load_query::LoadQuery;
use crate::query_reply::{AnswerBody, ErrorBody, ParsedReply, QueryReply, ReplyContent};
use crate::run_line::{RunLine, rounded};
use crate::run_options::RunOptions;
use crate::scenario_figures::FigureMap;
use crate::violations::{ViolationCounts, ViolationKind};
use crate::workload::Workload;

/// Longer latencies are recorded as this.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Counters and histograms of one run.
#[derive(Debug)]
pub struct RunTally<'a> {
    options: &'a RunOptions,
    workload: &'a Workload,
    counts: OutcomeCounts,
    all_latencies: Histogram<u64>,
    urgent_latencies: Histogram<u64>,
    refusal_latencies: Histogram<u64>,
    send_lags: Histogram<u64>,
    fairness: FairnessTally,
    errors: BTreeMap<String, u64>,
    violations: ViolationCounts,
    /// Useful work that arrived in the measured time, in slot seconds.
    useful_work: f64,
    coverage_sum: f64,
    /// Shards that the answers of the whole run cover.
    needed_attempts: usize,
}

#[derive(Debug, Default)]
struct OutcomeCounts {
    offered: u64,
    complete: u64,
    partial: u64,
    refused: u64,
    failed: u64,
    unknown: u64,
    late: u64,
    urgent: u64,
    urgent_in_time: u64,
}

/// Outcome and usefulness of one reply.
#[derive(Clone, Copy, Debug, PartialEq)]
struct QueryResult {
    outcome: QueryOutcome,
    covered_share: f64,
    is_in_time: bool,
    /// The answer is in time and meets the coverage that its template requires.
    is_useful: bool,
}

impl<'a> RunTally<'a> {
    /// Creates an empty tally.
    #[must_use]
    pub fn new(options: &'a RunOptions, workload: &'a Workload) -> Self {
        Self {
            options,
            workload,
            counts: OutcomeCounts::default(),
            all_latencies: histogram(),
            urgent_latencies: histogram(),
            refusal_latencies: histogram(),
            send_lags: histogram(),
            fairness: FairnessTally::default(),
            errors: BTreeMap::new(),
            violations: ViolationCounts::default(),
            useful_work: 0.0,
            coverage_sum: 0.0,
            needed_attempts: 0,
        }
    }

    /// Counts a violation, whenever it occurred.
    pub const fn add_violation(&mut self, kind: ViolationKind) {
        self.violations.add(kind);
    }

    /// Adds a query with its reply; counts and latencies are of queries due in the measured time.
    pub fn add(&mut self, query: &LoadQuery, reply: &QueryReply) {
        let parsed = reply.parse();
        if let ParsedReply::Answer(answer) = &parsed {
            self.needed_attempts += answer.coverage.answered;
        }
        let result = evaluate_reply(query, reply, &parsed);
        if result.is_useful && self.is_measured(reply.ended_at) {
            self.useful_work += query.workload_template.mean_work();
        }
        if !self.is_measured(query.due_at) {
            return;
        }
        if let ParsedReply::Error(body) = &parsed {
            *self.errors.entry(body.error.code.clone()).or_default() += 1;
        }
        self.count_outcome(query, result);
        self.record_latency(query, reply, result);
        self.record_work(query, result);
    }

    fn is_measured(&self, at: TimeSpan) -> bool {
        let begin = self.options.warm_up;
        (begin..begin + self.options.measured_time).contains(&at)
    }

    fn count_outcome(&mut self, query: &LoadQuery, result: QueryResult) {
        let counts = &mut self.counts;
        counts.offered += 1;
        let count = match result.outcome {
            QueryOutcome::Complete => &mut counts.complete,
            QueryOutcome::Partial => &mut counts.partial,
            QueryOutcome::Refused => &mut counts.refused,
            QueryOutcome::Failed => &mut counts.failed,
            QueryOutcome::Unknown => &mut counts.unknown,
        };
        *count += 1;
        let answered = matches!(
            result.outcome,
            QueryOutcome::Complete | QueryOutcome::Partial
        );
        counts.late += u64::from(answered && !result.is_in_time);
        if query.workload_template.template.class == QueryClass::Urgent {
            counts.urgent += 1;
            counts.urgent_in_time += u64::from(result.is_useful);
        }
    }

    fn record_latency(&mut self, query: &LoadQuery, reply: &QueryReply, result: QueryResult) {
        record_span(
            &mut self.send_lags,
            reply.sent_at.saturating_sub(query.due_at),
        );
        if result.outcome == QueryOutcome::Refused {
            let span = reply.ended_at.saturating_sub(reply.sent_at);
            record_span(&mut self.refusal_latencies, span);
            return;
        }
        self.coverage_sum += result.covered_share;
        let latency = reply.ended_at.saturating_sub(query.due_at);
        record_span(&mut self.all_latencies, latency);
        if query.workload_template.template.class == QueryClass::Urgent {
            record_span(&mut self.urgent_latencies, latency);
        }
    }

    fn record_work(&mut self, query: &LoadQuery, result: QueryResult) {
        let template = &query.workload_template.template;
        let work = self
            .fairness
            .work_mut(&template.service, template.class, &query.team);
        work.weight = self.workload.team_weight(&query.team);
        work.offered += query.workload_template.mean_work();
        if result.is_useful {
            work.served += query.workload_template.mean_work();
        }
    }

    /// Returns the result of a run in which the targets ran `attempts` attempts.
    #[must_use]
    pub fn line(&self, attempts: usize, shares: CpuShares) -> RunLine {
        let options = self.options;
        let counts = &self.counts;
        let seconds = options.measured_time.as_secs_f64();
        let not_refused = counts.offered - counts.refused;
        RunLine {
            scenario: options.scenario,
            policy: options.policy,
            seed: options.seed,
            offered: counts.offered,
            complete: counts.complete,
            partial: counts.partial,
            refused_not_run: counts.refused,
            failed: counts.failed,
            unknown: counts.unknown,
            late: counts.late,
            p50_ms: quantile_ms(&self.all_latencies, 0.5),
            p99_ms: quantile_ms(&self.all_latencies, 0.99),
            p999_ms: quantile_ms(&self.all_latencies, 0.999),
            urgent_p99_ms: quantile_ms(&self.urgent_latencies, 0.99),
            urgent_in_time: rounded_ratio(counts.urgent_in_time as f64, counts.urgent as f64),
            goodput: rounded(self.useful_work / (self.workload.capacity() * seconds)),
            fairness: rounded(self.fairness.fairness()),
            coverage: rounded_ratio(self.coverage_sum, not_refused as f64),
            extra_load: rounded_ratio(attempts as f64, self.needed_attempts as f64),
            violations: self.violations,
            deployment: options.deployment,
            load: options.load,
            rate: rounded(options.load * self.workload.rate_at_full_load()),
            seconds,
            nodes: options.nodes,
            refusal_p99_ms: quantile_ms(&self.refusal_latencies, 0.99),
            errors: self.errors.clone(),
            send_lag_p99_ms: quantile_ms(&self.send_lags, 0.99),
            cpu_share: rounded(shares.process),
            machine_busy: rounded(shares.machine),
            figures: FigureMap::new(),
        }
    }
}

fn evaluate_reply(query: &LoadQuery, reply: &QueryReply, parsed: &ParsedReply) -> QueryResult {
    let deadline = query.workload_template.template.deadline;
    let is_in_time = reply.ended_at.saturating_sub(query.due_at) <= deadline;
    let (outcome, covered_share) = match parsed {
        ParsedReply::Answer(answer) => (answer.outcome, answer.coverage.covered_share()),
        ParsedReply::Error(body) => (error_outcome(body), 0.0),
        ParsedReply::Unreadable if matches!(reply.content, ReplyContent::Unsent) => {
            (QueryOutcome::Failed, 0.0)
        }
        ParsedReply::Unreadable if query.workload_template.template.idempotent => {
            (QueryOutcome::Failed, 0.0)
        }
        ParsedReply::Unreadable => (QueryOutcome::Unknown, 0.0),
    };
    QueryResult {
        outcome,
        covered_share,
        is_in_time,
        is_useful: is_in_time
            && matches!(parsed, ParsedReply::Answer(answer) if meets_coverage(query, answer)),
    }
}

fn error_outcome(body: &ErrorBody) -> QueryOutcome {
    match body.error.code.as_str() {
        _ if body.error.not_run => QueryOutcome::Refused,
        "unknown" => QueryOutcome::Unknown,
        _ => QueryOutcome::Failed,
    }
}

/// A complete answer is required; with a preference for latency, the template's minimum coverage is
/// enough.
fn meets_coverage(query: &LoadQuery, answer: &AnswerBody) -> bool {
    let template = &query.workload_template.template;
    match (template.preference, template.min_coverage) {
        (AnswerPreference::Latency, Some(min_coverage)) => {
            answer.coverage.covered_share() >= min_coverage.as_f64()
        }
        _ => answer.coverage.is_complete(),
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds and the precision are valid")
}

fn record_span(histogram: &mut Histogram<u64>, span: TimeSpan) {
    histogram.saturating_record(span.as_micros());
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> Option<f64> {
    (!histogram.is_empty()).then(|| rounded(histogram.value_at_quantile(quantile) as f64 / 1_000.0))
}

fn rounded_ratio(amount: f64, whole: f64) -> Option<f64> {
    (whole > 0.0).then(|| rounded(amount / whole))
}
