//! Tests that all rows of an answer are of one snapshot.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use alderhaven_core::ids::{IndexVersion, SnapshotId};
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_core::time::TimeSpan;
use alderhaven_proof::caller::{CallerQuery, CallerReply};
use alderhaven_proof::cluster::TestCluster;
use alderhaven_proof::cluster_options::{ClusterOptions, FAN_OUT_TEMPLATE};
use alderhaven_proof::condition;
use alderhaven_standin::service_layout::ServiceLayout;
use futures::future;
use tokio::task::JoinHandle;

use crate::support;

/// The number of concurrent callers at each entry.
const CALLERS_PER_ENTRY: usize = 4;
/// The most queries that a caller sends.
const MAX_QUERIES: usize = 5_000;

/// The number of queries that wait for a complete manifest.
const RESTARTED_QUERIES: usize = 12;

/// Checks that an answer contains exactly the rows of its snapshot over the shards that it covers,
/// and that it is complete only if it covers all.
fn assert_one_snapshot(query: &CallerQuery, reply: &CallerReply, manifests: &[SnapshotManifest]) {
    let snapshot = reply.body["snapshot"].as_u64().unwrap();
    let manifest = manifests
        .iter()
        .find(|manifest| manifest.snapshot == SnapshotId(snapshot))
        .unwrap_or_else(|| panic!("snapshot {snapshot} is in no published manifest"));
    let missing = reply.missing_shards();
    let covered: Vec<u32> = manifest
        .shards
        .iter()
        .map(|entry| entry.shard.0)
        .filter(|shard| !missing.contains(&u64::from(*shard)))
        .collect();
    let rows = query.expected_rows(manifest, &covered);
    assert_eq!(reply.body["rows"], rows, "{}", reply.body);
    assert_eq!(
        reply.outcome_or_code() == "complete",
        missing.is_empty(),
        "{}",
        reply.body
    );
}

/// Sends sequential queries to an entry until `stop_flag` is set, and returns all replies.
fn spawn_query_loop(
    entry: SocketAddr,
    caller: usize,
    stop_flag: Arc<AtomicBool>,
) -> JoinHandle<Vec<(CallerQuery, CallerReply)>> {
    tokio::spawn(async move {
        let mut replies = Vec::new();
        while replies.len() < MAX_QUERIES && !stop_flag.load(Ordering::Relaxed) {
            let query = support::build_query(
                FAN_OUT_TEMPLATE,
                &format!("sweep-{caller}-{}", replies.len()),
            );
            let reply = query.send(entry).await.unwrap();
            replies.push((query, reply));
        }
        replies
    })
}

fn layout_with_version(options: &ClusterOptions, version: u64) -> ServiceLayout {
    ServiceLayout {
        version: IndexVersion(version),
        ..options.layout().unwrap()
    }
}

/// Waits until an entry gives a complete answer of a snapshot.
async fn await_snapshot(entry: SocketAddr, manifests: &[SnapshotManifest], snapshot: u64) {
    condition::until(&format!("an answer of snapshot {snapshot}"), async || {
        let query = support::build_query(FAN_OUT_TEMPLATE, "which");
        let reply = query.send(entry).await?;
        assert_one_snapshot(&query, &reply, manifests);
        let found = reply.outcome_or_code() == "complete" && reply.body["snapshot"] == snapshot;
        Ok(found.then_some(()))
    })
    .await
    .unwrap();
}

/// A new index version is published during queries through two entries, and the hosts of the older
/// version are killed with attempts in flight. No answer mixes rows of both versions, and no entry
/// answers a caller with the older snapshot after the newer one.
#[tokio::test(flavor = "multi_thread")]
async fn snapshot_published_while_queries_run() {
    let options = ClusterOptions::builder()
        .entries(2)
        .run_time(TimeSpan::from_millis(200))
        .spread(0.5)
        .deadline(TimeSpan::from_secs(3))
        .build();
    let mut cluster = support::start_cluster(options.clone()).await;
    let older_count = cluster.targets.len();
    let layout = layout_with_version(&options, 2);
    let newer_manifest = cluster
        .start_version(&options, &layout, SnapshotId(2))
        .unwrap();
    let manifests = [cluster.manifest.clone(), newer_manifest];
    let entries = [
        cluster.entry_address(0).unwrap(),
        cluster.entry_address(1).unwrap(),
    ];
    for entry in entries {
        await_snapshot(entry, &manifests, 1).await;
    }
    let stop_flag = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..2 * CALLERS_PER_ENTRY)
        .map(|caller| spawn_query_loop(entries[caller % 2], caller, Arc::clone(&stop_flag)))
        .collect();
    condition::until("each caller's fourth query", async || {
        for caller in 0..callers.len() {
            let query = support::build_query(FAN_OUT_TEMPLATE, &format!("sweep-{caller}-3"));
            if cluster.runs(&query).await?.is_empty() {
                return Ok(None);
            }
        }
        Ok(Some(()))
    })
    .await
    .unwrap();
    // The entries have the newer manifest while queries for the older one are still in flight.
    let version = cluster.publish_manifest(&manifests[1]).await.unwrap();
    cluster.await_in_force(version).await.unwrap();
    for target in &mut cluster.targets[..older_count] {
        target.kill().unwrap();
    }
    for entry in entries {
        await_snapshot(entry, &manifests, 2).await;
    }
    stop_flag.store(true, Ordering::Relaxed);
    for caller in callers {
        let mut newest = 0;
        for (query, reply) in caller.await.unwrap() {
            if !reply.status.is_success() {
                // All hosts of the pinned snapshot were killed before or during the query.
                assert!(
                    ["failed", "overloaded"].contains(&reply.outcome_or_code()),
                    "{}",
                    reply.body
                );
                continue;
            }
            assert_one_snapshot(&query, &reply, &manifests);
            let snapshot = reply.body["snapshot"].as_u64().unwrap();
            assert!(snapshot >= newest, "{snapshot} after {newest}");
            newest = snapshot;
        }
        assert_eq!(newest, 2, "the caller got an answer of the newer snapshot");
    }
}

/// A manifest is published for which the named hosts lack half of the shards. Queries wait for a
/// newer manifest and are restarted on it for all shards, and answers have rows of that one alone.
#[tokio::test(flavor = "multi_thread")]
async fn snapshot_incomplete_restarts_query() {
    let options = ClusterOptions::builder().build();
    let mut cluster = support::start_cluster(options.clone()).await;
    let entry = cluster.entry_address(0).unwrap();
    let layout = layout_with_version(&options, 2);
    let complete = cluster
        .start_version(&options, &layout, SnapshotId(3))
        .unwrap();
    // Shards 0 and 1 are available in version 2; for 2 and 3 the manifest names hosts of version 1.
    let mut incomplete = SnapshotManifest {
        snapshot: SnapshotId(2),
        ..complete.clone()
    };
    for shard in [2, 3] {
        incomplete.shards[shard].replicas = cluster.manifest.shards[shard].replicas.clone();
    }
    let version = cluster.publish_manifest(&incomplete).await.unwrap();
    cluster.await_in_force(version).await.unwrap();
    let queries: Vec<CallerQuery> = (0..RESTARTED_QUERIES)
        .map(|number| support::build_query(FAN_OUT_TEMPLATE, &format!("restarted-{number}")))
        .collect();
    let pending_replies = tokio::spawn({
        let queries = queries.clone();
        async move { future::join_all(queries.iter().map(|query| query.send(entry))).await }
    });
    // The available shards run for the incomplete snapshot before the complete one is published.
    condition::until("runs for the incomplete snapshot", async || {
        for query in &queries {
            if cluster.runs(query).await?.len() < 2 {
                return Ok(None);
            }
        }
        Ok(Some(()))
    })
    .await
    .unwrap();
    cluster.publish_manifest(&complete).await.unwrap();
    let manifests = [complete];
    let mut repeats = 0;
    for (query, reply) in queries.iter().zip(pending_replies.await.unwrap()) {
        let reply = reply.unwrap();
        assert_eq!(reply.outcome_or_code(), "complete", "{}", reply.body);
        assert_eq!(reply.body["snapshot"], 3);
        assert_one_snapshot(query, &reply, &manifests);
        let runs = cluster.runs(query).await.unwrap();
        let complete_runs = runs.iter().filter(|run| run.snapshot == SnapshotId(3));
        let shards: Vec<u32> = complete_runs.map(|run| run.shard.0).collect();
        let ran: BTreeSet<u32> = shards.iter().copied().collect();
        assert_eq!(
            ran,
            BTreeSet::from([0, 1, 2, 3]),
            "each shard ran for the newer snapshot"
        );
        repeats += shards.len() - ran.len();
    }
    // A late attempt is hedged, so that a shard may run a second time, at another replica.
    let hedges = metric_value(&cluster, "alderhaven_entry_hedges_total ").await;
    assert!(
        repeats <= hedges,
        "{repeats} repeated runs, but only {hedges} hedges"
    );
    let restarts = metric_value(&cluster, "alderhaven_entry_snapshot_restarts_total ").await;
    assert_eq!(restarts, RESTARTED_QUERIES);
}

/// Returns a counter from the metrics of the first entry. `name` is its line up to the value.
async fn metric_value(cluster: &TestCluster, name: &str) -> usize {
    let operator = cluster.entries[0].address("operator").unwrap();
    let metrics = alderhaven_proof::operator_view::get_text(operator, "/metrics").await;
    let metrics = metrics.unwrap();
    let line = metrics.lines().find_map(|line| line.strip_prefix(name));
    line.unwrap().parse().unwrap()
}
