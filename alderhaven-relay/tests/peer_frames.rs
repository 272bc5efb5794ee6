//! Tests of a relay against valid, malformed and unknown messages on its peer port.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use alderhaven_core::ids::{IndexVersion, ShardId};
use alderhaven_core::time::TimeSpan;
use alderhaven_peer::codec::MAX_FRAME_BYTES;
use alderhaven_peer::connection;
use alderhaven_peer::connection::{FrameReader, FrameSender};
use alderhaven_peer::frames::{
    AttemptReply, CancelAttempts, CancelledAttempt, PeerMessage, ReplyStatus, ScatterAttempt,
    ScatterRequest,
};
use alderhaven_relay::node::RelayNode;
use alderhaven_standin::run_log::RunLog;
use alderhaven_standin::service_time::ServiceTime;
use alderhaven_standin::target_server::TargetServer;
use alderhaven_standin::target_state::TargetSpec;
use alderhaven_store::config_follower::{ConfigFollower, FollowerOptions};
use alderhaven_store::http_store::{HttpStore, HttpStoreOptions};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;
use tokio_util::sync::CancellationToken;

/// Longest wait for a reply or a closed connection.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Address on which nothing listens.
const UNREACHABLE_ADDRESS: &str = "127.0.0.1:1";

/// Connection of an entry to the relay.
struct PeerLink {
    sender: FrameSender,
    reader: FrameReader,
}

async fn start_relay(peer_connections: usize) -> RelayNode {
    start_relay_with(peer_connections, &json!({})).await
}

async fn start_relay_with(peer_connections: usize, stop: &Value) -> RelayNode {
    let platform: SocketAddr = UNREACHABLE_ADDRESS.parse().unwrap();
    let store = Arc::new(HttpStore::new(platform, HttpStoreOptions::default()));
    let config = ConfigFollower::start(store, FollowerOptions::default(), CancellationToken::new());
    let settings = json!({
        "node": "relay-1", "host": "host-1", "domain": "domain-1", "platform": platform,
        "operator_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
        "limits": { "peer_connections": peer_connections },
        "stop": stop,
    });
    RelayNode::start(serde_json::from_value(settings).unwrap(), config)
        .await
        .unwrap()
}

async fn start_target() -> TargetServer {
    let spec = TargetSpec {
        target: "sample-0-0".parse().unwrap(),
        domain: "domain-1".parse().unwrap(),
        service: "sample".parse().unwrap(),
        shard: ShardId(0),
        version: IndexVersion(1),
        slots: 2,
        connections: 25,
        max_queue_length: 4,
        connect_cost: TimeSpan::ZERO,
        service_time: ServiceTime {
            mean: TimeSpan::from_millis(1),
            ..ServiceTime::default()
        },
        seed: 1,
    };
    TargetServer::start(spec, Arc::new(RunLog::default()))
        .await
        .unwrap()
}

fn scatter_request(sequence: u64, address: &impl ToString) -> ScatterRequest {
    ScatterRequest {
        origin: 7,
        service: "sample".to_owned(),
        template: "sweep".to_owned(),
        parameters: r#"{"key":"a"}"#.into(),
        snapshot: 1,
        class: 1,
        order: 1,
        remaining_us: 20_000_000,
        idempotent: true,
        attempts: vec![ScatterAttempt {
            sequence,
            shard: 0,
            version: 1,
            target: "sample-0-0".to_owned(),
            address: address.to_string(),
            slots: 2,
            connections: 25,
            domain: "accra-a".to_owned(),
        }],
        is_hedge: false,
    }
}

impl PeerLink {
    async fn open(relay: &RelayNode) -> Self {
        let stream = TcpStream::connect(relay.peer_address()).await.unwrap();
        let (sender, reader) = connection::split(stream).unwrap();
        Self { sender, reader }
    }

    /// Sends an attempt and returns its reply.
    async fn send_and_receive(&mut self, request: ScatterRequest) -> AttemptReply {
        let sequence = request.attempts[0].sequence;
        self.sender.send(PeerMessage::Scatter(request)).unwrap();
        let next = connection::next_message(&mut self.reader);
        match time::timeout(WAIT_LIMIT, next)
            .await
            .expect("no reply from the relay in time")
        {
            Some(PeerMessage::Reply(reply)) => {
                assert_eq!(reply.sequence, sequence);
                reply
            }
            other => panic!("expected a reply, received {other:?}"),
        }
    }

    async fn assert_answered(&mut self, request: ScatterRequest) {
        let reply = self.send_and_receive(request).await;
        assert_eq!(reply.status(), ReplyStatus::Answered, "{reply:?}");
        assert!(!reply.rows.is_empty());
    }
}

/// Sends bytes on a new connection and waits until the relay closes it without a reply.
async fn send_until_closed(relay: &RelayNode, bytes: &[u8]) {
    let mut stream = TcpStream::connect(relay.peer_address()).await.unwrap();
    // The relay may close the connection before it has read all bytes.
    let _closed_before = stream.write_all(bytes).await;
    let mut reply = Vec::new();
    let ended = time::timeout(WAIT_LIMIT, stream.read_to_end(&mut reply)).await;
    let _end_or_reset = ended.expect("the relay did not close the connection in time");
    assert_eq!(reply, b"", "the relay replied to {bytes:?}");
}

fn encode_frame(body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len()).unwrap().to_be_bytes();
    [&length, body].concat()
}

/// Guards against malformed input that ends the relay, makes it wait for a huge frame or disturbs
/// other connections. Only the connection of the sender is closed.
#[tokio::test(flavor = "multi_thread")]
async fn serve_survives_malformed_frames() {
    let target = start_target().await;
    let relay = start_relay(8).await;
    let mut link = PeerLink::open(&relay).await;
    link.assert_answered(scatter_request(1, &target.address()))
        .await;
    let too_long = u32::try_from(MAX_FRAME_BYTES + 1).unwrap().to_be_bytes();
    let malformed = [
        b"GET / HTTP/1.1\r\nhost: relay\r\n\r\n".to_vec(),
        vec![0xff; 4096],
        too_long.to_vec(),
        // A field longer than its frame, an invalid wire type and a string that is not UTF-8.
        encode_frame(&[0x12, 0x7f, 0x00]),
        encode_frame(&[0x17]),
        encode_frame(&[0x12, 0x03, 0x12, 0x01, 0xff]),
    ];
    for (sequence, bytes) in (2..).zip(malformed) {
        send_until_closed(&relay, &bytes).await;
        link.assert_answered(scatter_request(sequence, &target.address()))
            .await;
    }
}

/// Guards against a relay that closes the connection of a newer entry because of an unknown
/// message. The message is ignored, and later attempts on the same connection are answered.
#[tokio::test(flavor = "multi_thread")]
async fn serve_ignores_unknown_messages() {
    let target = start_target().await;
    let relay = start_relay(8).await;
    let mut stream = TcpStream::connect(relay.peer_address()).await.unwrap();
    // An empty frame, an unknown message type and an unknown field in a known message.
    let unknown: [&[u8]; 3] = [
        &[],
        &[0xa2, 0x06, 0x02, 0x61, 0x62],
        &[0x0a, 0x02, 0x78, 0x05],
    ];
    for body in unknown {
        stream.write_all(&encode_frame(body)).await.unwrap();
    }
    let (sender, reader) = connection::split(stream).unwrap();
    let mut link = PeerLink { sender, reader };
    link.assert_answered(scatter_request(1, &target.address()))
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn offer_attempts_survives_out_of_range_values() {
    let target = start_target().await;
    let relay = start_relay(8).await;
    let mut link = PeerLink::open(&relay).await;
    let mut unroutable = [
        scatter_request(1, &"nowhere"),
        scatter_request(2, &target.address()),
        scatter_request(3, &target.address()),
    ];
    unroutable[1].attempts[0].target = "Not A Target".to_owned();
    unroutable[2].template = String::new();
    for request in unroutable {
        let reply = link.send_and_receive(request).await;
        assert_eq!(reply.status(), ReplyStatus::NoRoute, "{reply:?}");
    }
    let mut out_of_range = scatter_request(4, &target.address());
    out_of_range.remaining_us = u64::MAX;
    out_of_range.class = u32::MAX;
    out_of_range.order = u64::MAX;
    out_of_range.attempts[0].slots = u32::MAX;
    out_of_range.attempts[0].connections = 0;
    link.assert_answered(out_of_range).await;
    let mut expired = scatter_request(5, &target.address());
    expired.remaining_us = 0;
    let reply = link.send_and_receive(expired).await;
    assert_eq!(reply.status(), ReplyStatus::Expired, "{reply:?}");
    let unknown = |sequence, target: &str| CancelledAttempt {
        sequence,
        target: target.to_owned(),
    };
    let cancel = CancelAttempts {
        origin: 99,
        attempts: vec![unknown(1, "sample-0-0"), unknown(2, "none"), unknown(3, "")],
    };
    link.sender.send(PeerMessage::Cancel(cancel)).unwrap();
    link.assert_answered(scatter_request(6, &target.address()))
        .await;
}

/// Guards against connections above the limit that stay in the accept queue: they would look open,
/// and attempts sent on them would wait until their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn serve_closes_connections_beyond_limit() {
    let target = start_target().await;
    let relay = start_relay(1).await;
    let mut link = PeerLink::open(&relay).await;
    link.assert_answered(scatter_request(1, &target.address()))
        .await;
    for _ in 0..3 {
        send_until_closed(&relay, b"").await;
    }
    assert_eq!(relay.state().metrics.refused_connections.get(), 3);
    link.assert_answered(scatter_request(2, &target.address()))
        .await;
}

/// Guards against a relay that keeps sending attempts to the old address of a target that has been
/// restarted on another port.
#[tokio::test(flavor = "multi_thread")]
async fn dispatcher_for_follows_a_target_to_its_new_address() {
    let relay = start_relay(8).await;
    let mut link = PeerLink::open(&relay).await;
    let first = start_target().await;
    link.assert_answered(scatter_request(1, &first.address()))
        .await;
    let second = start_target().await;
    link.assert_answered(scatter_request(2, &second.address()))
        .await;
    let dispatchers = relay.state().table.all_dispatchers();
    let addresses: Vec<SocketAddr> = dispatchers
        .iter()
        .map(|(_, dispatcher)| dispatcher.address())
        .collect();
    assert_eq!(addresses, [second.address()]);
}

/// Starts a target that never replies, and crashes as soon as it has read a request with this text.
async fn start_crashing_target(text: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let crashed = CancellationToken::new();
    tokio::spawn(crashed.clone().run_until_cancelled_owned(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let stopping = crashed.clone();
            tokio::spawn(crashed.clone().run_until_cancelled_owned(async move {
                let mut read = Vec::new();
                while connection
                    .read_buf(&mut read)
                    .await
                    .is_ok_and(|count| count > 0)
                {
                    if String::from_utf8_lossy(&read).contains(text) {
                        stopping.cancel();
                    }
                }
                std::future::pending::<()>().await;
            }));
        }
    }));
    address
}

/// Guards against blaming a crash on the other requests in flight, because the one that caused it had
/// timed out at the relay before.
#[tokio::test]
async fn timed_out_attempt_is_in_flight_at_the_crash_of_its_target() {
    let relay = start_relay(16).await;
    let address = start_crashing_target(r#""key":"a""#).await;
    let mut link = PeerLink::open(&relay).await;
    let crashing = ScatterRequest {
        parameters: r#"{"key":"slow"}"#.into(),
        remaining_us: 100_000,
        ..scatter_request(1, &address)
    };
    let reply = link.send_and_receive(crashing).await;
    assert_eq!(reply.status(), ReplyStatus::Unknown, "{reply:?}");
    let other = scatter_request(2, &address);
    link.sender.send(PeerMessage::Scatter(other)).unwrap();
    let next = connection::next_message(&mut link.reader);
    let message = time::timeout(WAIT_LIMIT, next).await.unwrap();
    let Some(PeerMessage::Strikes(notice)) = message else {
        panic!("expected strikes, received {message:?}");
    };
    let strikes = notice.strikes.iter();
    let blamed: BTreeSet<&str> = strikes.map(|strike| strike.fingerprint.as_str()).collect();
    assert_eq!(blamed.len(), 2, "{notice:?}");
}

/// Guards against a stop that takes attempts which may run beyond its end.
#[tokio::test]
async fn stopping_relay_refuses_attempts_that_may_outlast_it() {
    let stop = json!({ "heard_within": "5s", "address_life": "0s", "limit": "10s" });
    let relay = start_relay_with(4, &stop).await;
    let target = start_target().await;
    let mut link = PeerLink::open(&relay).await;
    link.assert_answered(scatter_request(1, &target.address()))
        .await;
    relay.request_stop();
    let notice = connection::next_message(&mut link.reader).await;
    assert!(
        matches!(notice, Some(PeerMessage::Leaving(_))),
        "{notice:?}"
    );
    let long = scatter_request(2, &target.address());
    let reply = link.send_and_receive(long).await;
    assert_eq!(reply.status(), ReplyStatus::NoRoute, "{reply:?}");
    let mut short = scatter_request(3, &target.address());
    short.remaining_us = 3_000_000;
    link.assert_answered(short).await;
}

/// Guards against attempts that end with their relay, without the word that they never ran.
#[tokio::test]
async fn stopping_relay_refuses_what_waits_at_its_limit() {
    const ATTEMPTS: u64 = 12;
    let stop = json!({ "heard_within": "100ms", "address_life": "0s", "limit": "1s" });
    let relay = start_relay_with(4, &stop).await;
    // Accepts connections and never replies.
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = silent.local_addr().unwrap();
    let mut link = PeerLink::open(&relay).await;
    for sequence in 0..ATTEMPTS {
        let mut request = scatter_request(sequence, &address);
        request.idempotent = false;
        link.sender.send(PeerMessage::Scatter(request)).unwrap();
    }
    let waits = async {
        while relay.state().table.unfinished_count() == 0 {
            time::sleep(Duration::from_millis(1)).await;
        }
    };
    time::timeout(WAIT_LIMIT, waits).await.unwrap();
    let unfinished = relay.state().table.unfinished_count();
    relay.request_stop();
    relay.stopped().await;
    let mut refused = 0;
    let replies = async {
        while let Some(message) = connection::next_message(&mut link.reader).await {
            let PeerMessage::Reply(reply) = message else {
                continue;
            };
            refused += usize::from(reply.status() == ReplyStatus::NoRoute);
            if refused + 2 >= unfinished {
                return;
            }
        }
    };
    time::timeout(WAIT_LIMIT, replies).await.unwrap();
    assert!(refused > 0, "what waits is refused");
}
