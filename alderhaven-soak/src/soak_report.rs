//! The report of a run.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::promises::{PromiseKind, Violation};
use crate::soak_history::{DisruptionSubject, RequestOutcome, SoakHistory};

/// The most violations that are printed; the logs contain all of them.
const MAX_PRINTED_VIOLATIONS: usize = 10;

/// The result of a run, printed as text or as one JSON line.
#[derive(Clone, Debug, Serialize)]
pub struct SoakReport {
    /// The seed of the run.
    pub seed: u64,
    /// The measured length of the run in seconds.
    pub seconds: f64,
    /// The number of fronts.
    pub fronts: usize,
    /// The number of front processes that were started.
    pub processes: usize,
    /// The number of requests by outcome.
    pub requests: BTreeMap<&'static str, usize>,
    /// The number of requests that reached targets.
    pub arrivals: usize,
    /// The number of faults by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// The number of published configurations.
    pub configs: usize,
    /// The number of detected stalls of the machine.
    pub stalls: usize,
    /// The broken promises; empty if the run passed.
    pub violations: Vec<Violation>,
    /// The directory of the kept logs; `None` if no promise was broken.
    pub logs: Option<String>,
}

/// Counts requests by outcome, under the names that reports show.
#[must_use]
pub fn count_requests(history: &SoakHistory) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for request in history.requests.values() {
        let outcome = request.end.as_ref().map(|end| &end.outcome);
        let name = match outcome {
            None => "open",
            Some(RequestOutcome::Answered(answer)) if answer.is_success() => "served",
            Some(RequestOutcome::Answered(answer)) if answer.is_refusal => "refused",
            Some(RequestOutcome::Answered(answer)) if answer.status == 404 => "not_found",
            Some(RequestOutcome::Answered(_)) => "failed",
            Some(RequestOutcome::Closed) => "closed",
            Some(RequestOutcome::Abandoned) => "left",
            Some(RequestOutcome::Unanswered) => "unanswered",
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

/// Counts the violations of each promise.
fn count_violations(violations: &[Violation]) -> BTreeMap<PromiseKind, usize> {
    let mut counts = BTreeMap::new();
    for violation in violations {
        *counts.entry(violation.promise).or_default() += 1;
    }
    counts
}

/// Counts the stalls of the machine.
#[must_use]
pub fn count_stalls(history: &SoakHistory) -> usize {
    let disruptions = history.disruptions.iter();
    disruptions
        .filter(|disruption| disruption.subject == DisruptionSubject::Machine)
        .count()
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (seed, seconds, fronts) = (self.seed, self.seconds, self.fronts);
        write!(formatter, "seed {seed}: {seconds:.0} s, {fronts} fronts, ")?;
        let (processes, stalls) = (self.processes, self.stalls);
        write!(
            formatter,
            "{processes} processes, {stalls} stalls; requests"
        )?;
        for (outcome, count) in &self.requests {
            write!(formatter, " {outcome} {count}")?;
        }
        write!(formatter, "; faults")?;
        for (kind, count) in &self.faults {
            write!(formatter, " {kind} {count}")?;
        }
        write!(formatter, "; violations {}", self.violations.len())?;
        for (promise, count) in &count_violations(&self.violations) {
            write!(formatter, " {promise:?} {count}")?;
        }
        for violation in self.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            let Violation {
                promise,
                subject,
                observed,
            } = violation;
            write!(formatter, "\n  {promise:?} {subject}: {observed}")?;
        }
        if let Some(logs) = &self.logs {
            write!(formatter, "\n  logs: {logs}")?;
        }
        Ok(())
    }
}
