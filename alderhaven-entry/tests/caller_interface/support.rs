//! A running entry with a stand-in for the platform, and callers that send raw bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use alderhaven_core::team;
use alderhaven_entry::node::EntryNode;
use alderhaven_standin::object_set::ObjectSet;
use alderhaven_standin::platform_server::{PlatformOptions, PlatformServer};
use alderhaven_store::config_follower::{ConfigFollower, FollowerOptions};
use alderhaven_store::http_store::{HttpStore, HttpStoreOptions};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;
use tokio_util::sync::CancellationToken;

/// Bearer token of the team `staff`.
pub const TOKEN: &str = "staff-token";
/// Time limit for a reply, and for the first configuration.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// A running entry without relays. It answers 429 to a query that passes all checks.
pub struct TestEntry {
    pub node: EntryNode,
    _platform: PlatformServer,
}

/// An HTTP reply, parsed from the bytes on the wire.
#[derive(Debug)]
pub struct RawReply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Starts an entry with the given limits, and waits for its configuration.
pub async fn start(limits: Value) -> TestEntry {
    let platform = PlatformServer::start(PlatformOptions {
        objects: vec![objects()],
        ..PlatformOptions::default()
    })
    .await
    .unwrap();
    let store = Arc::new(HttpStore::new(
        platform.address(),
        HttpStoreOptions::default(),
    ));
    let config = ConfigFollower::start(store, FollowerOptions::default(), CancellationToken::new());
    let settings = json!({
        "node": "entry-1", "host": "host-1", "domain": "domain-1", "limits": limits,
        "listen": "127.0.0.1:0", "operator_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
        "platform": platform.address(),
    });
    let node = EntryNode::start(serde_json::from_value(settings).unwrap(), config)
        .await
        .unwrap();
    let mut changed = node.state().applied.subscribe();
    time::timeout(REPLY_TIMEOUT, async {
        while node.state().applied.view().manifests.is_empty() {
            changed.changed().await.unwrap();
        }
    })
    .await
    .expect("the configuration arrives in time");
    TestEntry {
        node,
        _platform: platform,
    }
}

fn objects() -> ObjectSet {
    let parameters = json!({
        "key": { "kind": { "type": "text", "max_length": 8 } },
        "count": { "kind": { "type": "integer", "min": 1, "max": 9 }, "default": 1 },
    });
    let template = |name: &str, teams: Value| {
        json!({ "name": name, "service": "sample", "parameters": parameters, "teams": teams,
            "shards": { "select": "all" }, "merge": { "rule": "concatenate" },
            "class": "urgent", "deadline": "2s" })
    };
    let replica = json!({ "target": "sample-0-0", "address": "127.0.0.1:1", "domain": "domain-1",
        "slots": 1, "connections": 1 });
    let set = json!({
        "templates": [template("open", json!([])), template("closed", json!(["staff"]))],
        "teams": [
            { "name": "desk" },
            { "name": "staff", "token_hash": team::hash_token(TOKEN) },
        ],
        "manifests": [{ "service": "sample", "snapshot": 1,
            "shards": [{ "shard": 0, "version": 1, "replicas": [replica] }] }],
    });
    serde_json::from_value(set).unwrap()
}

impl TestEntry {
    /// Returns the entry's address for callers.
    pub const fn address(&self) -> SocketAddr {
        self.node.caller_address()
    }

    /// Sends bytes on a new connection, and reads the reply.
    pub async fn send(&self, bytes: &[u8]) -> RawReply {
        let mut stream = TcpStream::connect(self.address()).await.unwrap();
        exchange(&mut stream, bytes).await
    }

    /// Sends a query with additional headers, each terminated by `\r\n`.
    pub async fn query(&self, template: &str, headers: &str, body: &str) -> RawReply {
        self.send(&query_bytes(template, headers, body)).await
    }
}

/// Encodes a query as an HTTP request.
pub fn query_bytes(template: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST /v1/query/{template} HTTP/1.1\r\nhost: entry\r\n{headers}\
         content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Sends bytes, and reads one reply.
pub async fn exchange(stream: &mut TcpStream, bytes: &[u8]) -> RawReply {
    // The entry may refuse the request and stop reading before all bytes are sent.
    let _refused_before = stream.write_all(bytes).await;
    time::timeout(REPLY_TIMEOUT, read_reply(stream))
        .await
        .expect("the reply arrives in time")
}

async fn read_reply(stream: &mut TcpStream) -> RawReply {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(position) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break position + 4;
        }
        assert_ne!(stream.read_buf(&mut bytes).await.unwrap(), 0, "no reply");
    };
    let head = String::from_utf8(bytes[..head_end].to_vec()).unwrap();
    let mut reply = RawReply {
        status: head[9..12].parse().unwrap(),
        body: String::new(),
        head: head.to_ascii_lowercase(),
    };
    let length: usize = reply.header("content-length").unwrap().parse().unwrap();
    while bytes.len() < head_end + length {
        assert_ne!(stream.read_buf(&mut bytes).await.unwrap(), 0, "no body");
    }
    reply.body = String::from_utf8(bytes[head_end..head_end + length].to_vec()).unwrap();
    reply
}

impl RawReply {
    /// Returns the value of a header. Names are in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .filter_map(|line| line.split_once(": "))
            .find(|(header, _)| *header == name)
            .map(|(_, value)| value)
    }

    /// Returns the body, parsed as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body)
            .unwrap_or_else(|error| panic!("{error}: {} {}", self.head, self.body))
    }

    /// Checks that the reply is an error with `not_run`, and that its message contains `part`.
    #[track_caller]
    pub fn assert_refused(&self, status: u16, code: &str, part: &str) {
        let body = self.json();
        let error = &body["error"];
        assert_eq!(
            (self.status, &error["code"]),
            (status, &json!(code)),
            "{body}"
        );
        assert_eq!(error["not_run"], json!(true), "{body}");
        let message = error["message"].as_str().unwrap();
        assert!(
            message.contains(part),
            "message `{message}` does not contain `{part}`"
        );
        assert_eq!(self.header("content-type"), Some("application/json"));
    }
}
