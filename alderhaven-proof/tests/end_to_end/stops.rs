//! Tests that a planned stop of a node aborts no request.

use std::net::SocketAddr;

use alderhaven_core::time::TimeSpan;
use alderhaven_proof::caller::{CallerQuery, CallerReply, PARAMETER, TEAM};
use alderhaven_proof::cluster::TestCluster;
use alderhaven_proof::cluster_options::{ClusterOptions, FAN_OUT_TEMPLATE, RESERVATION_TEMPLATE};
use alderhaven_proof::condition;
use alderhaven_proof::operator_view;
use alderhaven_standin::http_connection::HttpConnection;
use eyre::Result;
use futures::future;
use http::Request;
use http::header::CONNECTION;
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use uuid::Uuid;

use crate::support;

/// The number of callers with a query in flight when the stop is requested.
const CALLERS: usize = 4;
/// A service time longer than a stopping entry accepts requests.
const LONG_RUN_TIME: TimeSpan = TimeSpan::from_secs(1);

async fn start(run_time: TimeSpan, entries: usize) -> TestCluster {
    let options = ClusterOptions::builder()
        .run_time(run_time)
        .entries(entries)
        .is_group(true)
        .build();
    support::start_cluster(options).await
}

/// Sends a query over an open connection.
async fn send_over(connection: &mut HttpConnection, query: &CallerQuery) -> Result<CallerReply> {
    let body = json!({ "team": TEAM, "parameters": { PARAMETER: query.key } });
    let mut request = Request::post(format!("/v1/query/{}", query.template));
    if let Some(key) = query.idempotency_key {
        request = request.header("idempotency-key", key.to_string());
    }
    let response = connection
        .send(request.body(Full::from(body.to_string()))?)
        .await?;
    Ok(CallerReply {
        status: response.status(),
        body: serde_json::from_slice(response.body())?,
    })
}

/// Checks that the first reply of a leaving entry contains `connection: close`.
async fn assert_connection_close(connection: &mut HttpConnection) {
    condition::until("a reply of the leaving entry", async || {
        let request = Request::get("/v1/health").body(Full::default())?;
        let response = connection.send(request).await.unwrap();
        let health: Value = serde_json::from_slice(response.body())?;
        if health["status"] == "serving" {
            return Ok(None);
        }
        assert_eq!(health["status"], "leaving");
        let connection = response.headers().get(CONNECTION);
        assert_eq!(connection.unwrap(), "close");
        Ok(Some(()))
    })
    .await
    .unwrap();
}

/// Opens a connection and sends one health request over it.
async fn open_kept_connection(entry: SocketAddr) -> HttpConnection {
    let mut connection = HttpConnection::connect(entry).await.unwrap();
    let request = Request::get("/v1/health").body(Full::default()).unwrap();
    let health = connection.send(request).await.unwrap();
    assert!(health.status().is_success());
    connection
}

/// Sends one query per caller concurrently and waits until targets run all of them.
async fn start_queries(
    cluster: &TestCluster,
    entry: SocketAddr,
    build_query: impl Fn(usize) -> CallerQuery,
) -> Vec<(CallerQuery, JoinHandle<Result<CallerReply>>)> {
    let mut pending = Vec::new();
    for number in 0..CALLERS {
        let query = build_query(number);
        let mut connection = open_kept_connection(entry).await;
        let sent_query = query.clone();
        let task = tokio::spawn(async move { send_over(&mut connection, &sent_query).await });
        pending.push((query, task));
    }
    for (query, _) in &pending {
        condition::until("a run of each query", async || {
            Ok((!cluster.runs(query).await?.is_empty()).then_some(()))
        })
        .await
        .unwrap();
    }
    pending
}

fn assert_complete(cluster: &TestCluster, query: &CallerQuery, reply: &CallerReply) {
    assert_eq!(reply.outcome_or_code(), "complete", "{}", reply.body);
    let all = cluster.all_shards();
    assert_eq!(reply.body["rows"], cluster.expected_rows(query, &all));
}

async fn listed_entries(entry: SocketAddr) -> Result<Vec<SocketAddr>> {
    let answer: Value = operator_view::get_json(entry, "/v1/entries").await?;
    let entries = answer["entries"].as_array().into_iter().flatten();
    entries
        .map(|entry| Ok(serde_json::from_value(entry["address"].clone())?))
        .collect()
}

/// An entry gets SIGTERM while queries are in flight over persistent connections. The other entry
/// no longer lists it, but callers with its address are still served for some time. Its replies
/// contain `connection: close`, so that no caller sends a request on a closing connection. All
/// answers arrive whole before the process ends.
#[tokio::test(flavor = "multi_thread")]
async fn stop_entry_finishes_requests() {
    let mut cluster = start(LONG_RUN_TIME, 2).await;
    let [leaving, staying] = [0, 1].map(|number| cluster.entry_address(number).unwrap());
    condition::until("both entries are listed", async || {
        let listed = listed_entries(staying).await?;
        Ok((listed.contains(&leaving) && listed.contains(&staying)).then_some(()))
    })
    .await
    .unwrap();
    let mut idle_connection = open_kept_connection(leaving).await;
    let mut late_connection = open_kept_connection(leaving).await;
    let fan_out_query =
        |number| support::build_query(FAN_OUT_TEMPLATE, &format!("in-flight-{number}"));
    let pending = start_queries(&cluster, leaving, fan_out_query).await;
    cluster.entries[0].terminate().unwrap();
    condition::until("the leaving entry is not listed", async || {
        Ok((!listed_entries(staying).await?.contains(&leaving)).then_some(()))
    })
    .await
    .unwrap();
    assert_connection_close(&mut idle_connection).await;
    let late = support::build_query(FAN_OUT_TEMPLATE, "late");
    let reply = send_over(&mut late_connection, &late).await.unwrap();
    assert_complete(&cluster, &late, &reply);
    for (query, reply) in pending {
        assert_complete(&cluster, &query, &reply.await.unwrap().unwrap());
    }
    let status = cluster.entries[0].await_exit().await.unwrap();
    assert_eq!(status.code(), Some(0), "{:?}", cluster.entries[0].log());
    let after = support::build_query(FAN_OUT_TEMPLATE, "after");
    let reply = after.send(staying).await.unwrap();
    assert_complete(&cluster, &after, &reply);
}

/// One of two relays gets SIGTERM while it has attempts of non-idempotent reservations in flight
/// and further queries are sent. Every answer is complete, each reservation has one run, and the
/// process ends. Then the other relay serves the targets.
#[tokio::test(flavor = "multi_thread")]
async fn stop_relay_finishes_attempts() {
    let mut cluster = start(LONG_RUN_TIME, 1).await;
    let entry = cluster.entry_address(0).unwrap();
    let reservation = |number| {
        CallerQuery::builder()
            .template(RESERVATION_TEMPLATE)
            .key(format!("in-flight-{number}"))
            .idempotency_key(Uuid::now_v7())
            .build()
    };
    let pending = start_queries(&cluster, entry, reservation).await;
    let leaving = cluster.await_busy_relay().await.unwrap();
    let dispatchers_before = cluster.target_dispatchers(leaving).await.unwrap();
    cluster.relays[leaving].terminate().unwrap();
    for round in 0..2 {
        let queries: Vec<CallerQuery> = (0..CALLERS)
            .map(|caller| support::build_query(FAN_OUT_TEMPLATE, &format!("stop-{round}-{caller}")))
            .collect();
        let replies = future::join_all(queries.iter().map(|query| query.send(entry))).await;
        for (query, reply) in queries.iter().zip(replies) {
            assert_complete(&cluster, query, &reply.unwrap());
        }
    }
    for (query, reply) in pending {
        let reply = reply.await.unwrap().unwrap();
        assert_eq!(reply.outcome_or_code(), "complete", "{}", reply.body);
        let runs = cluster.runs(&query).await.unwrap();
        assert_eq!(runs.len(), 1, "{runs:?}");
        let rows = cluster.expected_rows(&query, &[runs[0].shard.0]);
        assert_eq!(reply.body["rows"], rows);
    }
    let status = cluster.relays[leaving].await_exit().await.unwrap();
    let log = cluster.relays[leaving].log().join("\n");
    assert_eq!(status.code(), Some(0), "{log}");
    let after = support::build_query(FAN_OUT_TEMPLATE, "after");
    let reply = after.send(entry).await.unwrap();
    assert_complete(&cluster, &after, &reply);
    condition::until(
        "dispatchers of the other relay for all targets of the stopped one",
        async || {
            let dispatchers = cluster.target_dispatchers(1 - leaving).await?;
            let has_dispatcher = |target| dispatchers.iter().any(|(known, _)| known == target);
            let mut targets = dispatchers_before.iter().map(|(target, _)| target);
            Ok(targets.all(has_dispatcher).then_some(()))
        },
    )
    .await
    .unwrap();
}
