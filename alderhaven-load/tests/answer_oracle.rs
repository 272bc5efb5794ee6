//! The oracle accepts correct replies and detects each kind of violation.

mod common;

use std::sync::Arc;

use alderhaven_core::store_version::StoreVersion;
use alderhaven_load::answer_oracle::{
    self, AnswerOracle, ConfigObservation, LEAVING_GRACE, LeavingTarget,
};
use alderhaven_load::load_query::LoadQuery;
use alderhaven_load::query_reply::ReplyContent;
use alderhaven_load::violations::ViolationKind;
use alderhaven_standin::run_log::{RunRecord, RunStatus};
use common::{
    SHARD_COUNT, all_rows, all_shard_runs, build_query, complete_answer, duplicate_check, manifest,
    refusal, reply, reply_with_content, shard_rows, shard_run, target,
};
use serde_json::{Value, json};

fn check(query: &LoadQuery, runs: Vec<RunRecord>, body: &Value) -> Vec<ViolationKind> {
    let oracle = AnswerOracle::new(vec![manifest(1), manifest(2)], runs);
    oracle.check_reply(query, &reply(query, 10, body))
}

#[test]
fn check_complete_answer() {
    let query = duplicate_check(7, 0);
    assert_eq!(
        check(&query, all_shard_runs(&query, 1), &complete_answer(&query)),
        []
    );
}

#[test]
fn check_correct_partial_answer() {
    let query = duplicate_check(7, 0);
    let mut rows = shard_rows(&query, 0, 1);
    rows.extend(shard_rows(&query, 2, 1));
    let body = json!({
        "outcome": "partial",
        "rows": rows,
        "coverage": {"asked": 3, "answered": 2, "missing": [{"shard": 1, "reason": "late"}]},
        "snapshot": 1,
    });
    assert_eq!(check(&query, all_shard_runs(&query, 1), &body), []);
}

#[test]
fn check_merged_answers() {
    for template in ["ledger-audit", "ledger-review"] {
        let query = build_query(template, 3, 0);
        let mut body = complete_answer(&query);
        if template == "ledger-audit" {
            let sum: u64 = all_rows(&query, 1).iter().map(|row| row.score).sum();
            body["rows"] = json!([{ "score": sum }]);
        }
        assert_eq!(
            check(&query, all_shard_runs(&query, 1), &body),
            [],
            "{template}"
        );
    }
}

#[test]
fn check_wrong_sum() {
    let query = build_query("ledger-audit", 3, 0);
    let mut body = complete_answer(&query);
    body["rows"] = json!([{ "score": 1 }]);
    let found = check(&query, all_shard_runs(&query, 1), &body);
    assert_eq!(found, [ViolationKind::UntrueCoverage]);
}

#[test]
fn check_rows_of_another_version() {
    let query = duplicate_check(7, 0);
    let mut body = complete_answer(&query);
    let mut rows = shard_rows(&query, 0, 1);
    rows.extend(shard_rows(&query, 1, 2));
    rows.extend(shard_rows(&query, 2, 1));
    body["rows"] = json!(rows);
    let mut runs = all_shard_runs(&query, 1);
    runs.extend(all_shard_runs(&query, 2));
    let found = check(&query, runs, &body);
    assert_eq!(found, [ViolationKind::MixedSnapshot]);
}

#[test]
fn check_unpublished_snapshot() {
    let query = duplicate_check(7, 0);
    let mut body = complete_answer(&query);
    body["snapshot"] = json!(9);
    let found = check(&query, all_shard_runs(&query, 1), &body);
    assert_eq!(found, [ViolationKind::MixedSnapshot]);
}

#[test]
fn check_shard_without_rows() {
    let query = duplicate_check(7, 0);
    let mut body = complete_answer(&query);
    body["rows"] = json!(shard_rows(&query, 0, 1));
    let found = check(&query, all_shard_runs(&query, 1), &body);
    assert_eq!(found, [ViolationKind::UntrueCoverage]);
}

#[test]
fn check_shard_that_never_ran() {
    let query = duplicate_check(7, 0);
    let mut runs = all_shard_runs(&query, 1);
    runs[1].status = RunStatus::Expired;
    let found = check(&query, runs, &complete_answer(&query));
    assert_eq!(found, [ViolationKind::UntrueCoverage]);
}

#[test]
fn check_coverage_that_contradicts_itself() {
    let query = duplicate_check(7, 0);
    let reports = [
        json!({"asked": 2, "answered": 2, "missing": []}),
        json!({"asked": SHARD_COUNT, "answered": 2, "missing": []}),
        json!({"asked": SHARD_COUNT, "answered": 2, "missing": [{"shard": 1, "reason": "late"}]}),
    ];
    for report in reports {
        let mut body = complete_answer(&query);
        body["coverage"] = report;
        let found = check(&query, all_shard_runs(&query, 1), &body);
        assert_eq!(found, [ViolationKind::UntrueCoverage]);
    }
}

#[test]
fn check_rows_of_another_query() {
    let (query, other) = (duplicate_check(7, 0), duplicate_check(8, 0));
    let found = check(&query, all_shard_runs(&query, 1), &complete_answer(&other));
    assert_eq!(found, [ViolationKind::Crossed]);
}

#[test]
fn check_refusal_after_run() {
    let query = duplicate_check(7, 0);
    assert_eq!(check(&query, Vec::new(), &refusal()), []);
    let mut run = shard_run(&query, 1, 1);
    run.status = RunStatus::Cancelled;
    let found = check(&query, vec![run], &refusal());
    assert_eq!(found, [ViolationKind::FalseNotRun]);
}

#[test]
fn check_second_run_of_non_idempotent_query() {
    let mut query = duplicate_check(7, 0);
    let runs = vec![shard_run(&query, 1, 1), shard_run(&query, 1, 1)];
    let body = json!({"error": {"code": "unknown", "message": "lost", "not_run": false}});
    assert_eq!(check(&query, runs.clone(), &body), []);
    Arc::make_mut(&mut query.workload_template)
        .template
        .idempotent = false;
    assert_eq!(check(&query, runs, &body), [ViolationKind::DoubleRun]);
}

#[test]
fn check_cut_connection() {
    let query = duplicate_check(7, 0);
    let oracle = AnswerOracle::new(vec![manifest(1)], Vec::new());
    let aborted = reply_with_content(&query, 10, ReplyContent::Aborted);
    assert_eq!(
        oracle.check_reply(&query, &aborted),
        [ViolationKind::CutInFlight]
    );
    let unsent = reply_with_content(&query, 10, ReplyContent::Unsent);
    assert_eq!(oracle.check_reply(&query, &unsent), []);
}

#[test]
fn runs_after_leaving_beyond_grace() {
    let query = duplicate_check(7, 0);
    let leaving = LeavingTarget {
        target: target(1),
        leaving_since_us: 500,
    };
    let limit = 500 + LEAVING_GRACE.as_micros();
    let started_at = |shard, started_us| RunRecord {
        started_us,
        ..shard_run(&query, shard, 1)
    };
    let records = [
        started_at(0, limit + 1),
        started_at(1, limit),
        started_at(1, limit + 1),
    ];
    assert_eq!(
        answer_oracle::count_runs_after_leaving(&records, &[leaving]),
        1
    );
}

#[test]
fn config_reversions_per_node() {
    let observation = |node: &str, revision| ConfigObservation {
        node: node.parse().unwrap(),
        revision: StoreVersion::of_revision(revision),
    };
    let ascending = [
        observation("entry-1", 3),
        observation("entry-2", 2),
        observation("entry-1", 4),
        observation("entry-2", 4),
    ];
    assert_eq!(answer_oracle::count_config_reversions(&ascending), 0);
    let reverted = [observation("entry-1", 4), observation("entry-1", 3)];
    assert_eq!(answer_oracle::count_config_reversions(&reverted), 1);
}
