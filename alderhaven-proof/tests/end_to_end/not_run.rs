//! Tests that a request refused as "not run" did not run.

use alderhaven_core::time::TimeSpan;
use alderhaven_proof::caller::CallerQuery;
use alderhaven_proof::cluster_options::{ClusterOptions, FAN_OUT_TEMPLATE, RESERVATION_TEMPLATE};
use alderhaven_proof::condition;
use alderhaven_proof::operator_view;
use uuid::Uuid;

use crate::support;

/// The platform is down. A reservation can't be claimed: it is refused as not run, and targets have
/// no run of it. An idempotent query needs no claim and is answered.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_platform_down() {
    let mut cluster = support::start_cluster(ClusterOptions::builder().build()).await;
    let entry = cluster.entry_address(0).unwrap();
    cluster.platform.kill().unwrap();
    let reservation = CallerQuery::builder()
        .template(RESERVATION_TEMPLATE)
        .key("platform-down")
        .idempotency_key(Uuid::now_v7())
        .build();
    let reply = reservation.send(entry).await.unwrap();
    assert!(reply.says_not_run(), "{}", reply.body);
    let fan_out_query = support::build_query(FAN_OUT_TEMPLATE, "platform-down");
    let answer = fan_out_query.send(entry).await.unwrap();
    assert_eq!(answer.outcome_or_code(), "complete", "{}", answer.body);
    // The later query has runs, so a run of the earlier reservation would be recorded too.
    assert!(!cluster.runs(&fan_out_query).await.unwrap().is_empty());
    assert!(cluster.runs(&reservation).await.unwrap().is_empty());
}

/// An entry starts while the platform is down and has no templates. A query is refused as not run,
/// and targets have no run of it.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_platform_down_at_start() {
    let mut cluster = support::start_cluster(ClusterOptions::builder().build()).await;
    cluster.platform.kill().unwrap();
    let number = cluster.start_entry().unwrap();
    let query = support::build_query(FAN_OUT_TEMPLATE, "no-template");
    let reply = query
        .send(cluster.entry_address(number).unwrap())
        .await
        .unwrap();
    assert!(reply.says_not_run(), "{}", reply.body);
    assert!(cluster.runs(&query).await.unwrap().is_empty());
}

/// The only relay is killed while targets run a query. It fails, and is not refused as not run. A
/// later query finds no relay: it is refused as not run, and targets have no run of it.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_relay_killed_mid_query() {
    let options = ClusterOptions::builder()
        .relays(1)
        .run_time(TimeSpan::from_secs(15))
        .build();
    let mut cluster = support::start_cluster(options).await;
    let entry = cluster.entry_address(0).unwrap();
    let running_query = support::build_query(FAN_OUT_TEMPLATE, "caught");
    let pending_reply = tokio::spawn({
        let running_query = running_query.clone();
        async move { running_query.send(entry).await }
    });
    condition::until("a run of the query", async || {
        let runs = cluster.runs(&running_query).await?;
        Ok((!runs.is_empty()).then_some(()))
    })
    .await
    .unwrap();
    cluster.relays[0].kill().unwrap();
    let reply = pending_reply.await.unwrap().unwrap();
    assert_eq!(reply.outcome_or_code(), "failed", "{}", reply.body);
    assert!(!reply.says_not_run(), "{}", reply.body);

    let operator = cluster.entries[0].address("operator").unwrap();
    condition::until("the loss of the relay", async || {
        let usable = operator_view::usable_relay_count(operator).await?;
        Ok((usable == 0).then_some(()))
    })
    .await
    .unwrap();
    let later_query = support::build_query(FAN_OUT_TEMPLATE, "refused");
    let reply = later_query.send(entry).await.unwrap();
    assert!(reply.says_not_run(), "{}", reply.body);
    assert!(cluster.runs(&later_query).await.unwrap().is_empty());
}
