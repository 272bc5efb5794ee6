//! Entries, relays and small targets in one process.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use alderhaven_core::config_object::StoredObject;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_entry::node::EntryNode;
use alderhaven_relay::node::RelayNode;
use alderhaven_standin::http_connection::HttpConnection;
use alderhaven_store::config_handle::ConfigHandle;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::time;

use crate::target::FakeTarget;

/// Time limit for a condition to hold.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Entries and relays with their targets.
pub struct TestSystem {
    replicas: usize,
    pub targets: Vec<FakeTarget>,
    pub relays: Vec<RelayNode>,
    pub entries: Vec<EntryNode>,
}

impl TestSystem {
    /// Starts a service with one shard. Each replica is in its own failure domain.
    pub async fn start(replicas: usize, nodes: usize, overrides: &Value) -> Self {
        Self::start_sharded(1, replicas, nodes, overrides).await
    }

    /// Starts a service with several shards.
    pub async fn start_sharded(
        shards: usize,
        replicas: usize,
        nodes: usize,
        overrides: &Value,
    ) -> Self {
        let mut targets = Vec::new();
        for _ in 0..shards * replicas {
            targets.push(FakeTarget::start().await);
        }
        let config = build_config(&targets, replicas);
        let mut relays = Vec::new();
        for number in 0..nodes {
            let settings = node_settings("relay", number, &overrides["relay"]);
            let settings = serde_json::from_value(settings).unwrap();
            relays.push(RelayNode::start(settings, config.clone()).await.unwrap());
        }
        let addresses: Vec<SocketAddr> = relays.iter().map(RelayNode::peer_address).collect();
        let mut system = Self {
            replicas,
            targets,
            relays,
            entries: Vec::new(),
        };
        for number in 0..nodes {
            system
                .add_entry(number, &addresses, &overrides["entry"])
                .await;
        }
        system
    }

    /// Starts an entry, and waits until it is connected to its relays.
    pub async fn add_entry(&mut self, number: usize, relays: &[SocketAddr], overrides: &Value) {
        let mut settings = node_settings("entry", number, overrides);
        settings["listen"] = json!("127.0.0.1:0");
        settings["relays"] = json!(relays);
        let settings = serde_json::from_value(settings).unwrap();
        let entry = EntryNode::start(settings, build_config(&self.targets, self.replicas)).await;
        let entry = entry.unwrap();
        wait_until("all relay links are usable", || {
            let links = entry.state().routes.links();
            links.len() == relays.len() && links.iter().all(|link| link.is_usable())
        })
        .await;
        wait_until_complete(entry.caller_address()).await;
        self.entries.push(entry);
    }

    /// Sends a query to an entry, and returns the body of the reply.
    pub async fn query(&self, entry: usize, name: &str) -> Value {
        send_query(self.entries[entry].caller_address(), name).await
    }

    pub fn dead_target_count(&self) -> usize {
        self.targets
            .iter()
            .filter(|target| target.is_dead())
            .count()
    }
}

/// Sends a query to the entry at an address, and returns the body of the reply.
pub async fn send_query(entry: SocketAddr, name: &str) -> Value {
    let body = json!({ "team": "desk", "parameters": { "name": name } }).to_string();
    let request = Request::post("/v1/query/lookup")
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let mut connection = HttpConnection::connect(entry).await.unwrap();
    let answer = time::timeout(CONDITION_TIMEOUT, connection.send(request))
        .await
        .unwrap();
    serde_json::from_slice(answer.unwrap().body()).unwrap()
}

/// Sends queries until an answer is complete, which shows that the entry has applied its
/// configuration.
async fn wait_until_complete(entry: SocketAddr) {
    let polling = async {
        while send_query(entry, "ready").await["outcome"] != "complete" {
            time::sleep(Duration::from_millis(1)).await;
        }
    };
    time::timeout(CONDITION_TIMEOUT, polling)
        .await
        .expect("an answer is complete in time");
}

/// Waits until a condition holds, and fails the test if it doesn't.
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let polling = async {
        while !holds() {
            time::sleep(Duration::from_millis(1)).await;
        }
    };
    time::timeout(CONDITION_TIMEOUT, polling)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting until {what}"));
}

/// Returns the value of a metric without labels.
pub fn metric(text: &str, name: &str) -> u64 {
    let line = text
        .lines()
        .find(|line| line.starts_with(&format!("{name} ")));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
        .unwrap_or_else(|| panic!("no metric {name} in {text}"))
}

fn node_settings(role: &str, number: usize, overrides: &Value) -> Value {
    let mut settings = json!({
        "node": format!("{role}-{number}"),
        "host": format!("host-{number}"),
        "domain": "accra-a",
        "peer_listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0",
        // Nothing listens on this port. The configuration is passed in directly.
        "platform": SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
    });
    if let (Some(settings), Some(overrides)) = (settings.as_object_mut(), overrides.as_object()) {
        settings.extend(overrides.clone());
    }
    settings
}

fn build_config(targets: &[FakeTarget], replicas: usize) -> ConfigHandle {
    let entry = |shard: usize, targets: &[FakeTarget]| {
        let replica = |(position, target): (usize, &FakeTarget)| {
            json!({
                "target": format!("stock-{shard}-{position}"), "address": target.address,
                "domain": format!("domain-{position}"), "slots": 2, "connections": 25,
            })
        };
        let replicas: Vec<Value> = targets.iter().enumerate().map(replica).collect();
        json!({
            "shard": shard, "version": 1, "first_key": shard.to_string(), "replicas": replicas,
        })
    };
    let shards: Vec<Value> = targets
        .chunks(replicas)
        .enumerate()
        .map(|(shard, targets)| entry(shard, targets))
        .collect();
    let config = ConfigHandle::default();
    config.accept(vec![
        stored_object(
            "template/lookup",
            &json!({
                "name": "lookup", "service": "stock",
                "parameters": { "name": { "kind": { "type": "text" } } },
                "shards": { "select": "all" }, "merge": { "rule": "concatenate" },
                "class": "ordinary", "preference": "coverage", "deadline": "5s",
            }),
        ),
        stored_object("team/desk", &json!({ "name": "desk", "weight": 1 })),
        stored_object(
            "manifest/stock",
            &json!({
                "service": "stock", "snapshot": 1, "shards": shards,
            }),
        ),
    ]);
    assert!(config.status().rejected.is_empty(), "{:?}", config.status());
    config
}

fn stored_object(key: &str, body: &Value) -> StoredObject {
    StoredObject {
        key: key.parse().unwrap(),
        version: StoreVersion::of_revision(1),
        write_id: String::new(),
        body: Some(body.to_string()),
    }
}
