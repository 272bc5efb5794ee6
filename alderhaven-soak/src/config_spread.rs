//! When processes of fronts may have lacked a configuration, as far as callers can tell.

use std::net::IpAddr;

use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::history_index::HistoryIndex;
use crate::soak_history::{ConfigRecord, ProcessRecord, RESTORE_KIND, RequestRecord};
use crate::soak_plan::MAX_COPY_AGE_MS;
use crate::soak_workload::RequestKind;

/// The periods in which at least one process may have lacked each configuration.
#[derive(Clone, Debug)]
pub struct ConfigSpread {
    /// In the order of the configurations.
    periods: Vec<Vec<(TimePoint, TimePoint)>>,
}

/// An answer that proves that a process holds a configuration at least as new as a version.
struct VersionProof {
    front: IpAddr,
    process_start: TimePoint,
    at: TimePoint,
    version: u64,
}

impl ConfigSpread {
    /// Collects the periods of all configurations of a history.
    #[must_use]
    pub fn new(index: &HistoryIndex) -> Self {
        let requests = index.history.requests.values();
        let proofs: Vec<VersionProof> = requests
            .filter_map(|request| version_proof(index, request))
            .collect();
        let configs = index.history.configs.iter();
        let periods = configs.map(|config| {
            let processes = index.history.processes.iter();
            let lacking = processes.filter_map(|process| {
                let from = lacking_from(index, config, process)?;
                let known_at = first_proof(&proofs, config.version, process);
                let until = known_at.or(process.ended_at).unwrap_or(index.now);
                (from < until).then_some((from, until))
            });
            lacking.collect()
        });
        Self {
            periods: periods.collect(),
        }
    }

    /// Returns true if every process held the configuration with this index, or a newer one, in the
    /// whole period.
    #[must_use]
    pub fn is_held_by_all(&self, config: usize, from: TimePoint, until: TimePoint) -> bool {
        let mut periods = self.periods[config].iter();
        periods.all(|(lacked_from, lacked_until)| *lacked_until < from || *lacked_from > until)
    }
}

/// Returns the proof in the answer to a request: only configurations since a version have its route.
fn version_proof(index: &HistoryIndex, request: &RequestRecord) -> Option<VersionProof> {
    let RequestKind::VersionRoute(version) = request.kind else {
        return None;
    };
    let end = request.end.as_ref()?;
    let process = index.process_at(request.front, request.sent_at)?;
    (request.status() == Some(200)).then_some(VersionProof {
        front: request.front,
        process_start: process.started_at,
        at: end.at,
        version,
    })
}

fn first_proof(
    proofs: &[VersionProof],
    version: u64,
    process: &ProcessRecord,
) -> Option<TimePoint> {
    let of_process = proofs.iter().filter(|proof| {
        proof.front == process.front
            && proof.process_start == process.started_at
            && proof.version >= version
    });
    of_process.map(|proof| proof.at).min()
}

/// Returns from when a process may lack a configuration; `None` if it ended before, or started with
/// it. A process that starts later reads it from the store or its peers, unless the store came back
/// without it.
fn lacking_from(
    index: &HistoryIndex,
    config: &ConfigRecord,
    process: &ProcessRecord,
) -> Option<TimePoint> {
    if process.ended_at.is_some_and(|at| at < config.accepted_at) {
        return None;
    }
    if process.started_at <= config.accepted_at {
        return Some(config.accepted_at);
    }
    let mut restores = index.history.disruptions.iter();
    let is_lost = restores.any(|disruption| {
        disruption.kind == RESTORE_KIND
            && disruption.from >= config.accepted_at
            && disruption.from.since(config.accepted_at) <= TimeSpan::from_millis(MAX_COPY_AGE_MS)
            && disruption.from <= process.started_at
            && disruption
                .until
                .is_none_or(|until| until >= process.started_at)
    });
    is_lost.then_some(process.started_at)
}
