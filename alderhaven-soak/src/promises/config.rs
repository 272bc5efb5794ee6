//! Checks that accepted configurations are applied in time and that no process reverts to an older
//! one.

use std::collections::{BTreeMap, BTreeSet};

use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::history_index::HistoryIndex;
use crate::promises::{PromiseKind, Violation};
use crate::shard_records;
use crate::soak_history::{ConfigRecord, RequestOutcome, RequestRecord};
use crate::soak_workload::RequestKind;

/// The time within which an undisrupted front must apply an accepted configuration.
const APPLY_BOUND: TimeSpan = TimeSpan::from_millis(3_000);

/// Checks that undisrupted fronts handle requests under a configuration that is recent enough.
#[must_use]
pub fn check_in_force(index: &HistoryIndex) -> Vec<Violation> {
    let requests = index.history.requests.iter();
    let violations = requests.filter_map(|(id, request)| {
        let end = request.end.as_ref()?;
        let is_undisrupted = index.is_front_undisrupted(request.front, request.sent_at, end.at)
            && index.is_store_undisrupted(request.sent_at, end.at);
        if !is_undisrupted {
            return None;
        }
        let configs = index.configs_in_force(request.sent_at, end.at, Some(APPLY_BOUND));
        let is_satisfied = configs.iter().any(|config| is_consistent(config, request));
        let versions: Vec<u64> = configs.iter().map(|config| config.version).collect();
        (!is_satisfied).then(|| {
            let observed = format!(
                "{} inconsistent with all versions in force, {versions:?}",
                request.kind
            );
            Violation::new(PromiseKind::ConfigInForce, id, observed)
        })
    });
    violations.collect()
}

/// Checks that no process reverts: after an answer that needs some version, the process handles
/// later requests under that version or a newer one.
#[must_use]
pub fn check_no_regression(index: &HistoryIndex) -> Vec<Violation> {
    let mut by_process: BTreeMap<(std::net::IpAddr, TimePoint), Vec<(&str, &RequestRecord)>> =
        BTreeMap::new();
    for (id, request) in &index.history.requests {
        if let Some(process) = index.process_at(request.front, request.sent_at) {
            let requests = by_process
                .entry((request.front, process.started_at))
                .or_default();
            requests.push((id, request));
        }
    }
    let request_groups = by_process.values();
    request_groups
        .flat_map(|requests| check_process(index, requests))
        .collect()
}

fn check_process(index: &HistoryIndex, requests: &[(&str, &RequestRecord)]) -> Vec<Violation> {
    let configs = &index.history.configs;
    // The oldest version that can explain each answer, by the time of the answer.
    let mut first_seen: Vec<(TimePoint, u64)> = requests
        .iter()
        .filter_map(|(_, request)| {
            Some((
                request.end.as_ref()?.at,
                oldest_possible_version(configs, request)?,
            ))
        })
        .collect();
    first_seen.sort_unstable();
    let violations = requests.iter().filter_map(|(id, request)| {
        let ended_at = request.end.as_ref()?.at;
        let seen_before = first_seen.iter().filter(|(at, _)| *at < request.sent_at);
        let newest_seen = seen_before.map(|(_, version)| *version).max()?;
        let mut possible = configs
            .iter()
            .filter(|config| config.version >= newest_seen && config.accepted_at <= ended_at);
        let is_satisfied = possible.any(|config| is_consistent(config, request));
        (!is_satisfied).then(|| {
            let observed = format!(
                "{} handled under a version before {newest_seen}",
                request.kind
            );
            Violation::new(PromiseKind::ConfigKept, id, observed)
        })
    });
    violations.collect()
}

/// Returns the oldest version that can explain the outcome of a request; `None` if no version can.
fn oldest_possible_version(configs: &[ConfigRecord], request: &RequestRecord) -> Option<u64> {
    let mut consistent = configs
        .iter()
        .filter(|config| is_consistent(config, request));
    consistent.next().map(|config| config.version)
}

/// Returns true if the outcome of a request is possible under a configuration.
fn is_consistent(config: &ConfigRecord, request: &RequestRecord) -> bool {
    let Some(end) = &request.end else {
        return true;
    };
    let RequestOutcome::Answered(answer) = &end.outcome else {
        return true;
    };
    match request.kind {
        RequestKind::VersionRoute(version) => {
            let is_served = answer.is_success();
            let is_not_found = answer.status == 404;
            let has_route = config.version_routes.contains(&version);
            (!is_served || has_route) && (!is_not_found || !has_route)
        }
        RequestKind::FanOut if answer.is_success() => {
            let set: BTreeSet<String> = config.shards.services().into_iter().collect();
            let proofs = answer.part_proofs.iter();
            let mut parts = proofs.filter_map(|proof| shard_records::parse_proof(proof));
            parts.all(|(service, _)| set.contains(service))
        }
        _ => true,
    }
}
