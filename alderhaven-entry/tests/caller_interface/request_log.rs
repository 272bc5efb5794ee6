//! Request ids, and the log event of a request that was not answered.

use std::sync::Mutex;

use log::{LevelFilter, Log, Metadata, Record};
use serde_json::{Value, json};

use crate::support;

/// All lines logged by this process, also those of other tests.
static LOGGED_LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct CapturingLog;

impl Log for CapturingLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if record.target() == "alderhaven" {
            LOGGED_LINES.lock().unwrap().push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

fn lines_of_request(id: &str) -> Vec<Value> {
    let lines = LOGGED_LINES.lock().unwrap();
    let lines = lines.iter().map(|line| serde_json::from_str(line).unwrap());
    lines.filter(|line: &Value| line["request"] == id).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_carries_and_logs_request_id() {
    log::set_logger(&CapturingLog).unwrap();
    log::set_max_level(LevelFilter::Info);
    let entry = support::start(json!({})).await;
    let good = r#"{"team":"desk","parameters":{"key":"secret"}}"#;

    let reply = entry.query("open", "x-request-id: own-1\r\n", "{").await;
    assert_eq!(reply.header("x-request-id"), Some("own-1"));
    let [line] = lines_of_request("own-1").try_into().unwrap();
    assert_eq!(line["event"], "request_not_answered");
    assert_eq!(line["level"], "INFO");
    assert_eq!(
        (&line["code"], &line["outcome"]),
        (&json!("bad_request"), &json!("refused"))
    );
    assert_eq!(
        line["class"],
        Value::Null,
        "the class is unknown before planning"
    );

    let reply = entry.query("open", "x-request-id: own-2\r\n", good).await;
    assert_eq!(reply.header("x-request-id"), Some("own-2"));
    let [line] = lines_of_request("own-2").try_into().unwrap();
    assert_eq!(
        (&line["code"], &line["class"]),
        (&json!("overloaded"), &json!("urgent"))
    );
    assert_eq!(
        (&line["template"], &line["team"]),
        (&json!("open"), &json!("desk"))
    );
    assert_eq!(line["not_run"], true);
    assert!(!line.to_string().contains("secret"), "{line}");

    let health = b"GET /v1/health HTTP/1.1\r\nhost: e\r\nx-request-id: own-3\r\n\r\n";
    let reply = entry.send(health).await;
    assert_eq!(
        (reply.status, reply.header("x-request-id")),
        (200, Some("own-3"))
    );
    assert_eq!(lines_of_request("own-3"), Vec::<Value>::new());

    let longest = "x".repeat(64);
    let reply = entry
        .query("open", &format!("x-request-id: {longest}\r\n"), "{")
        .await;
    assert_eq!(reply.header("x-request-id"), Some(longest.as_str()));
    let malformed = [
        "",
        "a b",
        "a\"b",
        "\u{e9}",
        &"x".repeat(65),
        "a\r\nx-request-id: b",
    ];
    for id in malformed {
        let reply = entry
            .query("open", &format!("x-request-id: {id}\r\n"), "{")
            .await;
        let made = reply.header("x-request-id").unwrap().to_owned();
        assert_eq!(
            made.len(),
            36,
            "`{id}` is replaced by a UUID, not by {made}"
        );
        assert_eq!(lines_of_request(&made).len(), 1);
    }
}
