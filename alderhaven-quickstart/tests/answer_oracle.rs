//! Tests that the oracle accepts correct replies and detects each kind of violation.

use std::net::SocketAddr;

use alderhaven_core::coverage::{CoverageReport, MissingReason, MissingShard};
use alderhaven_core::ids::{AttemptId, IndexVersion, ShardId, SnapshotId};
use alderhaven_core::manifest::{ReplicaEntry, ShardEntry, SnapshotManifest};
use alderhaven_core::outcome::QueryOutcome;
use alderhaven_core::template::QueryTemplate;
use alderhaven_quickstart::answer_oracle::AnswerOracle;
use alderhaven_quickstart::example_objects;
use alderhaven_quickstart::expected_rows::expected_rows;
use alderhaven_quickstart::query_reply::{
    AnswerBody, ErrorBody, ErrorPart, QueryReply, TimingBody,
};
use alderhaven_quickstart::sample_query::SampleQuery;
use alderhaven_quickstart::sample_source::SampleSource;
use alderhaven_standin::run_log::{RunRecord, RunStatus};
use smallvec::smallvec;

const SHARD_COUNT: u32 = 3;

/// A query of a template, with the objects that a correct answer depends on.
struct OracleCase {
    query: SampleQuery,
    template: QueryTemplate,
    manifest: SnapshotManifest,
    parameters: String,
}

impl OracleCase {
    fn for_template(template: &str) -> Self {
        let mut source = SampleSource::new(1);
        let query = std::iter::repeat_with(|| source.next_query().unwrap())
            .take(11)
            .find(|query| query.template.as_str() == template)
            .unwrap();
        let template = example_objects::load()
            .unwrap()
            .templates
            .into_iter()
            .find(|known| known.name == query.template)
            .unwrap();
        let values = template
            .bind(&query.team, query.parameters.clone())
            .unwrap();
        Self {
            manifest: build_manifest(&template),
            parameters: values.canonical_json(),
            template,
            query,
        }
    }

    fn oracle(&self) -> AnswerOracle {
        AnswerOracle::new(
            std::slice::from_ref(&self.template),
            std::slice::from_ref(&self.manifest),
        )
    }

    fn correct_answer(&self) -> AnswerBody {
        let shards: Vec<ShardId> = (0..SHARD_COUNT).map(ShardId).collect();
        AnswerBody {
            outcome: QueryOutcome::Complete,
            rows: expected_rows(
                &self.template.merge,
                &self.manifest,
                &shards,
                &self.parameters,
            ),
            coverage: CoverageReport {
                requested: shards.len(),
                answered: shards.len(),
                missing: Vec::new(),
            },
            snapshot: SnapshotId(4),
            timing: TimingBody {
                total_us: 1,
                slowest_target_us: 1,
                attempts: 3,
            },
        }
    }

    fn violation_count(&self, answer: AnswerBody) -> usize {
        let reply = QueryReply::Answer(answer);
        let violations = self.oracle().check_reply(&self.query, &reply).unwrap();
        violations.len()
    }

    fn run_record(&self, sequence: u64) -> RunRecord {
        RunRecord {
            target: "desk-0-0".parse().unwrap(),
            attempt: AttemptId {
                origin: 1,
                sequence,
            },
            service: self.template.service.clone(),
            template: self.template.name.to_string(),
            snapshot: SnapshotId(4),
            shard: ShardId(0),
            version: IndexVersion(2),
            parameters: self.parameters.clone(),
            started_us: 1,
            ended_us: 2,
            status: RunStatus::Answered,
        }
    }
}

fn build_manifest(template: &QueryTemplate) -> SnapshotManifest {
    let entry = |shard| ShardEntry {
        shard: ShardId(shard),
        version: IndexVersion(2),
        first_key: String::new(),
        replicas: smallvec![ReplicaEntry {
            target: "desk-0-0".parse().unwrap(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            domain: "accra-1".parse().unwrap(),
            slots: 2,
            connections: 25,
        }],
    };
    SnapshotManifest {
        service: template.service.clone(),
        snapshot: SnapshotId(4),
        shards: (0..SHARD_COUNT).map(entry).collect(),
    }
}

fn overload_reply() -> QueryReply {
    QueryReply::Error(ErrorBody {
        error: ErrorPart {
            code: "overloaded".to_owned(),
            message: "too much".to_owned(),
            not_run: true,
            retry_after_ms: None,
        },
        coverage: None,
    })
}

#[test]
fn check_reply_correct_answer() {
    for template in ["duplicate-check", "title-lookup", "find-alternative"] {
        let case = OracleCase::for_template(template);
        assert_eq!(case.violation_count(case.correct_answer()), 0, "{template}");
    }
}

#[test]
fn check_reply_rows_of_another_query() {
    let case = OracleCase::for_template("duplicate-check");
    let mut answer = case.correct_answer();
    answer.rows = expected_rows(
        &case.template.merge,
        &case.manifest,
        &[ShardId(0), ShardId(1), ShardId(2)],
        r#"{"title":"another"}"#,
    );
    assert_eq!(case.violation_count(answer), 1);
}

#[test]
fn check_reply_missing_and_duplicate_rows() {
    let case = OracleCase::for_template("duplicate-check");
    let mut answer = case.correct_answer();
    answer.rows.pop();
    assert_eq!(case.violation_count(answer), 1);
    let mut answer = case.correct_answer();
    answer.rows.push(answer.rows[0].clone());
    assert_eq!(case.violation_count(answer), 1);
}

#[test]
fn check_reply_wrong_coverage() {
    let case = OracleCase::for_template("duplicate-check");
    let mut answer = case.correct_answer();
    answer.coverage.answered = 2;
    answer.outcome = QueryOutcome::Partial;
    assert!(
        case.violation_count(answer) > 0,
        "one shard is neither answered nor missing"
    );
    let mut answer = case.correct_answer();
    answer.coverage.answered = 2;
    answer.coverage.missing = vec![MissingShard {
        shard: ShardId(1),
        reason: MissingReason::Late,
    }];
    assert!(
        case.violation_count(answer) > 0,
        "the outcome is complete although a shard is missing"
    );
}

#[test]
fn check_reply_other_snapshot() {
    let case = OracleCase::for_template("duplicate-check");
    let mut answer = case.correct_answer();
    answer.snapshot = SnapshotId(3);
    assert_eq!(case.violation_count(answer), 1);
}

#[test]
fn check_reply_unknown_with_not_run() {
    let case = OracleCase::for_template("duplicate-check");
    let QueryReply::Error(mut body) = overload_reply() else {
        unreachable!("a refusal is an error");
    };
    body.error.code = "unknown".to_owned();
    let reply = QueryReply::Error(body);
    let violations = case.oracle().check_reply(&case.query, &reply).unwrap();
    assert_eq!(violations.len(), 1);
}

#[test]
fn check_runs_not_run_that_ran() {
    let case = OracleCase::for_template("assign-isbn");
    let mut oracle = case.oracle();
    assert!(
        oracle
            .check_reply(&case.query, &overload_reply())
            .unwrap()
            .is_empty()
    );
    assert!(oracle.check_runs().is_empty());
    oracle.record_runs(vec![case.run_record(1)]);
    assert_eq!(oracle.check_runs().len(), 1);
}

#[test]
fn check_runs_second_run() {
    let case = OracleCase::for_template("assign-isbn");
    let mut oracle = case.oracle();
    let reply = QueryReply::Unreadable("cut".to_owned());
    let _unreadable = oracle.check_reply(&case.query, &reply).unwrap();
    oracle.record_runs(vec![case.run_record(1)]);
    assert!(oracle.check_runs().is_empty());
    oracle.record_runs(vec![case.run_record(2)]);
    assert_eq!(oracle.check_runs().len(), 1);
}

#[test]
fn check_runs_unrequested_run() {
    let case = OracleCase::for_template("duplicate-check");
    let mut oracle = case.oracle();
    oracle.record_runs(vec![case.run_record(1)]);
    assert_eq!(oracle.check_runs().len(), 1);
}
