//! Tests that each answer states correctly which shards it covers.

use alderhaven_core::time::TimeSpan;
use alderhaven_proof::cluster_options::{ClusterOptions, FAN_OUT_TEMPLATE};
use alderhaven_proof::condition;

use crate::support;

/// A service time that is long enough to inject a fault during a query.
const LONG_RUN_TIME: TimeSpan = TimeSpan::from_millis(300);

/// A host with one replica of each shard is killed during a query. The answer is complete: attempts
/// that were lost are repeated at the other replicas.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_replica_killed_mid_query() {
    let options = ClusterOptions::builder().run_time(LONG_RUN_TIME).build();
    let mut cluster = support::start_cluster(options).await;
    let entry = cluster.entry_address(0).unwrap();
    // The replica of a shard is chosen at random; with four queries the host is almost certain to
    // get a run.
    let query = support::build_query(FAN_OUT_TEMPLATE, "killed");
    let pending_replies = tokio::spawn({
        let query = query.clone();
        async move { futures::future::join_all((0..4).map(|_| query.send(entry))).await }
    });
    cluster.await_runs_at(0, &query, 1).await.unwrap();
    cluster.targets[0].kill().unwrap();
    for reply in pending_replies.await.unwrap() {
        let reply = reply.unwrap();
        assert_eq!(reply.outcome_or_code(), "complete", "{}", reply.body);
        let all = cluster.all_shards();
        assert_eq!(reply.body["rows"], cluster.expected_rows(&query, &all));
    }
}

/// A host with one replica of each shard is dead and refuses connections. Every answer is complete,
/// from the other replicas.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_replica_refuses_connections() {
    let mut cluster = support::start_cluster(ClusterOptions::builder().build()).await;
    cluster.targets[0].kill().unwrap();
    let entry = cluster.entry_address(0).unwrap();
    for number in 0..20 {
        let query = support::build_query(FAN_OUT_TEMPLATE, &format!("refused-{number}"));
        let reply = query.send(entry).await.unwrap();
        assert_eq!(reply.outcome_or_code(), "complete", "{}", reply.body);
        let all = cluster.all_shards();
        assert_eq!(reply.body["rows"], cluster.expected_rows(&query, &all));
    }
}

/// Both hosts with replicas of shard 2 are killed. Answers are partial, declare exactly shard 2
/// missing and contain exactly the rows of the other shards.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_all_replicas_killed() {
    let placement = vec![vec![0, 1], vec![0, 1], vec![2, 3], vec![0, 1]];
    let options = ClusterOptions::builder().placement(placement).build();
    let mut cluster = support::start_cluster(options).await;
    let entry = cluster.entry_address(0).unwrap();
    let before = support::build_query(FAN_OUT_TEMPLATE, "before")
        .send(entry)
        .await
        .unwrap();
    assert_eq!(before.outcome_or_code(), "complete", "{}", before.body);
    cluster.targets[2].kill().unwrap();
    cluster.targets[3].kill().unwrap();
    for number in 0..5 {
        let query = support::build_query(FAN_OUT_TEMPLATE, &format!("gone-{number}"));
        let reply = query.send(entry).await.unwrap();
        assert_eq!(reply.outcome_or_code(), "partial", "{}", reply.body);
        assert_eq!(reply.missing_shards(), [2]);
        assert_eq!(reply.body["coverage"]["asked"], 4);
        assert_eq!(reply.body["coverage"]["answered"], 3);
        assert_eq!(
            reply.body["rows"],
            cluster.expected_rows(&query, &[0, 1, 3])
        );
    }
}

/// A relay is killed while it has attempts of a query in flight. The entry can't know which of them
/// ran, and repeats them through the other relay, since the query is idempotent. The answer is
/// complete.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_relay_killed_mid_query() {
    let options = ClusterOptions::builder().run_time(LONG_RUN_TIME).build();
    let mut cluster = support::start_cluster(options).await;
    let entry = cluster.entry_address(0).unwrap();
    let query = support::build_query(FAN_OUT_TEMPLATE, "relay-killed");
    let pending_replies = tokio::spawn({
        let query = query.clone();
        async move { futures::future::join_all((0..4).map(|_| query.send(entry))).await }
    });
    let busy_relay = cluster.await_busy_relay().await.unwrap();
    cluster.relays[busy_relay].kill().unwrap();
    for reply in pending_replies.await.unwrap() {
        let reply = reply.unwrap();
        assert_eq!(reply.outcome_or_code(), "complete", "{}", reply.body);
        let all = cluster.all_shards();
        assert_eq!(reply.body["rows"], cluster.expected_rows(&query, &all));
    }
}

/// A relay is suspended, and the entry never replaces its silent link. Each shard has one replica, so
/// that the relay's shards are unreachable. Answers at the deadline declare exactly these shards
/// missing. After the relay has resumed, late replies get into no later answer, and answers are
/// complete again.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_relay_frozen() {
    let deadline = TimeSpan::from_secs(1);
    let options = ClusterOptions::builder()
        .placement(vec![vec![0], vec![1], vec![0], vec![1]])
        .deadline(deadline)
        .link_silence(TimeSpan::ZERO)
        .build();
    let cluster = support::start_cluster(options).await;
    let entry = cluster.entry_address(0).unwrap();
    let frozen_relay = support::relay_with_most_targets(&cluster).await;
    let frozen_shards = support::shards_of_relay(&cluster, frozen_relay).await;
    cluster.relays[frozen_relay].freeze().unwrap();
    condition::until(
        "an answer without the suspended relay's shards",
        async || {
            let query = support::build_query(FAN_OUT_TEMPLATE, "frozen");
            let reply = query.send(entry).await?;
            let missing = reply.missing_shards();
            let covered: Vec<u32> = cluster
                .all_shards()
                .into_iter()
                .filter(|shard| !missing.contains(&u64::from(*shard)))
                .collect();
            if reply.status.is_success() {
                assert_eq!(reply.body["rows"], cluster.expected_rows(&query, &covered));
                assert_eq!(reply.outcome_or_code() == "complete", missing.is_empty());
            } else {
                assert_eq!(missing.len(), 4, "{}", reply.body);
            }
            if !missing.is_empty() {
                assert_eq!(missing, frozen_shards, "{}", reply.body);
            }
            Ok((!missing.is_empty()).then_some(()))
        },
    )
    .await
    .unwrap();
    cluster.relays[frozen_relay].resume().unwrap();
    condition::until("a complete answer", async || {
        let query = support::build_query(FAN_OUT_TEMPLATE, "resumed");
        let reply = query.send(entry).await?;
        if reply.outcome_or_code() == "complete" {
            let all = cluster.expected_rows(&query, &cluster.all_shards());
            assert_eq!(reply.body["rows"], all);
        }
        Ok((reply.outcome_or_code() == "complete").then_some(()))
    })
    .await
    .unwrap();
}

/// A relay is suspended. The entry detects that its link is silent, repeats the attempts through
/// the other relay and gives a complete answer while the relay is still suspended.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_relay_frozen_link_replaced() {
    let cluster = support::start_cluster(ClusterOptions::builder().build()).await;
    let entry = cluster.entry_address(0).unwrap();
    let frozen_relay = support::relay_with_most_targets(&cluster).await;
    cluster.relays[frozen_relay].freeze().unwrap();
    let query = support::build_query(FAN_OUT_TEMPLATE, "left");
    let reply = query.send(entry).await.unwrap();
    assert_eq!(reply.outcome_or_code(), "complete", "{}", reply.body);
    let all = cluster.expected_rows(&query, &cluster.all_shards());
    assert_eq!(reply.body["rows"], all);
    cluster.relays[frozen_relay].resume().unwrap();
}
