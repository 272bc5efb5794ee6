//! Tests that the examples of docs/INTERFACE.md and the metrics of docs/OPERATIONS.md match a
//! running system.

use std::net::SocketAddr;

use alderhaven_entry::answer::ErrorCode;
use alderhaven_quickstart::local_system::LocalSystem;
use alderhaven_standin::http_connection::HttpConnection;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use serde_json::{Value, json};

/// The documentation of the caller interface.
const INTERFACE_PAGE: &str = include_str!("../../docs/INTERFACE.md");

/// The documentation of the metrics.
const OPERATIONS_PAGE: &str = include_str!("../../docs/OPERATIONS.md");

/// Gets the fenced code blocks of a language from the interface page, in order.
fn fenced_blocks(kind: &str) -> Vec<String> {
    let fence = format!("```{kind}\n");
    let parts = INTERFACE_PAGE.split(&fence).skip(1);
    parts
        .map(|part| part.split("```").next().unwrap().to_owned())
        .collect()
}

/// Gets the first JSON block of the interface page that has the field `member`.
fn json_block(member: &str) -> Value {
    let values = fenced_blocks("json")
        .into_iter()
        .map(|block| serde_json::from_str::<Value>(&block).unwrap());
    let mut found = values.filter(|value| value.get(member).is_some());
    found
        .next()
        .expect("the page has an example with this field")
}

/// Sends the HTTP request of a code block.
async fn send_block(entry: SocketAddr, block: &str) -> Response<Bytes> {
    let (head, body) = block.split_once("\n\n").unwrap();
    let mut lines = head.lines();
    let mut request_line = lines.next().unwrap().split(' ');
    let mut request = Request::builder()
        .method(request_line.next().unwrap())
        .uri(request_line.next().unwrap());
    for line in lines {
        let (name, value) = line.split_once(": ").unwrap();
        request = request.header(name, value);
    }
    let mut connection = HttpConnection::connect(entry).await.unwrap();
    let request = request.body(Full::from(body.to_owned())).unwrap();
    connection.send(request).await.unwrap()
}

/// Checks that `actual` has the fields of the example with values of the same types, and no other
/// fields unless `allow_extra` is set.
fn assert_shape(path: &str, example: &Value, actual: &Value, allow_extra: bool) {
    match (example, actual) {
        (Value::Object(example), Value::Object(actual)) => {
            for (name, value) in example {
                let found = actual.get(name).unwrap_or(&Value::Null);
                assert_shape(&format!("{path}.{name}"), value, found, allow_extra);
            }
            for name in actual.keys() {
                assert!(
                    allow_extra || example.contains_key(name),
                    "{path}.{name} is not documented"
                );
            }
        }
        (Value::Array(example), Value::Array(actual)) => {
            for value in actual {
                assert_shape(&format!("{path}[]"), &example[0], value, allow_extra);
            }
        }
        _ => {
            let kinds = [example, actual].map(std::mem::discriminant);
            assert_eq!(
                kinds[0], kinds[1],
                "{path}: the example has {example}, the reply has {actual}"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn documented_examples_are_answered() {
    let system = LocalSystem::start(1, 7).await.unwrap();
    let entry = system.entry_addresses()[0];
    let [query, refused] = fenced_blocks("http").try_into().unwrap();

    let reply = send_block(entry, &query).await;
    let body: Value = serde_json::from_slice(reply.body()).unwrap();
    assert_eq!(reply.status(), 200, "{body}");
    assert_shape("answer", &json_block("outcome"), &body, false);
    assert!(["complete", "partial"].contains(&body["outcome"].as_str().unwrap()));
    assert_eq!(body["coverage"]["asked"], json!(30));
    assert!(!body["rows"].as_array().unwrap().is_empty());

    let reply = send_block(entry, &refused).await;
    assert_eq!(reply.status(), 400);
    assert_eq!(reply.headers()["x-request-id"], "counter-4711");
    let documented = fenced_blocks("json")
        .into_iter()
        .find(|block| block.contains("deadline_ms"));
    let body = String::from_utf8(reply.into_body().to_vec()).unwrap();
    assert_eq!(body, documented.unwrap().trim_end());

    let status = Request::get("/debug/status").body(Full::default()).unwrap();
    for operator in system.operator_addresses() {
        let mut connection = HttpConnection::connect(operator).await.unwrap();
        let reply = connection.send(status.clone()).await.unwrap();
        let body: Value = serde_json::from_slice(reply.body()).unwrap();
        assert_shape("status", &json_block("node"), &body, true);
    }
    let request = Request::get("/v1/entries?domain=accra-1");
    let request = request.body(Full::default()).unwrap();
    let mut connection = HttpConnection::connect(entry).await.unwrap();
    let reply = connection.send(request).await.unwrap();
    let body: Value = serde_json::from_slice(reply.body()).unwrap();
    assert_shape("entries", &json_block("entries"), &body, false);
    assert!(!body["entries"].as_array().unwrap().is_empty());

    let health = Request::get("/v1/health").body(Full::default()).unwrap();
    let mut connection = HttpConnection::connect(entry).await.unwrap();
    let reply = connection.send(health).await.unwrap();
    let body = std::str::from_utf8(reply.body()).unwrap();
    assert!(INTERFACE_PAGE.contains(&format!("{} `{body}`", reply.status().as_u16())));
    system.stop().await;
}

/// Every exported metric must have a row in the documentation for operators.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_are_documented() {
    let system = LocalSystem::start(1, 7).await.unwrap();
    let mut metric_count = 0;
    for operator in system.operator_addresses() {
        let request = Request::get("/metrics").body(Full::default()).unwrap();
        let mut connection = HttpConnection::connect(operator).await.unwrap();
        let reply = connection.send(request).await.unwrap();
        let text = String::from_utf8(reply.into_body().to_vec()).unwrap();
        for line in text.lines().filter_map(|line| line.strip_prefix("# TYPE ")) {
            let name = line.split(' ').next().unwrap();
            let is_documented = OPERATIONS_PAGE
                .lines()
                .filter_map(|row| row.strip_prefix("| ")?.split(" | ").next())
                .any(|cell| cell.contains(&format!("`{name}`")));
            assert!(is_documented, "docs/OPERATIONS.md has no row for `{name}`");
            metric_count += 1;
        }
    }
    assert!(
        metric_count > 10,
        "only {metric_count} metrics were exported"
    );
    system.stop().await;
}

#[test]
fn error_codes_are_documented() {
    let codes = [
        ErrorCode::BadRequest,
        ErrorCode::Unauthorized,
        ErrorCode::Forbidden,
        ErrorCode::NotFound,
        ErrorCode::MethodNotAllowed,
        ErrorCode::KeyConflict,
        ErrorCode::TooLarge,
        ErrorCode::Quarantined,
        ErrorCode::Overloaded,
        ErrorCode::Failed,
        ErrorCode::Unavailable,
        ErrorCode::Unknown,
    ];
    for code in codes {
        let name = json!(code).as_str().unwrap().to_owned();
        let not_run = code.outcome().to_string() == "refused";
        let row = format!("| `{name}` | {} | {not_run} |", code.status().as_u16());
        assert!(INTERFACE_PAGE.contains(&row), "the page has no row `{row}`");
    }
}
