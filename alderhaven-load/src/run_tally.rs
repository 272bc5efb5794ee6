//! The adding up of a run's queries to its figures.

use std::collections::BTreeMap;

use alderhaven_core::class::{AnswerPreference, QueryClass};
use alderhaven_core::outcome::QueryOutcome;
use alderhaven_core::time::TimeSpan;
use hdrhistogram::Histogram;

use crate::cpu_clock::CpuShares;
use crate::fair_share::FairShare;
use crate::load_query::LoadQuery;
use crate::query_reply::{AnswerBody, ErrorBody, QueryReply, ReadReply, ReplyContent};
use crate::run_line::{RunLine, rounded};
use crate::run_options::RunOptions;
use crate::scenario_figures::FigureMap;
use crate::violations::{ViolationCounts, ViolationKind};
use crate::workload::Workload;

/// The longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 120_000_000;

/// A `RunTally` adds up queries and replies.
#[derive(Debug)]
pub struct RunTally<'a> {
    options: &'a RunOptions,
    workload: &'a Workload,
    counts: OutcomeCounts,
    all: Histogram<u64>,
    urgent: Histogram<u64>,
    refusals: Histogram<u64>,
    send_lags: Histogram<u64>,
    fair: FairShare,
    errors: BTreeMap<String, u64>,
    violations: ViolationCounts,
    /// The useful work that came in the measured time, in seconds of a slot.
    useful_work: f64,
    coverage_sum: f64,
    /// The shards that answers cover, over the whole run.
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

/// A `QueryVerdict` is what a reply comes to for its caller.
#[derive(Clone, Copy, Debug, PartialEq)]
struct QueryVerdict {
    outcome: QueryOutcome,
    covered: f64,
    in_time: bool,
    /// The answer is in time and covers what its template asks for.
    useful: bool,
}

impl<'a> RunTally<'a> {
    /// Returns an empty tally.
    #[must_use]
    pub fn new(options: &'a RunOptions, workload: &'a Workload) -> Self {
        Self {
            options,
            workload,
            counts: OutcomeCounts::default(),
            all: histogram(),
            urgent: histogram(),
            refusals: histogram(),
            send_lags: histogram(),
            fair: FairShare::default(),
            errors: BTreeMap::new(),
            violations: ViolationCounts::default(),
            useful_work: 0.0,
            coverage_sum: 0.0,
            needed_attempts: 0,
        }
    }

    /// Adds a violation.
    pub const fn add_violation(&mut self, kind: ViolationKind) {
        self.violations.add(kind);
    }

    /// Adds a query with its reply.
    pub fn add(&mut self, query: &LoadQuery, reply: &QueryReply) {
        let read = reply.read();
        if let ReadReply::Answer(answer) = &read {
            self.needed_attempts += answer.coverage.answered;
        }
        let verdict = judge(query, reply, &read);
        if verdict.useful && self.is_measured(reply.ended) {
            self.useful_work += query.mixed.work();
        }
        if !self.is_measured(query.due) {
            return;
        }
        if let ReadReply::Error(body) = &read {
            *self.errors.entry(body.error.code.clone()).or_default() += 1;
        }
        self.count(query, verdict);
        self.time(query, reply, verdict);
        self.share(query, verdict);
    }

    fn is_measured(&self, at: TimeSpan) -> bool {
        let begin = self.options.warm_up;
        (begin..begin + self.options.measured).contains(&at)
    }

    fn count(&mut self, query: &LoadQuery, verdict: QueryVerdict) {
        let counts = &mut self.counts;
        counts.offered += 1;
        let count = match verdict.outcome {
            QueryOutcome::Complete => &mut counts.complete,
            QueryOutcome::Partial => &mut counts.partial,
            QueryOutcome::Refused => &mut counts.refused,
            QueryOutcome::Failed => &mut counts.failed,
            QueryOutcome::Unknown => &mut counts.unknown,
        };
        *count += 1;
        let answered = matches!(
            verdict.outcome,
            QueryOutcome::Complete | QueryOutcome::Partial
        );
        counts.late += u64::from(answered && !verdict.in_time);
        if query.mixed.template.class == QueryClass::Urgent {
            counts.urgent += 1;
            counts.urgent_in_time += u64::from(verdict.useful);
        }
    }

    fn time(&mut self, query: &LoadQuery, reply: &QueryReply, verdict: QueryVerdict) {
        record(&mut self.send_lags, reply.sent.saturating_sub(query.due));
        if verdict.outcome == QueryOutcome::Refused {
            let span = reply.ended.saturating_sub(reply.sent);
            record(&mut self.refusals, span);
            return;
        }
        self.coverage_sum += verdict.covered;
        let latency = reply.ended.saturating_sub(query.due);
        record(&mut self.all, latency);
        if query.mixed.template.class == QueryClass::Urgent {
            record(&mut self.urgent, latency);
        }
    }

    fn share(&mut self, query: &LoadQuery, verdict: QueryVerdict) {
        let template = &query.mixed.template;
        let work = self
            .fair
            .work_of(&template.service, template.class, &query.team);
        work.weight = self.workload.weight(&query.team);
        work.offered += query.mixed.work();
        if verdict.useful {
            work.served += query.mixed.work();
        }
    }

    /// Returns the line of the run, in which the targets ran `attempts`.
    #[must_use]
    pub fn line(&self, attempts: usize, shares: CpuShares) -> RunLine {
        let options = self.options;
        let counts = &self.counts;
        let seconds = options.measured.as_secs_f64();
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
            p50_ms: quantile_ms(&self.all, 0.5),
            p99_ms: quantile_ms(&self.all, 0.99),
            p999_ms: quantile_ms(&self.all, 0.999),
            urgent_p99_ms: quantile_ms(&self.urgent, 0.99),
            urgent_in_time: part(counts.urgent_in_time as f64, counts.urgent as f64),
            goodput: rounded(self.useful_work / (self.workload.capacity() * seconds)),
            fairness: rounded(self.fair.fairness()),
            coverage: part(self.coverage_sum, not_refused as f64),
            extra_load: part(attempts as f64, self.needed_attempts as f64),
            violations: self.violations,
            deployment: options.deployment,
            load: options.load,
            rate: rounded(options.load * self.workload.rate_at_full_load()),
            seconds,
            nodes: options.nodes,
            refusal_p99_ms: quantile_ms(&self.refusals, 0.99),
            errors: self.errors.clone(),
            send_lag_p99_ms: quantile_ms(&self.send_lags, 0.99),
            cpu_share: rounded(shares.process),
            machine_busy: rounded(shares.machine),
            figures: FigureMap::new(),
        }
    }
}

fn judge(query: &LoadQuery, reply: &QueryReply, read: &ReadReply) -> QueryVerdict {
    let deadline = query.mixed.template.deadline;
    let in_time = reply.ended.saturating_sub(query.due) <= deadline;
    let (outcome, covered) = match read {
        ReadReply::Answer(answer) => (answer.outcome, answer.coverage.share()),
        ReadReply::Error(body) => (error_outcome(body), 0.0),
        ReadReply::Unreadable if matches!(reply.content, ReplyContent::Unsent) => {
            (QueryOutcome::Failed, 0.0)
        }
        ReadReply::Unreadable if query.mixed.template.idempotent => (QueryOutcome::Failed, 0.0),
        ReadReply::Unreadable => (QueryOutcome::Unknown, 0.0),
    };
    QueryVerdict {
        outcome,
        covered,
        in_time,
        useful: in_time && matches!(read, ReadReply::Answer(answer) if covers(query, answer)),
    }
}

fn error_outcome(body: &ErrorBody) -> QueryOutcome {
    match body.error.code.as_str() {
        _ if body.error.not_run => QueryOutcome::Refused,
        "unknown" => QueryOutcome::Unknown,
        _ => QueryOutcome::Failed,
    }
}

/// Returns true where the answer covers what its template asks for: all shards, or with a
/// preference for latency the least share that it names.
fn covers(query: &LoadQuery, answer: &AnswerBody) -> bool {
    let template = &query.mixed.template;
    match (template.preference, template.min_coverage) {
        (AnswerPreference::Latency, Some(least)) => answer.coverage.share() >= least.as_f64(),
        _ => answer.coverage.is_complete(),
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_US, 3).expect("the bounds are valid for a histogram")
}

fn record(histogram: &mut Histogram<u64>, span: TimeSpan) {
    histogram.saturating_record(span.as_micros());
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> Option<f64> {
    (!histogram.is_empty()).then(|| rounded(histogram.value_at_quantile(quantile) as f64 / 1_000.0))
}

fn part(amount: f64, whole: f64) -> Option<f64> {
    (whole > 0.0).then(|| rounded(amount / whole))
}
