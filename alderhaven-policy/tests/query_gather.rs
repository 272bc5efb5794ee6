//! Tests of the gathering of one query: which attempts count as retries.

use std::sync::Arc;

use alderhaven_core::ids::{IndexVersion, SnapshotId};
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_core::outcome::{AttemptOutcome, NotRunReason};
use alderhaven_policy::query_gather::{AttemptResult, QueryGather};
use serde_json::{Value, json};

/// Returns a query of one shard with this many replicas.
fn gather(replicas: usize) -> QueryGather {
    let replica = |number: usize| {
        json!({
            "target": format!("stock-0-{number}"), "address": "127.0.0.1:9",
            "domain": format!("domain-{number}"), "slots": 2, "connections": 25,
        })
    };
    let replicas: Vec<Value> = (0..replicas).map(replica).collect();
    let manifest = json!({
        "service": "stock", "snapshot": 1,
        "shards": [{ "shard": 0, "version": 1, "first_key": "0", "replicas": replicas }],
    });
    let manifest: SnapshotManifest = serde_json::from_value(manifest).expect("a manifest");
    QueryGather::new(Arc::new(manifest), &[0], true)
}

/// Returns the retries after attempts at these replicas, each a hedge or not, ended like this.
fn retries_after(attempts: &[(usize, bool, AttemptOutcome)]) -> u32 {
    let mut gather = gather(5);
    for (sequence, (replica, is_hedge, outcome)) in (0..).zip(attempts) {
        gather.begin_attempt(0, *replica, sequence, *is_hedge);
        let _event = gather.accept(
            sequence,
            AttemptResult {
                snapshot: SnapshotId(1),
                version: IndexVersion(1),
                ..AttemptResult::without_rows(*outcome)
            },
        );
    }
    gather.retries(0)
}

const NOT_SENT: AttemptOutcome = AttemptOutcome::NotRun(NotRunReason::NotSent);
const QUEUE_FULL: AttemptOutcome = AttemptOutcome::NotRun(NotRunReason::QueueFull);

/// Guards against giving up a shard whose slow replicas had no free slot for its hedges.
#[test]
fn retries_refused_hedges_do_not_count() {
    let refused = (2, true, QUEUE_FULL);
    let lost = (0, false, AttemptOutcome::Unknown);
    assert_eq!(retries_after(&[lost, refused, refused, refused]), 0);
    assert_eq!(retries_after(&[lost, refused, (1, false, QUEUE_FULL)]), 1);
}

/// Guards against giving up a shard because two of its replicas are gone.
#[test]
fn retries_unsent_attempts_do_not_count() {
    let unsent = |replica| (replica, false, NOT_SENT);
    assert_eq!(retries_after(&[unsent(1), unsent(0)]), 0);
    let refused_hedge = (2, true, QUEUE_FULL);
    assert_eq!(retries_after(&[unsent(1), unsent(0), refused_hedge]), 0);
    let failed = (3, false, AttemptOutcome::Failed);
    assert_eq!(retries_after(&[unsent(1), unsent(0), failed, failed]), 1);
}

/// Guards against retries without an end at a replica to which nothing can be sent.
#[test]
fn retries_repeated_unsent_attempts_count() {
    let unsent = (0, false, NOT_SENT);
    assert_eq!(retries_after(&[unsent, unsent, unsent, unsent]), 2);
}

#[test]
fn retries_attempts_that_may_have_run_count() {
    let lost = |replica| (replica, false, AttemptOutcome::Unknown);
    assert_eq!(retries_after(&[lost(0)]), 0);
    assert_eq!(retries_after(&[lost(0), lost(1), lost(2)]), 2);
    assert_eq!(
        retries_after(&[lost(0), (1, true, AttemptOutcome::Failed)]),
        1
    );
}
