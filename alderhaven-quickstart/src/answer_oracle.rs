//! The test oracle of a run: checks replies against the published objects and against the runs that
//! the targets recorded.

use std::collections::{BTreeMap, HashMap, HashSet};

use alderhaven_core::ids::{ServiceName, ShardId, TemplateName};
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_core::outcome::QueryOutcome;
use alderhaven_core::template::QueryTemplate;
use alderhaven_standin::run_log::RunRecord;
use eyre::{OptionExt, Result};

use crate::expected_rows;
use crate::query_reply::{AnswerBody, ErrorBody, QueryReply};
use crate::sample_query::SampleQuery;

/// Checks replies as they arrive, and all of them against the recorded runs at the end.
#[derive(Debug)]
pub struct AnswerOracle {
    templates: BTreeMap<TemplateName, QueryTemplate>,
    manifests: BTreeMap<ServiceName, SnapshotManifest>,
    replied_queries: Vec<RepliedQuery>,
    run_counts: HashMap<RunKey, usize>,
}

/// Assigns a run at a target to its query; it is unique within the sample queries.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RunKey {
    template: String,
    parameters: String,
}

#[derive(Debug)]
struct RepliedQuery {
    number: usize,
    key: RunKey,
    idempotent: bool,
    not_run: bool,
    outcome: Option<QueryOutcome>,
}

/// A query resolved against the published objects.
struct CheckedQuery<'a> {
    template: &'a QueryTemplate,
    manifest: &'a SnapshotManifest,
    requested: Vec<ShardId>,
    parameters: String,
}

impl AnswerOracle {
    /// Returns an oracle for the published objects, without replies or runs.
    #[must_use]
    pub fn new(templates: &[QueryTemplate], manifests: &[SnapshotManifest]) -> Self {
        Self {
            templates: templates
                .iter()
                .map(|template| (template.name.clone(), template.clone()))
                .collect(),
            manifests: manifests
                .iter()
                .map(|manifest| (manifest.service.clone(), manifest.clone()))
                .collect(),
            replied_queries: Vec::new(),
            run_counts: HashMap::new(),
        }
    }

    /// Counts the runs of each query at the targets.
    pub fn record_runs(&mut self, records: Vec<RunRecord>) {
        for record in records {
            let key = RunKey {
                template: record.template,
                parameters: record.parameters,
            };
            *self.run_counts.entry(key).or_default() += 1;
        }
    }

    /// Records a reply and gets the violations that it shows on its own.
    ///
    /// # Errors
    /// If the query doesn't match a published template and manifest.
    pub fn check_reply(&mut self, query: &SampleQuery, reply: &QueryReply) -> Result<Vec<String>> {
        let checked = self.resolve_query(query)?;
        let violations = match reply {
            QueryReply::Answer(answer) => checked.check_answer(answer),
            QueryReply::Error(body) => check_error(body),
            QueryReply::Unreadable(reason) => vec![format!("no readable reply: {reason}")],
        };
        let replied = RepliedQuery {
            number: query.number,
            idempotent: checked.template.idempotent,
            key: RunKey {
                template: query.template.to_string(),
                parameters: checked.parameters,
            },
            not_run: matches!(reply, QueryReply::Error(body) if body.error.not_run),
            outcome: reply.outcome(),
        };
        self.replied_queries.push(replied);
        Ok(violations
            .into_iter()
            .map(|text| format!("query {}: {text}", query.number))
            .collect())
    }

    /// Gets the contradictions between runs and replies, once all of them are recorded.
    #[must_use]
    pub fn check_runs(&self) -> Vec<String> {
        let replied = self.replied_queries.iter().filter_map(|query| {
            let runs = self.run_counts.get(&query.key).copied().unwrap_or_default();
            let text = query.run_violation(runs)?;
            Some(format!("query {}: {text}", query.number))
        });
        let known: HashSet<&RunKey> = self
            .replied_queries
            .iter()
            .map(|query| &query.key)
            .collect();
        let unrequested = self
            .run_counts
            .keys()
            .filter(|key| !known.contains(key))
            .map(|key| format!("{} {} ran without a query", key.template, key.parameters));
        replied.chain(unrequested).collect()
    }

    fn resolve_query(&self, query: &SampleQuery) -> Result<CheckedQuery<'_>> {
        let template = self
            .templates
            .get(&query.template)
            .ok_or_eyre("the template is not published")?;
        let manifest = self
            .manifests
            .get(&template.service)
            .ok_or_eyre("the service has no manifest")?;
        let values = template.bind(&query.team, query.parameters.clone())?;
        let positions = manifest.select(&template.shards, &values)?;
        Ok(CheckedQuery {
            template,
            manifest,
            requested: positions
                .into_iter()
                .map(|position| manifest.shards[position].shard)
                .collect(),
            parameters: values.canonical_json(),
        })
    }
}

impl RepliedQuery {
    fn run_violation(&self, runs: usize) -> Option<String> {
        if self.not_run && runs > 0 {
            return Some(format!("the reply states not_run, but it ran {runs} times"));
        }
        if !self.idempotent && runs > 1 {
            return Some(format!("may run at most once, but ran {runs} times"));
        }
        let is_answered = self.outcome == Some(QueryOutcome::Complete);
        (is_answered && runs == 0).then(|| "the answer is complete, but nothing ran".to_owned())
    }
}

impl CheckedQuery<'_> {
    fn check_answer(&self, answer: &AnswerBody) -> Vec<String> {
        let mut violations = Vec::new();
        if answer.snapshot != self.manifest.snapshot {
            violations.push(format!(
                "snapshot {} is not that of the manifest",
                answer.snapshot
            ));
        }
        let coverage = &answer.coverage;
        let missing: HashSet<ShardId> = coverage.missing.iter().map(|shard| shard.shard).collect();
        let covered: Vec<ShardId> = self
            .requested
            .iter()
            .copied()
            .filter(|shard| !missing.contains(shard))
            .collect();
        let is_consistent = coverage.requested == self.requested.len()
            && coverage.answered == covered.len()
            && coverage.missing.len() == missing.len()
            && missing.iter().all(|shard| self.requested.contains(shard));
        if !is_consistent {
            violations.push(format!(
                "the coverage states {} answered and {} missing shards of {} requested ones",
                coverage.answered,
                coverage.missing.len(),
                self.requested.len()
            ));
        }
        let is_complete = answer.outcome == QueryOutcome::Complete;
        if is_complete != missing.is_empty() {
            violations.push(format!(
                "the outcome {} contradicts the coverage",
                answer.outcome
            ));
        }
        let expected = expected_rows::expected_rows(
            &self.template.merge,
            self.manifest,
            &covered,
            &self.parameters,
        );
        if answer.rows != expected {
            violations.push("the rows are not those of the covered shards".to_owned());
        }
        violations
    }
}

fn check_error(body: &ErrorBody) -> Vec<String> {
    let may_have_run = matches!(body.error.code.as_str(), "failed" | "unknown");
    let mut violations = Vec::new();
    if body.error.not_run == may_have_run {
        violations.push(format!(
            "the error code {} contradicts not_run {}",
            body.error.code, body.error.not_run
        ));
    }
    violations
}
