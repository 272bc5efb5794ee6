//! Proofs that a non-idempotent request runs at most once, whichever entries it is sent through.

use alderhaven_core::time::TimeSpan;
use alderhaven_proof::caller::{CallerQuery, CallerReply};
use alderhaven_proof::cluster::TestCluster;
use alderhaven_proof::cluster_options::{ClusterOptions, RESERVATION_TEMPLATE};
use alderhaven_proof::condition;
use eyre::Result;
use tokio::task::JoinHandle;
use uuid::Uuid;

use crate::support;

/// The deadline of what is sent again: an entry that stands still is waited for that long.
const RESEND_DEADLINE_MS: u64 = 1_500;
/// A run time within which the proof acts.
const LONG_RUN_TIME: TimeSpan = TimeSpan::from_secs(1);

/// Starts a cluster and a reservation through entry 0 that a target runs by now.
async fn start_reservation() -> (TestCluster, CallerQuery, JoinHandle<Result<CallerReply>>) {
    let options = ClusterOptions::builder()
        .run_time(LONG_RUN_TIME)
        .entries(2)
        .is_group(true)
        .build();
    let cluster = support::start_cluster(options).await;
    let reservation = CallerQuery::builder()
        .template(RESERVATION_TEMPLATE)
        .key("reserved")
        .idempotency_key(Uuid::now_v7())
        .build();
    let entry = cluster.entry_address(0).unwrap();
    let first_query = reservation.clone();
    let pending_reply = tokio::spawn(async move { first_query.send(entry).await });
    condition::until("a run of the reservation", async || {
        Ok((!cluster.runs(&reservation).await?.is_empty()).then_some(()))
    })
    .await
    .unwrap();
    (cluster, reservation, pending_reply)
}

/// Sends the reservation again through entry 1, checks the answer's word and that there is no second
/// run.
async fn assert_resent_once(cluster: &TestCluster, reservation: &CallerQuery, expected: &str) {
    let resent = CallerQuery {
        deadline_ms: Some(RESEND_DEADLINE_MS),
        ..reservation.clone()
    };
    let reply = resent
        .send(cluster.entry_address(1).unwrap())
        .await
        .unwrap();
    assert_eq!(reply.outcome_or_code(), expected, "{}", reply.body);
    assert!(!reply.says_not_run(), "{}", reply.body);
    assert_one_run(cluster, reservation).await;
}

async fn assert_one_run(cluster: &TestCluster, reservation: &CallerQuery) -> u32 {
    let runs = cluster.runs(reservation).await.unwrap();
    assert_eq!(runs.len(), 1, "{runs:?}");
    runs[0].shard.0
}

/// The entry dies while a target runs a caller's reservation. The caller sends it again through
/// another entry with the same key, twice. The claim of the dead entry stands: the caller hears that
/// the outcome is unknown, and the reservation is made once, not two or three times.
#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_resend_other_entry_after_kill() {
    let (mut cluster, reservation, pending_reply) = start_reservation().await;
    cluster.entries[0].kill().unwrap();
    assert!(pending_reply.await.unwrap().is_err());
    for _ in 0..2 {
        assert_resent_once(&cluster, &reservation, "unknown").await;
    }
}

/// The entry stands still while a target runs a caller's reservation, and the caller sends it again
/// through another entry with the same key: the outcome is unknown. Then the first entry goes on and
/// answers, and what the caller sends once more gets that answer. The reservation is made once.
#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_freeze() {
    let (cluster, reservation, pending_reply) = start_reservation().await;
    cluster.entries[0].freeze().unwrap();
    assert_resent_once(&cluster, &reservation, "unknown").await;
    cluster.entries[0].resume().unwrap();
    let first = pending_reply.await.unwrap().unwrap();
    assert_eq!(first.outcome_or_code(), "complete", "{}", first.body);
    let shard = assert_one_run(&cluster, &reservation).await;
    assert_eq!(
        first.body["rows"],
        cluster.expected_rows(&reservation, &[shard])
    );
    assert_resent_once(&cluster, &reservation, "complete").await;
}
