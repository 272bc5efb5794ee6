//! Requests that crash every target on which they run.

use alderhaven_store::operator_server::OperatorSource;
use serde_json::json;

use crate::system::{TestSystem, metric, send_query, wait_until};

/// Number of times that the crashing request is sent, spread over the entries.
const RESEND_COUNT: usize = 9;
/// Number of queries that each concurrent caller sends.
const HARMLESS_QUERY_COUNT: usize = 60;

/// A request that crashes its target is sent repeatedly to all entries, next to other queries.
/// Without shared crash tracking, retries and resends would crash every replica.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn poison_takes_down_two_targets_at_most() {
    let system = TestSystem::start(5, 3, &json!({})).await;
    let mut others = Vec::new();
    for caller in 0..6 {
        let entry = system.entries[caller % 3].caller_address();
        others.push(tokio::spawn(async move {
            let mut incomplete = Vec::new();
            for round in 0..HARMLESS_QUERY_COUNT {
                let answer = send_query(entry, &format!("book-{caller}-{}", round % 7)).await;
                if answer["outcome"] != "complete" {
                    incomplete.push(answer);
                }
            }
            incomplete
        }));
    }
    // The other callers' queries run before the first crash.
    wait_until("a target has started several attempts", || {
        system
            .targets
            .iter()
            .any(|target| target.started_count() > 5)
    })
    .await;
    let mut last = json!(null);
    for resend in 0..RESEND_COUNT {
        last = system.query(resend % 3, "poison").await;
    }
    for other in others {
        assert_eq!(other.await.unwrap(), Vec::<serde_json::Value>::new());
    }
    assert_eq!(system.dead_target_count(), 2);
    assert_eq!(last["error"]["code"], "quarantined", "{last}");
    assert_eq!(last["error"]["not_run"], true);
    assert!(last["error"]["retry_after_ms"].as_u64().unwrap() > 1000);
    for entry in &system.entries {
        let metrics = entry.state().metrics();
        assert!(metric(&metrics, "alderhaven_entry_quarantined_queries_total") > 0);
    }
}

/// Number of shards in the test of a query over all shards.
const SHARD_COUNT: usize = 6;

/// A request over all shards crashes one target of each. Retrying all lost shards at once would
/// crash a second target of each.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn poison_over_all_shards_is_limited_to_one_wave() {
    let system = TestSystem::start_sharded(SHARD_COUNT, 3, 2, &json!({})).await;
    for round in 0..RESEND_COUNT {
        let answer = system.query(round % 2, "poison").await;
        assert_eq!(answer["error"]["code"], "quarantined", "{answer}");
        assert_eq!(answer["error"]["not_run"], round > 0, "{answer}");
    }
    assert!(
        system.dead_target_count() <= SHARD_COUNT + 1,
        "{}",
        system.dead_target_count()
    );
    let answer = system.query(0, "book").await;
    assert_eq!(answer["outcome"], "complete", "{answer}");
}

/// Two targets crash for other reasons while the same request runs on them. Its retries are
/// answered, so that it must not be quarantined.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crash_of_another_cause_refuses_nobody() {
    let system = TestSystem::start(4, 2, &json!({})).await;
    for kills in 1..=2 {
        let entry = system.entries[0].caller_address();
        let query = tokio::spawn(send_query(entry, "slow-book"));
        let busy = || {
            system
                .targets
                .iter()
                .find(|target| target.running_count() > 0 && !target.is_dead())
        };
        wait_until("an attempt is running", || busy().is_some()).await;
        busy().unwrap().crash();
        let answer = query.await.unwrap();
        assert_eq!(answer["outcome"], "complete", "{answer}");
        assert_eq!(system.dead_target_count(), kills);
    }
    let crashes: u64 = system
        .relays
        .iter()
        .map(|relay| {
            metric(
                &relay.state().metrics(),
                "alderhaven_relay_target_crashes_total",
            )
        })
        .sum();
    assert_eq!(crashes, 2);
    for entry in [0, 1, 0, 1] {
        let answer = system.query(entry, "slow-book").await;
        assert_eq!(answer["outcome"], "complete", "{answer}");
    }
}
