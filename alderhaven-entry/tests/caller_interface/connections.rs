//! The limit on open connections.

use std::time::Duration;

use serde_json::json;
use tokio::net::TcpStream;
use tokio::time;

use crate::support;

/// The pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Callers hold as many connections as an entry takes, and another one comes. Left in the queue of
/// the operating system it would hang unseen until others leave; it is told at once to go
/// elsewhere, and the ones that are open go on.
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
    // A place that becomes free is given again, as soon as the entry sees that it is free.
    drop(open);
    for _ in 0..1_000 {
        if entry.send(health).await.status == 200 {
            return;
        }
        time::sleep(POLL_INTERVAL).await;
    }
    panic!("the places that became free are not given again");
}
