//! Proofs that each answer states truly which shards it covers.

use alderhaven_core::time::TimeSpan;
use alderhaven_proof::cluster_options::{ClusterOptions, FAN_OUT_TEMPLATE};
use alderhaven_proof::condition;

use crate::support;

/// The run time at targets in proofs that act while a query runs.
const LONG_RUN_TIME: TimeSpan = TimeSpan::from_millis(300);

/// A caller sweeps all shards, and a host with one replica of each shard dies while it works on the
/// query. The caller sees a complete answer all the same: the shards whose attempts were lost are
/// asked again at their other replica. Without that the dead host's shards would be missing.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_replica_killed_mid_query() {
    let options = ClusterOptions::builder().run_time(LONG_RUN_TIME).build();
    let mut cluster = support::start_cluster(options).await;
    let entry = cluster.entry_address(0).unwrap();
    // The replica of a shard is chosen at random: sweeps are sent until the dying host has a run.
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

/// A host with one replica of each shard is dead when queries come, and new connections to it are
/// refused. Every caller sees a complete answer through the other replicas, query after query.
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

/// Both hosts that hold replicas of shard 2 die. Callers see a partial answer that names exactly
/// shard 2 as missing and holds exactly the rows of the others. An answer that called itself
/// complete would hide whatever shard 2 holds.
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

/// A relay is killed while it holds attempts of a query. The entry loses the connection, can't know
/// what the targets did, and asks the shards again through the other relay, since a sweep may be
/// repeated. The caller sees a complete answer.
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

/// A relay is frozen: its connections stay open and nothing comes back. The entry keeps its link, so
/// that the relay's shards stay out of reach. Whatever an answer holds by its deadline, its coverage
/// is true: it is partial, the rows are exactly those of the shards that it does not name as
/// missing. Once the relay goes on, late replies join no later answer and answers are complete again.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_relay_frozen() {
    let deadline = TimeSpan::from_secs(1);
    let options = ClusterOptions::builder()
        .deadline(deadline)
        .link_silence(TimeSpan::ZERO)
        .build();
    let cluster = support::start_cluster(options).await;
    let entry = cluster.entry_address(0).unwrap();
    let frozen_relay = support::relay_with_most_lanes(&cluster).await;
    cluster.relays[frozen_relay].freeze().unwrap();
    condition::until("an answer without the frozen relay's shards", async || {
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
        Ok((!missing.is_empty()).then_some(()))
    })
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

/// A relay is frozen in the middle of a query: its connections stay open and nothing comes back. The
/// entry finds its link silent, asks the shards again through the other relay, and the caller gets
/// the whole answer while the relay is still frozen.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_relay_frozen_link_replaced() {
    let cluster = support::start_cluster(ClusterOptions::builder().build()).await;
    let entry = cluster.entry_address(0).unwrap();
    let frozen_relay = support::relay_with_most_lanes(&cluster).await;
    cluster.relays[frozen_relay].freeze().unwrap();
    let query = support::build_query(FAN_OUT_TEMPLATE, "left");
    let reply = query.send(entry).await.unwrap();
    assert_eq!(reply.outcome_or_code(), "complete", "{}", reply.body);
    let all = cluster.expected_rows(&query, &cluster.all_shards());
    assert_eq!(reply.body["rows"], all);
    cluster.relays[frozen_relay].resume().unwrap();
}
