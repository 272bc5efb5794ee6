//! Replies of targets to a relay whose status is none of an answer.

use std::net::SocketAddr;

use alderhaven_core::ids::{IndexVersion, ShardId, SnapshotId};
use alderhaven_core::outcome::AttemptOutcome;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::connection_health::HealthOptions;
use alderhaven_relay::target_call;
use alderhaven_relay::target_call::CallOptions;
use alderhaven_relay::target_connections::TargetConnections;
use alderhaven_store::target_dialect::TargetRequest;
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const ROWS: &str = "[[1],[2],[3]]";

/// Texts after the protocol's version that name no success of HTTP.
const ODD_STATUSES: [&str; 10] = [
    "000 OK",
    "099 OK",
    "100 Continue",
    "101 Switching Protocols",
    "600 OK",
    "999 OK",
    "20 OK",
    "2000 OK",
    "+20 OK",
    "-20 OK",
];

fn request() -> TargetRequest {
    TargetRequest {
        attempt: "2a-7".parse().expect("a valid attempt id"),
        service: "stock".to_owned(),
        template: "sweep".to_owned(),
        snapshot: SnapshotId(3),
        shard: ShardId(4),
        version: IndexVersion(5),
        remaining: TimeSpan::from_secs(1),
        parameters: Bytes::from_static(b"{}"),
    }
}

async fn start_target(status: &'static str, is_reused: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a loopback port can be bound");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, status, is_reused));
        }
    });
    address
}

/// Answers the first request of a connection well if `is_good`, and all others with the status.
async fn serve(mut stream: TcpStream, status: &'static str, mut is_good: bool) {
    let mut bytes = Vec::new();
    loop {
        match stream.read_buf(&mut bytes).await {
            Ok(0) | Err(_) => return,
            Ok(_) if !bytes.ends_with(b"\r\n\r\n{}") => continue,
            Ok(_) => bytes.clear(),
        }
        let text = if std::mem::take(&mut is_good) {
            "200 OK"
        } else {
            status
        };
        let (attempt, length) = (request().attempt, ROWS.len());
        let reply = format!(
            "HTTP/1.1 {text}\r\nx-attempt-id: {attempt}\r\nx-snapshot: 3\r\nx-shard: 4\r\n\
            x-version: 5\r\ncontent-length: {length}\r\n\r\n{ROWS}"
        );
        if stream.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Guards against rows that are taken for an answer although their status is none of a success.
#[tokio::test]
async fn odd_status_is_no_answer() {
    for status in ODD_STATUSES {
        for is_reused in [false, true] {
            let address = start_target(status, is_reused).await;
            let silence = TimeSpan::from_secs(5);
            let health = HealthOptions::default();
            let clock = ProcessClock::default();
            let connections = TargetConnections::new(address, silence, health, clock);
            let options = CallOptions {
                expected_service_time: TimeSpan::from_secs(1),
                is_idempotent: false,
            };
            let request = request();
            let call = || target_call::run_attempt(&connections, "target", &request, options);
            if is_reused {
                assert_eq!(call().await.outcome, AttemptOutcome::Answered, "{status}");
            }
            let result = call().await;
            let is_failure =
                [AttemptOutcome::Unknown, AttemptOutcome::Failed].contains(&result.outcome);
            assert!(is_failure, "{status}, {is_reused}: {:?}", result.outcome);
            assert!(result.rows.is_empty(), "{status}");
        }
    }
}
