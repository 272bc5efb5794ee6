//! The limit on open connections from callers.

use std::time::Duration;

use serde_json::json;
use tokio::net::TcpStream;
use tokio::time;

use crate::support;

/// Interval between attempts to connect.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Connections above the limit are refused at once, so that callers can try another entry instead
/// of waiting in the accept queue. Open connections are not affected.
#[tokio::test(flavor = "multi_thread")]
async fn serve_refuses_connections_beyond_limit() {
    let health: &[u8] = b"GET /v1/health HTTP/1.1\r\nhost: e\r\n\r\n";
    let entry = support::start(json!({ "caller_connections": 2 })).await;
    let mut open = Vec::new();
    for _ in 0..2 {
        let mut stream = TcpStream::connect(entry.address()).await.unwrap();
        assert_eq!(support::exchange(&mut stream, health).await.status, 200);
        open.push(stream);
    }
    for _ in 0..5 {
        let reply = entry.send(health).await;
        reply.assert_refused(429, "overloaded", "too many connections");
        assert_eq!(reply.json()["error"]["retry_after_ms"], 1_000);
        assert_eq!(reply.header("connection"), Some("close"));
    }
    assert_eq!(entry.node.state().metrics.refused_connections.get(), 5);
    for stream in &mut open {
        assert_eq!(support::exchange(stream, health).await.status, 200);
    }
    // A closed connection frees its place as soon as the entry notices.
    drop(open);
    for _ in 0..1_000 {
        if entry.send(health).await.status == 200 {
            return;
        }
        time::sleep(POLL_INTERVAL).await;
    }
    panic!("no connection is accepted after others were closed");
}
