//! Tests that a non-idempotent request runs at most once, through whichever entries it is sent.

use alderhaven_core::time::TimeSpan;
use alderhaven_proof::caller::{CallerQuery, CallerReply};
use alderhaven_proof::cluster::TestCluster;
use alderhaven_proof::cluster_options::{ClusterOptions, RESERVATION_TEMPLATE};
use alderhaven_proof::condition;
use eyre::Result;
use tokio::task::JoinHandle;
use uuid::Uuid;

use crate::support;

/// The deadline of resent requests, which wait that long for a suspended entry.
const RESEND_DEADLINE_MS: u64 = 1_500;
/// A service time that is long enough to inject a fault during a run.
const LONG_RUN_TIME: TimeSpan = TimeSpan::from_secs(1);

/// Starts a cluster, sends a reservation through entry 0 and waits until a target runs it.
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

/// Resends the reservation through entry 1, and checks the outcome and that there is no second run.
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

/// The entry is killed while a target runs a reservation, which the caller resends twice through
/// another entry with the same key. The dead entry's claim holds: the outcome is unknown, and there
/// is one run.
#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_resend_other_entry_after_kill() {
    let (mut cluster, reservation, pending_reply) = start_reservation().await;
    cluster.entries[0].kill().unwrap();
    assert!(pending_reply.await.unwrap().is_err());
    for _ in 0..2 {
        assert_resent_once(&cluster, &reservation, "unknown").await;
    }
}

/// The entry is suspended while a target runs a reservation, and the caller resends it through
/// another entry with the same key: the outcome is unknown. After the first entry has resumed and
/// answered, a further resend gets the same answer. There is one run.
#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_resend_other_entry_after_freeze() {
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
