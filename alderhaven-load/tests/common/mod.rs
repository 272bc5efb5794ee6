//! Hand-made queries, manifests, runs and replies.
#![allow(dead_code, reason = "each test crate uses a part")]

use std::sync::Arc;

use alderhaven_core::ids::{AttemptId, IndexVersion, ServiceName, ShardId, SnapshotId, TargetId};
use alderhaven_core::manifest::{ReplicaEntry, ShardEntry, SnapshotManifest};
use alderhaven_core::time::TimeSpan;
use alderhaven_load::load_query::{LoadQuery, QueryGroup};
use alderhaven_load::query_reply::{QueryReply, ReplyContent};
use alderhaven_load::workload::Workload;
use alderhaven_standin::rows::{DerivedRow, derive_rows};
use alderhaven_standin::run_log::{RunRecord, RunStatus};
use alderhaven_standin::service_layout::DeploymentKind;
use bytes::Bytes;
use serde_json::{Value, json};

pub const SHARD_COUNT: u32 = 3;

/// Returns an urgent query of all shards with concatenated rows, due at `due_ms`.
pub fn duplicate_check(number: u64, due_ms: u64) -> LoadQuery {
    build_query("duplicate-check", number, due_ms)
}

pub fn build_query(template: &str, number: u64, due_ms: u64) -> LoadQuery {
    let workload = Workload::for_deployment(DeploymentKind::Volta).unwrap();
    let workload_template = workload
        .mix
        .into_iter()
        .find(|workload_template| workload_template.template.name.as_str() == template)
        .unwrap();
    let parameters = serde_json::from_value(json!({ "title": format!("q{number:06}") })).unwrap();
    LoadQuery {
        number,
        due_at: TimeSpan::from_millis(due_ms),
        team: "publishers".parse().unwrap(),
        parameters,
        workload_template: Arc::new(workload_template),
        group: QueryGroup::Base,
        entry_index: None,
    }
}

pub fn service() -> ServiceName {
    "assignment-desk".parse().unwrap()
}

/// Returns a manifest of [`SHARD_COUNT`] shards, whose index version is the snapshot's number.
pub fn manifest(snapshot: u64) -> SnapshotManifest {
    let shards = (0..SHARD_COUNT).map(|shard| ShardEntry {
        shard: ShardId(shard),
        version: IndexVersion(snapshot),
        first_key: String::new(),
        replicas: [ReplicaEntry {
            target: target(shard),
            address: "127.0.0.1:1".parse().unwrap(),
            domain: "accra-1".parse().unwrap(),
            slots: 2,
            connections: 25,
        }]
        .into_iter()
        .collect(),
    });
    SnapshotManifest {
        service: service(),
        snapshot: SnapshotId(snapshot),
        shards: shards.collect(),
    }
}

pub fn target(shard: u32) -> TargetId {
    format!("assignment-desk-{shard}-0").parse().unwrap()
}

pub fn shard_run(query: &LoadQuery, shard: u32, snapshot: u64) -> RunRecord {
    RunRecord {
        target: target(shard),
        attempt: AttemptId {
            origin: 1,
            sequence: query.number * 100 + u64::from(shard),
        },
        service: service(),
        template: query.workload_template.template.name.to_string(),
        snapshot: SnapshotId(snapshot),
        shard: ShardId(shard),
        version: IndexVersion(snapshot),
        parameters: query.parameters.canonical_json(),
        started_us: 1_000,
        ended_us: 2_000,
        status: RunStatus::Answered,
    }
}

pub fn all_shard_runs(query: &LoadQuery, snapshot: u64) -> Vec<RunRecord> {
    (0..SHARD_COUNT)
        .map(|shard| shard_run(query, shard, snapshot))
        .collect()
}

pub fn shard_rows(query: &LoadQuery, shard: u32, version: u64) -> Vec<DerivedRow> {
    let parameters = query.parameters.canonical_json();
    derive_rows(
        &service(),
        ShardId(shard),
        IndexVersion(version),
        &parameters,
    )
}

pub fn all_rows(query: &LoadQuery, version: u64) -> Vec<DerivedRow> {
    (0..SHARD_COUNT)
        .flat_map(|shard| shard_rows(query, shard, version))
        .collect()
}

pub fn complete_answer(query: &LoadQuery) -> Value {
    json!({
        "outcome": "complete",
        "rows": all_rows(query, 1),
        "coverage": {"asked": SHARD_COUNT, "answered": SHARD_COUNT, "missing": []},
        "snapshot": 1,
    })
}

pub fn refusal() -> Value {
    json!({"error": {"code": "overloaded", "message": "full", "not_run": true}})
}

/// Returns a reply with `body` that arrives `latency_ms` after the query was due.
pub fn reply(query: &LoadQuery, latency_ms: u64, body: &Value) -> QueryReply {
    reply_with_content(
        query,
        latency_ms,
        ReplyContent::Body(Bytes::from(body.to_string())),
    )
}

pub fn reply_with_content(query: &LoadQuery, latency_ms: u64, content: ReplyContent) -> QueryReply {
    QueryReply {
        sent_at: query.due_at,
        ended_at: query.due_at + TimeSpan::from_millis(latency_ms),
        content,
    }
}
