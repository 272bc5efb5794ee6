//! Checks that requests run as often as they may, that refused ones did not run, and that targets
//! get only requests that callers sent.

use std::collections::{BTreeMap, BTreeSet};

use crate::history_index::HistoryIndex;
use crate::promises::{PromiseKind, Violation};
use crate::soak_history::{ArrivalRecord, DisruptionSubject, RequestOutcome, RequestRecord};
use crate::soak_workload::MAX_TARGETS_PER_SHARD;

/// Checks the arrivals, and the runs of each request.
#[must_use]
pub fn check(index: &HistoryIndex) -> Vec<Violation> {
    let mut violations: Vec<Violation> = index
        .history
        .arrivals
        .iter()
        .filter_map(|arrival| check_arrival(index, arrival))
        .collect();
    for (id, request) in &index.history.requests {
        let runs = index.arrivals(id).iter().filter(|arrival| arrival.is_run);
        let runs: Vec<&ArrivalRecord> = runs.copied().collect();
        violations.extend(check_runs(index, id, request, &runs));
    }
    violations
}

fn check_arrival(index: &HistoryIndex, arrival: &ArrivalRecord) -> Option<Violation> {
    let observed = match index.request(arrival) {
        None => format!("no caller sent `{}`", arrival.request_id),
        Some(request) if !is_unchanged(request, arrival) => format!(
            "{} {} arrived as {} {}",
            request.method, request.path, arrival.method, arrival.path
        ),
        Some(_) => return None,
    };
    Some(Violation::new(
        PromiseKind::NothingInvented,
        &arrival.target,
        observed,
    ))
}

fn is_unchanged(request: &RequestRecord, arrival: &ArrivalRecord) -> bool {
    request.method == arrival.method && request.path == arrival.path && request.body == arrival.body
}

fn check_runs(
    index: &HistoryIndex,
    id: &str,
    request: &RequestRecord,
    runs: &[&ArrivalRecord],
) -> Option<Violation> {
    let violation = if request.kind.is_idempotent() {
        check_target_count(index, id, runs)
    } else {
        check_run_count(id, runs)
    };
    violation.or_else(|| check_refusal(id, request, runs))
}

/// Checks that a non-idempotent request ran at most once.
fn check_run_count(id: &str, runs: &[&ArrivalRecord]) -> Option<Violation> {
    if runs.len() < 2 {
        return None;
    }
    let targets: Vec<&str> = runs.iter().map(|run| run.target.as_str()).collect();
    let observed = format!("ran on {targets:?}");
    Some(Violation::new(PromiseKind::AtMostOnce, id, observed))
}

/// Checks that a refused request has not run, idempotent or not, since its caller sends it again.
fn check_refusal(id: &str, request: &RequestRecord, runs: &[&ArrivalRecord]) -> Option<Violation> {
    let RequestOutcome::Answered(answer) = &request.end.as_ref()?.outcome else {
        return None;
    };
    let run = runs.first().filter(|_| answer.is_refusal)?;
    let observed = format!("got {} and ran on {}", answer.status, run.target);
    Some(Violation::new(PromiseKind::NotRun, id, observed))
}

/// Checks that no shard ran the request on more targets than allowed. Targets that were disrupted
/// don't count, since a front may have abandoned the attempt there.
fn check_target_count(
    index: &HistoryIndex,
    id: &str,
    runs: &[&ArrivalRecord],
) -> Option<Violation> {
    let mut targets: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for run in runs {
        let subject = DisruptionSubject::Target(run.target.clone());
        if index.is_undisrupted(&subject, run.at, index.now) {
            targets.entry(&run.service).or_default().insert(&run.target);
        }
    }
    let excess_targets = targets
        .values()
        .find(|targets| targets.len() > MAX_TARGETS_PER_SHARD)?;
    let observed = format!("ran on {excess_targets:?}");
    Some(Violation::new(PromiseKind::AtMostOnce, id, observed))
}
