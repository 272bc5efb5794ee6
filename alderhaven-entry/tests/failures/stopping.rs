//! Planned stops of entries and relays with queries that may outlast them.

use std::time::Duration;

use alderhaven_entry::node::EntryNode;
use alderhaven_policy::drain::StopReason;
use serde_json::json;
use tokio::time;

use crate::system::{TestSystem, send_query, wait_until};

/// How long the last answers may take to reach their callers; far less than the queries' deadline.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Requests a stop and waits until it has begun.
async fn request_stop(entry: &EntryNode) {
    entry.request_stop();
    wait_until("the entry is leaving", || {
        entry.state().stop.remaining_run_time().is_some()
    })
    .await;
}

/// Guards against a stop that accepts queries which may run beyond its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_entry_refuses_queries_that_may_outlast_it() {
    let settings = json!({ "entry": { "stop": {
        "heard_within": "5s", "address_life": "30s", "limit": "400ms", "final_answers": "100ms" } } });
    let system = TestSystem::start(2, 1, &settings).await;
    let entry = &system.entries[0];
    request_stop(entry).await;
    let answer = send_query(entry.caller_address(), "late").await;
    assert_eq!(answer["error"]["code"], "unavailable", "{answer}");
    assert_eq!(answer["error"]["not_run"], true);
    assert_eq!(entry.stopped().await.aborted_requests, 0);
}

/// Guards against a stop that refuses queries of which it is known that they end in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_entry_serves_queries_that_are_known_to_be_short() {
    let settings = json!({ "entry": { "stop": {
        "heard_within": "5s", "address_life": "30s", "limit": "4s" } } });
    let system = TestSystem::start(2, 1, &settings).await;
    for number in 0..60 {
        let answer = system.query(0, &format!("known-{number}")).await;
        assert_eq!(answer["outcome"], "complete", "{answer}");
    }
    let entry = &system.entries[0];
    request_stop(entry).await;
    let answer = send_query(entry.caller_address(), "late").await;
    assert_eq!(answer["outcome"], "complete", "{answer}");
}

/// Guards against a second stop request, or the limit of a stop, that closes connections without an
/// answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_entry_answers_unfinished_queries() {
    for is_asked_twice in [true, false] {
        let limit = if is_asked_twice { "60s" } else { "1s" };
        let settings = json!({
            "entry": { "stop": { "heard_within": "5s", "address_life": "30s", "limit": limit } },
        });
        let system = TestSystem::start(1, 1, &settings).await;
        let entry = &system.entries[0];
        let caller = tokio::spawn(send_query(entry.caller_address(), "stuck"));
        wait_until("the query runs", || system.targets[0].running_count() > 0).await;
        request_stop(entry).await;
        if is_asked_twice {
            entry.request_stop();
        }
        let report = entry.stopped().await;
        assert_eq!(report.reason == StopReason::AskedTwice, is_asked_twice);
        assert_eq!(report.aborted_requests, 1);
        let answer = time::timeout(LAST_ANSWER_TIMEOUT, caller).await;
        let answer = answer.expect("an answer before the deadline").unwrap();
        assert_eq!(answer["error"]["code"], "failed", "{answer}");
    }
}
