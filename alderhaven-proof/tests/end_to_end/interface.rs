//! Tests of request ids in replies and in the log.

use alderhaven_proof::cluster_options::{ClusterOptions, FAN_OUT_TEMPLATE};
use alderhaven_proof::condition;
use alderhaven_standin::http_connection::HttpConnection;
use http::Request;
use http_body_util::Full;
use serde_json::Value;

use crate::support;

/// A rejected request is logged exactly once, under the request id that the reply contains.
/// Answered requests are not logged.
#[tokio::test(flavor = "multi_thread")]
async fn interface_refusal_is_logged_once() {
    let cluster = support::start_cluster(ClusterOptions::builder().build()).await;
    let entry = cluster.entry_address(0).unwrap();
    for number in 0..20 {
        let query = support::build_query(FAN_OUT_TEMPLATE, &format!("answered-{number}"));
        let reply = query.send(entry).await.unwrap();
        assert_eq!(reply.outcome_or_code(), "complete", "{}", reply.body);
    }
    let mut connection = HttpConnection::connect(entry).await.unwrap();
    let request = Request::post(format!("/v1/query/{FAN_OUT_TEMPLATE}"))
        .header("x-request-id", "reported-1")
        .body(Full::from(
            r#"{"team":"desk","parameters":{"colour":"blue"}}"#,
        ))
        .unwrap();
    let reply = connection.send(request).await.unwrap();
    assert_eq!(reply.status(), 400);
    assert_eq!(reply.headers()["x-request-id"], "reported-1");
    let lines = condition::until("a log line of the rejected request", async || {
        let log = cluster.entries[0].log();
        let lines = log.iter().map(|line| serde_json::from_str::<Value>(line));
        let lines: Vec<Value> = lines.collect::<Result<_, _>>()?;
        let request_lines = lines
            .into_iter()
            .filter(|line| line["event"] == "request_not_answered");
        let request_lines: Vec<Value> = request_lines.collect();
        Ok((!request_lines.is_empty()).then_some(request_lines))
    })
    .await
    .unwrap();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!(lines[0]["request"], "reported-1");
    assert_eq!(lines[0]["code"], "bad_request");
}
