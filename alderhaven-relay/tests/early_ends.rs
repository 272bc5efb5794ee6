//! Replies of targets to a relay that end before they are complete.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use alderhaven_core::ids::{IndexVersion, ShardId, SnapshotId};
use alderhaven_core::outcome::AttemptOutcome;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::connection_health::HealthOptions;
use alderhaven_relay::target_call;
use alderhaven_relay::target_call::{CallOptions, CallResult};
use alderhaven_relay::target_connections::TargetConnections;
use alderhaven_store::target_dialect::TargetRequest;
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const ROWS: &str = "[[1],[2],[3]]";

#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    Close,
    HalfClose,
    Reset,
}

/// Where and how replies end; the first reply of a target is whole.
#[derive(Clone, Copy, Debug)]
struct ReplyCut {
    length: usize,
    has_interim_response: bool,
    end: ConnectionEnd,
}

fn request() -> TargetRequest {
    TargetRequest {
        attempt: "2a-7".parse().expect("a valid attempt id"),
        service: "stock".to_owned(),
        template: "sweep".to_owned(),
        snapshot: SnapshotId(3),
        shard: ShardId(4),
        version: IndexVersion(5),
        remaining: TimeSpan::from_secs(5),
        parameters: Bytes::from_static(b"{}"),
    }
}

fn reply() -> Vec<u8> {
    let length = ROWS.len();
    let attempt = request().attempt;
    format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-snapshot: 3\r\nx-shard: 4\r\n\
        x-version: 5\r\ncontent-length: {length}\r\n\r\n{ROWS}"
    )
    .into_bytes()
}

async fn start_target(cut: ReplyCut) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a loopback port can be bound");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        let is_first = Arc::new(AtomicBool::new(true));
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, cut, Arc::clone(&is_first)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, cut: ReplyCut, is_first: Arc<AtomicBool>) {
    while read_request(&mut stream).await {
        if is_first.swap(false, Ordering::SeqCst) {
            stream.write_all(&reply()).await.expect("the relay reads");
            continue;
        }
        if cut.has_interim_response {
            let interim = b"HTTP/1.1 102 Processing\r\n\r\n";
            stream.write_all(interim).await.expect("the relay reads");
        }
        let bytes = reply();
        let part = &bytes[..cut.length];
        stream.write_all(part).await.expect("the relay reads");
        match cut.end {
            ConnectionEnd::Close => {}
            ConnectionEnd::HalfClose => {
                let _is_ended = stream.shutdown().await;
                let _rest = stream.read(&mut [0; 64]).await;
            }
            ConnectionEnd::Reset => stream.set_zero_linger().expect("a reset is possible"),
        }
        return;
    }
}

/// Reads one request, whose body is `{}`. Returns false at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n{}") {
        match stream.read_buf(&mut bytes).await {
            Ok(0) | Err(_) => return false,
            Ok(_) => {}
        }
    }
    true
}

async fn run(connections: &TargetConnections, is_idempotent: bool) -> CallResult {
    let options = CallOptions {
        expected_service_time: TimeSpan::from_secs(1),
        is_idempotent,
    };
    target_call::run_attempt(connections, "target", &request(), options).await
}

/// Guards against rows that are taken for a whole answer although the reply ended early, on a new and on a
/// reused connection, and against a second run of an attempt that may have run.
#[tokio::test]
async fn reply_that_ends_early_is_no_answer() {
    for end in [
        ConnectionEnd::Close,
        ConnectionEnd::HalfClose,
        ConnectionEnd::Reset,
    ] {
        for has_interim_response in [false, true] {
            for length in 0..reply().len() {
                let cut = ReplyCut {
                    length,
                    has_interim_response,
                    end,
                };
                let address = start_target(cut).await;
                let connections = TargetConnections::new(
                    address,
                    TimeSpan::from_secs(5),
                    HealthOptions::default(),
                    ProcessClock::default(),
                );
                let whole = run(&connections, false).await;
                assert_eq!(whole.outcome, AttemptOutcome::Answered, "{cut:?}");
                assert_eq!(whole.rows, ROWS);
                for is_idempotent in [false, true] {
                    let result = run(&connections, is_idempotent).await;
                    assert_eq!(result.outcome, AttemptOutcome::Unknown, "{cut:?}");
                    assert!(result.rows.is_empty(), "{cut:?}");
                }
            }
        }
    }
}
