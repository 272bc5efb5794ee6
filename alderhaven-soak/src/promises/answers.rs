//! Checks that each caller gets the whole answer to its own request, with true coverage.

use std::collections::BTreeSet;

use crate::history_index::HistoryIndex;
use crate::promises::{PromiseKind, Violation};
use crate::shard_records;
use crate::soak_history::{AnswerRecord, RequestOutcome, RequestRecord};
use crate::soak_workload::{MERGED_RECORDS, MIN_SHARD_SHARE, RequestKind, ShardSet};

/// The status with which a faulty target answers.
const TARGET_FAILURE_STATUS: u16 = 500;

/// Checks the answers to all requests.
#[must_use]
pub fn check(index: &HistoryIndex) -> Vec<Violation> {
    let requests = index.history.requests.iter();
    requests
        .filter_map(|(id, request)| check_request(index, id, request))
        .collect()
}

fn check_request(index: &HistoryIndex, id: &str, request: &RequestRecord) -> Option<Violation> {
    let end = request.end.as_ref()?;
    let RequestOutcome::Answered(answer) = &end.outcome else {
        return None;
    };
    let (promise, observed) = if !answer.is_success() {
        check_failure(request, answer, index.history.team_bounds.is_some())?
    } else if request.kind == RequestKind::FanOut {
        let observed = check_merged(index, id, request, answer)?;
        (PromiseKind::TrueCoverage, observed)
    } else {
        (
            PromiseKind::OwnAnswer,
            check_forwarded(id, request, answer)?,
        )
    };
    Some(Violation::new(promise, id, observed))
}

fn check_failure(
    request: &RequestRecord,
    answer: &AnswerRecord,
    has_teams: bool,
) -> Option<(PromiseKind, String)> {
    let status = answer.status;
    let is_missing_version_route =
        status == 404 && matches!(request.kind, RequestKind::VersionRoute(_));
    // `team_refusals` checks whom a front may refuse as unknown.
    let is_unknown_team = status == 401 && has_teams;
    let is_denial = (300..500).contains(&status) && !answer.is_refusal;
    if is_denial && !is_missing_version_route && !is_unknown_team {
        return Some((
            PromiseKind::NotDenied,
            format!("{} got {status}", request.kind),
        ));
    }
    let is_changed_failure = !answer.proof.is_empty() && status != TARGET_FAILURE_STATUS;
    is_changed_failure.then(|| {
        let observed = format!("a target's failure arrived as status {status}");
        (PromiseKind::OwnAnswer, observed)
    })
}

fn check_forwarded(id: &str, request: &RequestRecord, answer: &AnswerRecord) -> Option<String> {
    let Some((service, answered_id)) = shard_records::parse_proof(&answer.proof) else {
        return Some(format!(
            "a success with the invalid proof `{}`",
            answer.proof
        ));
    };
    if answered_id != id {
        return Some(format!("got the answer to {answered_id}"));
    }
    let allowed = request.kind.services(ShardSet::Old);
    if !allowed.iter().any(|name| name == service) {
        return Some(format!(
            "got an answer of {service} to a {} request",
            request.kind
        ));
    }
    let is_whole = answer.body == shard_records::response_body(service, id);
    (!is_whole).then(|| format!("the body differs from that of {service}"))
}

fn check_merged(
    index: &HistoryIndex,
    id: &str,
    request: &RequestRecord,
    answer: &AnswerRecord,
) -> Option<String> {
    let proofs = answer.part_proofs.iter();
    let parts: Option<Vec<(&str, &str)>> = proofs
        .map(|proof| shard_records::parse_proof(proof))
        .collect();
    let Some(parts) = parts else {
        return Some(format!("an invalid proof in {:?}", answer.part_proofs));
    };
    if let Some((service, other_id)) = parts.iter().find(|(_, answered_id)| *answered_id != id) {
        return Some(format!("the part of {service} is for {other_id}"));
    }
    let services: Vec<&str> = parts.iter().map(|(service, _)| *service).collect();
    let distinct: BTreeSet<&str> = services.iter().copied().collect();
    if distinct.len() != services.len() {
        return Some(format!("a duplicate shard in {services:?}"));
    }
    let ended_at = request.end.as_ref()?.at;
    let configs = index.configs_in_force(request.sent_at, ended_at, None);
    let is_single_shard_set = configs.iter().any(|config| {
        let set = config.shards.services();
        let holds_all = distinct
            .iter()
            .all(|part| set.iter().any(|name| name == part));
        holds_all && set.len() == distinct.len() + answer.missing
    });
    if !is_single_shard_set {
        let missing = answer.missing;
        return Some(format!(
            "{services:?} and {missing} missing are the shards of no configuration"
        ));
    }
    let share = distinct.len() as f64 / (distinct.len() + answer.missing) as f64;
    if share < MIN_SHARD_SHARE {
        return Some(format!(
            "covers only {share:.2} of the shards, not {MIN_SHARD_SHARE}"
        ));
    }
    let is_greatest = answer.body == shard_records::greatest_records(&services, id, MERGED_RECORDS);
    (!is_greatest).then(|| "the records are not the greatest of the parts".to_owned())
}
