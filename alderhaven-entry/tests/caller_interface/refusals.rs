//! Status, code and message of refused requests.

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use serde_json::json;

use crate::support;
use crate::support::TOKEN;

#[tokio::test(flavor = "multi_thread")]
async fn query_refuses_bad_bodies() {
    let entry = support::start(json!({})).await;
    let values: Vec<String> = (0..33).map(|number| format!("\"p{number}\":1")).collect();
    let many = format!(r#"{{"team":"desk","parameters":{{{}}}}}"#, values.join(","));
    let deep = format!(r#"{{"team":"desk","parameters":{}"#, "[".repeat(10_000));
    let cases = [
        ("", "EOF"),
        ("[]", "team"),
        (r#"["desk",{"key":"a"}]"#, "allowed is an object"),
        ("7", "invalid type"),
        ("{\"team\":\"desk\"", "EOF"),
        ("{\"team\":\"desk\"} tail", "trailing"),
        ("{\"team\":\"desk\",\"\u{0}\":1}", "control character"),
        (r#"{"parameters":{}}"#, "team"),
        (r#"{"team":"De sk"}"#, "De sk"),
        (r#"{"team":"desk","extra":1}"#, "extra"),
        (r#"{"team":"desk","team":"desk"}"#, "duplicate field `team`"),
        (
            r#"{"team":"desk","parameters":{"key":"a","key":"b"}}"#,
            "parameters.key: is given twice",
        ),
        (
            r#"{"team":"desk","parameters":{"key":1.5}}"#,
            "parameters.key: allowed is true or false",
        ),
        (
            r#"{"team":"desk","parameters":{"key":["a"]}}"#,
            "parameters.key: allowed is true or false",
        ),
        (
            r#"{"team":"desk","parameters":{"key":null}}"#,
            "parameters.key",
        ),
        (
            r#"{"team":"desk","parameters":{"key":"a","other":1}}"#,
            "other",
        ),
        (
            r#"{"team":"desk","parameters":{"key":"123456789"}}"#,
            "a text of at most 8 bytes",
        ),
        (
            r#"{"team":"desk","parameters":{"key":"a","count":10}}"#,
            "a whole number from 1 to 9",
        ),
        (r#"{"team":"desk","parameters":{}}"#, "key"),
        (many.as_str(), "at most 32"),
        (deep.as_str(), "expected values by name"),
        (
            r#"{"team":"desk","parameters":{"key":"a"},"deadline_ms":0}"#,
            "allowed is 1 to 60000",
        ),
        (
            r#"{"team":"desk","parameters":{"key":"a"},"deadline_ms":60001}"#,
            "allowed is 1 to 60000",
        ),
        (
            r#"{"team":"desk","parameters":{"key":"a"},"deadline_ms":18446744073709551615}"#,
            "18446744073709551615 is refused",
        ),
        (
            r#"{"team":"desk","parameters":{"key":"a"},"deadline_ms":-1}"#,
            "-1",
        ),
        (
            r#"{"team":"desk","parameters":{"key":"a"},"deadline_ms":1e99}"#,
            "floating point",
        ),
    ];
    for (body, part) in cases {
        let reply = entry.query("open", "", body).await;
        reply.assert_refused(400, "bad_request", part);
    }
    let mut bytes = support::query_bytes("open", "", r#"{"team":"desk?"}"#);
    let length = bytes.len();
    bytes[length - 3] = 0xff;
    let reply = entry.send(&bytes).await;
    reply.assert_refused(400, "bad_request", "the body is refused");
}

#[tokio::test(flavor = "multi_thread")]
async fn query_refuses_large_bodies() {
    let entry = support::start(json!({ "body": "1KB" })).await;
    let body = format!(r#"{{"team":"desk","pad":"{}"}}"#, "x".repeat(2_000));
    let reply = entry.query("open", "", &body).await;
    reply.assert_refused(413, "too_large", "1KB");
    // Refused by its `content-length`, without waiting for the body.
    let told = b"POST /v1/query/open HTTP/1.1\r\nhost: e\r\ncontent-length: 10000000000\r\n\r\n{";
    entry
        .send(told)
        .await
        .assert_refused(413, "too_large", "1KB");
    let mut chunked =
        b"POST /v1/query/open HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    for _ in 0..3 {
        chunked.extend_from_slice(format!("200\r\n{}\r\n", "x".repeat(0x200)).as_bytes());
    }
    entry
        .send(&chunked)
        .await
        .assert_refused(413, "too_large", "1KB");
}

#[tokio::test(flavor = "multi_thread")]
async fn query_refuses_a_body_that_does_not_come() {
    let entry = support::start(json!({ "read_timeout": "50ms" })).await;
    let reply = entry
        .send(b"POST /v1/query/open HTTP/1.1\r\nhost: e\r\ncontent-length: 9\r\n\r\n{")
        .await;
    reply.assert_refused(400, "bad_request", "did not come within 50ms");
}

#[tokio::test(flavor = "multi_thread")]
async fn serve_refuses_bad_heads() {
    let entry = support::start(json!({ "head": "8KB" })).await;
    let pad = format!("x-pad: {}\r\n", "x".repeat(9_000));
    let reply = entry.query("open", &pad, "{}").await;
    reply.assert_refused(413, "too_large", "a head has at most 8KB");
    let long = format!("GET /{} HTTP/1.1\r\nhost: e\r\n\r\n", "x".repeat(9_000));
    let reply = entry.send(long.as_bytes()).await;
    reply.assert_refused(413, "too_large", "a head has at most 8KB");
    // Heads above twice the limit and malformed ones get hyper's reply, which has only a status.
    let huge = format!("x-pad: {}\r\n", "x".repeat(40_000));
    assert_eq!(entry.query("open", &huge, "{}").await.status, 431);
    let many = "a: b\r\n".repeat(200);
    assert_eq!(entry.query("open", &many, "{}").await.status, 431);
    let malformed: [&[u8]; 4] = [
        b"\x00\x01\x02\x03\r\n\r\n",
        b"POST\r\n\r\n",
        b"POST /v1/query/open HTTP/1.1\r\nbad header\r\n\r\n",
        b"POST /v1/query/open HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n{}",
    ];
    for bytes in malformed {
        assert_eq!(entry.send(bytes).await.status, 400, "{bytes:?}");
    }
    let health = entry
        .send(b"GET /v1/health HTTP/1.1\r\nhost: e\r\n\r\n")
        .await;
    assert_eq!(health.status, 200, "the entry still answers");
}

#[tokio::test(flavor = "multi_thread")]
async fn serve_refuses_wrong_methods_and_paths() {
    let entry = support::start(json!({})).await;
    let cases = [
        (
            "GET /v1/query/open",
            405,
            "method_not_allowed",
            "allowed is POST",
        ),
        (
            "DELETE /v1/query/open",
            405,
            "method_not_allowed",
            "DELETE is refused",
        ),
        (
            "BREW /v1/query/open",
            405,
            "method_not_allowed",
            "BREW is refused",
        ),
        (
            "POST /v1/health",
            405,
            "method_not_allowed",
            "allowed is GET",
        ),
        ("GET /", 404, "not_found", "there is no /"),
        ("GET /metrics", 404, "not_found", "/metrics"),
        ("GET /debug/dump", 404, "not_found", "/debug/dump"),
        ("POST /drain", 404, "not_found", "/drain"),
        ("POST /v1/query", 404, "not_found", "/v1/query"),
    ];
    for (line, status, code, part) in cases {
        let bytes = format!("{line} HTTP/1.1\r\nhost: e\r\ncontent-length: 0\r\n\r\n");
        let reply = entry.send(bytes.as_bytes()).await;
        reply.assert_refused(status, code, part);
    }
    let body = r#"{"team":"desk","parameters":{"key":"a"}}"#;
    for template in ["", "none", "open/more", "%6fpen", "../open"] {
        let reply = entry.query(template, "", body).await;
        reply.assert_refused(404, "not_found", "there is no template");
    }
    let reply = entry.query("open", "", r#"{"team":"none"}"#).await;
    reply.assert_refused(404, "not_found", "there is no team none");
}

#[tokio::test(flavor = "multi_thread")]
async fn query_checks_bearer_tokens() {
    let entry = support::start(json!({})).await;
    let body = r#"{"team":"staff","parameters":{"key":"a"}}"#;
    let right = format!("authorization: Bearer {TOKEN}\r\n");
    let refused = [
        String::new(),
        "authorization: Bearer\r\n".to_owned(),
        "authorization: Bearer \r\n".to_owned(),
        "authorization: Bearer wrong\r\n".to_owned(),
        format!("authorization: Basic {TOKEN}\r\n"),
        format!("authorization: {TOKEN}\r\n"),
        format!("{right}authorization: Bearer wrong\r\n"),
    ];
    for headers in refused {
        let reply = entry.query("closed", &headers, body).await;
        reply.assert_refused(401, "unauthorized", "team staff needs its bearer token");
        assert_eq!(reply.header("www-authenticate"), Some("bearer"));
    }
    // With the token, the query is accepted. It fails because the entry has no relay.
    let reply = entry.query("closed", &right, body).await;
    reply.assert_refused(429, "overloaded", "no target took the query");
    let reply = entry.query("closed", &right, r#"{"team":"desk"}"#).await;
    reply.assert_refused(403, "forbidden", "team desk may not use template closed");
}

#[tokio::test(flavor = "multi_thread")]
async fn query_survives_any_bytes() {
    let entry = support::start(json!({})).await;
    let config = ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        cases: ProptestConfig::default().cases.min(64),
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new(config);
    let handle = tokio::runtime::Handle::current();
    tokio::task::block_in_place(|| {
        runner.run(&prop::collection::vec(any::<u8>(), 0..300), |bytes| {
            let body = String::from_utf8_lossy(&bytes).into_owned();
            let reply = handle.block_on(entry.query("open", "", &body));
            reply.assert_refused(400, "bad_request", "the body is refused");
            Ok(())
        })
    })
    .unwrap();
}
