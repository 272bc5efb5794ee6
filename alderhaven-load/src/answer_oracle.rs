//! Checks replies against the published manifests, the expected rows and the targets' run log.

use std::collections::HashMap;

use alderhaven_core::ids::{NodeId, ServiceName, SnapshotId, TargetId};
use alderhaven_core::manifest::{ShardEntry, SnapshotManifest};
use alderhaven_core::outcome::QueryOutcome;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_standin::rows::{self, DerivedRow};
use alderhaven_standin::run_log::{RunRecord, RunStatus};
use serde_json::Value;

use crate::expected_rows;
use crate::load_query::LoadQuery;
use crate::query_reply::{AnswerBody, ParsedReply, QueryReply, ReplyContent};
use crate::violations::ViolationKind;

/// Time after which a leaving target must receive no new work.
pub const LEAVING_GRACE: TimeSpan = TimeSpan::from_secs(3);

/// Time at which a target began to leave.
#[derive(Clone, Debug)]
pub struct LeavingTarget {
    /// Name of the target.
    pub target: TargetId,
    /// Microseconds since the run log began.
    pub leaving_since_us: u64,
}

/// Configuration revision in force on a node at one observation.
#[derive(Clone, Debug)]
pub struct ConfigObservation {
    /// Name of the observed node.
    pub node: NodeId,
    /// Revision of the complete configuration in force.
    pub revision: StoreVersion,
}

/// All published manifests and all runs of the targets.
#[derive(Debug)]
pub struct AnswerOracle {
    manifests: HashMap<(ServiceName, SnapshotId), SnapshotManifest>,
    /// Runs by template name and canonical parameters.
    run_records: HashMap<(String, String), Vec<RunRecord>>,
}

impl AnswerOracle {
    /// Indexes the manifests and the run records.
    #[must_use]
    pub fn new(manifests: Vec<SnapshotManifest>, records: Vec<RunRecord>) -> Self {
        let mut run_records: HashMap<(String, String), Vec<RunRecord>> = HashMap::new();
        for record in records {
            let key = (record.template.clone(), record.parameters.clone());
            run_records.entry(key).or_default().push(record);
        }
        let manifests = manifests
            .into_iter()
            .map(|manifest| ((manifest.service.clone(), manifest.snapshot), manifest))
            .collect();
        Self {
            manifests,
            run_records,
        }
    }

    /// Checks a query's reply; returns the violations found.
    #[must_use]
    pub fn check_reply(&self, query: &LoadQuery, reply: &QueryReply) -> Vec<ViolationKind> {
        let mut found = Vec::new();
        let runs = self.runs_for_query(query);
        if !query.workload_template.template.idempotent && runs.len() > 1 {
            found.push(ViolationKind::DoubleRun);
        }
        if matches!(reply.content, ReplyContent::Aborted) {
            found.push(ViolationKind::CutInFlight);
        }
        match reply.parse() {
            ParsedReply::Answer(answer) => found.extend(self.check_answer(query, &answer, runs)),
            // With shared parameters the run may belong to another query.
            ParsedReply::Error(body)
                if body.error.not_run && !runs.is_empty() && !query.group.shares_parameters() =>
            {
                found.push(ViolationKind::FalseNotRun);
            }
            ParsedReply::Error(_) | ParsedReply::Unreadable => {}
        }
        found
    }

    fn runs_for_query(&self, query: &LoadQuery) -> &[RunRecord] {
        let key = (
            query.workload_template.template.name.to_string(),
            query.parameters.canonical_json(),
        );
        self.run_records.get(&key).map_or(&[], Vec::as_slice)
    }

    fn check_answer(
        &self,
        query: &LoadQuery,
        answer: &AnswerBody,
        runs: &[RunRecord],
    ) -> Option<ViolationKind> {
        let key = (
            query.workload_template.template.service.clone(),
            answer.snapshot,
        );
        let Some(manifest) = self.manifests.get(&key) else {
            return Some(ViolationKind::MixedSnapshot);
        };
        let Some(covered) = covered_shards(query, answer, manifest) else {
            return Some(ViolationKind::UntrueCoverage);
        };
        let was_run =
            |entry: &&ShardEntry| runs.iter().any(|run| answers_shard(run, entry, manifest));
        if !covered.iter().all(was_run) {
            return Some(ViolationKind::UntrueCoverage);
        }
        if answer.rows == merged_rows(query, &covered) {
            return None;
        }
        Some(classify_wrong_rows(query, &answer.rows, manifest))
    }
}

/// Returns the covered shards; none if the coverage contradicts itself or the manifest.
fn covered_shards<'a>(
    query: &LoadQuery,
    answer: &AnswerBody,
    manifest: &'a SnapshotManifest,
) -> Option<Vec<&'a ShardEntry>> {
    let selection = &query.workload_template.template.shards;
    let positions = manifest.select(selection, &query.parameters).ok()?;
    let requested: Vec<&ShardEntry> = positions
        .into_iter()
        .map(|position| &manifest.shards[position])
        .collect();
    let report = &answer.coverage;
    let is_missing = |entry: &ShardEntry| {
        report
            .missing
            .iter()
            .any(|missing| missing.shard == entry.shard)
    };
    let covered: Vec<&ShardEntry> = requested
        .iter()
        .copied()
        .filter(|entry| !is_missing(entry))
        .collect();
    let is_true = report.requested == requested.len()
        && report.answered == covered.len()
        && report.answered + report.missing.len() == report.requested
        && (answer.outcome == QueryOutcome::Complete) == report.missing.is_empty();
    is_true.then_some(covered)
}

fn answers_shard(run: &RunRecord, entry: &ShardEntry, manifest: &SnapshotManifest) -> bool {
    run.status == RunStatus::Answered
        && run.shard == entry.shard
        && run.version == entry.version
        && run.snapshot == manifest.snapshot
}

fn shard_rows(query: &LoadQuery, entry: &ShardEntry) -> Vec<DerivedRow> {
    rows::derive_rows(
        &query.workload_template.template.service,
        entry.shard,
        entry.version,
        &query.parameters.canonical_json(),
    )
}

fn merged_rows(query: &LoadQuery, covered: &[&ShardEntry]) -> Value {
    let rows = covered
        .iter()
        .flat_map(|entry| shard_rows(query, entry))
        .map(|row| serde_json::to_value(row).unwrap_or_default())
        .collect();
    Value::Array(expected_rows::merge_rows(
        &query.workload_template.template.merge,
        rows,
    ))
}

/// Classifies rows that differ from those of the covered shards.
fn classify_wrong_rows(
    query: &LoadQuery,
    rows: &Value,
    manifest: &SnapshotManifest,
) -> ViolationKind {
    let rows: Vec<DerivedRow> = serde_json::from_value(rows.clone()).unwrap_or_default();
    for row in rows {
        let Ok(position) = manifest.position_of(row.shard) else {
            return ViolationKind::MixedSnapshot;
        };
        let entry = &manifest.shards[position];
        if row.version != entry.version {
            return ViolationKind::MixedSnapshot;
        }
        if !shard_rows(query, entry).contains(&row) {
            return ViolationKind::Crossed;
        }
    }
    ViolationKind::UntrueCoverage
}

/// Counts the runs that started more than [`LEAVING_GRACE`] after their target began to leave.
#[must_use]
pub fn count_runs_after_leaving(records: &[RunRecord], leaving_targets: &[LeavingTarget]) -> usize {
    let is_late = |record: &&RunRecord| {
        leaving_targets.iter().any(|leaving| {
            leaving.target == record.target
                && record.started_us > leaving.leaving_since_us + LEAVING_GRACE.as_micros()
        })
    };
    records.iter().filter(is_late).count()
}

/// Counts how often a node's revision went back, given observations in the order of time.
#[must_use]
pub fn count_config_reversions(observations: &[ConfigObservation]) -> usize {
    let mut latest: HashMap<&NodeId, StoreVersion> = HashMap::new();
    let mut reversions = 0;
    for observation in observations {
        let last = latest.insert(&observation.node, observation.revision);
        reversions += usize::from(last.is_some_and(|last| last > observation.revision));
    }
    reversions
}
