//! A platform, a service with two shards, a relay and two entries in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use alderhaven_core::config_object::{ObjectKey, ObjectKind};
use alderhaven_core::ids::SnapshotId;
use alderhaven_core::time::TimeSpan;
use alderhaven_entry::node::EntryNode;
use alderhaven_entry::settings::EntrySettings;
use alderhaven_policy::claim_key::ClaimKey;
use alderhaven_relay::node::RelayNode;
use alderhaven_relay::settings::RelaySettings;
use alderhaven_standin::fake_store::FakeStore;
use alderhaven_standin::http_connection::HttpConnection;
use alderhaven_standin::platform_faults::PlatformFaults;
use alderhaven_standin::platform_server::{PlatformOptions, PlatformServer};
use alderhaven_standin::service_layout::ServiceLayout;
use alderhaven_standin::service_time::ServiceTime;
use alderhaven_standin::target_fleet::{FleetOptions, TargetFleet};
use alderhaven_standin::target_state::TargetFaults;
use alderhaven_store::config_follower::{ConfigFollower, FollowerOptions};
use alderhaven_store::config_handle::ConfigHandle;
use alderhaven_store::http_store::{HttpStore, HttpStoreOptions};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

/// Time limit for a condition to hold.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

pub struct SmallSystem {
    pub store: FakeStore,
    pub fleet: TargetFleet,
    platform: PlatformServer,
    relay: RelayNode,
    entries: Vec<EntryNode>,
    shutdown: CancellationToken,
}

/// Reply to a caller.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub body: Value,
}

impl Answer {
    fn parse(response: &Response<Bytes>) -> Self {
        Self {
            status: response.status(),
            body: serde_json::from_slice(response.body()).unwrap(),
        }
    }

    pub fn error_code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or("none")
    }

    pub fn is_not_run(&self) -> bool {
        self.body["error"]["not_run"] == json!(true)
    }

    pub fn is_complete(&self) -> bool {
        self.status == StatusCode::OK && self.body["outcome"] == json!("complete")
    }

    pub fn is_replayed(&self) -> bool {
        self.body["replayed"] == json!(true)
    }
}

/// Creates a key with the current time.
pub fn fresh_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

impl SmallSystem {
    pub async fn start() -> Self {
        let store = FakeStore::default();
        let layout = ServiceLayout {
            service: "sample".parse().unwrap(),
            shards: 2,
            service_time: ServiceTime {
                mean: TimeSpan::from_millis(1),
                ..ServiceTime::default()
            },
            ..ServiceLayout::default()
        };
        let fleet = TargetFleet::start(FleetOptions {
            services: vec![layout],
            ..FleetOptions::default()
        })
        .await
        .unwrap();
        publish(&store, &fleet);
        let platform = PlatformServer::start(PlatformOptions {
            store: store.clone(),
            ..PlatformOptions::default()
        })
        .await
        .unwrap();
        let relay = RelayNode::start(relay_settings(platform.address()), ConfigHandle::default())
            .await
            .unwrap();
        let mut system = Self {
            store,
            fleet,
            platform,
            relay,
            entries: Vec::new(),
            shutdown: CancellationToken::new(),
        };
        for number in 0..2 {
            let entry = system.start_entry(number).await;
            system.entries.push(entry);
        }
        system
    }

    async fn start_entry(&self, number: usize) -> EntryNode {
        let settings = entry_settings(number, self.platform.address(), &self.relay);
        let store = HttpStore::new(self.platform.address(), HttpStoreOptions::default());
        let config = ConfigFollower::start(
            Arc::new(store),
            FollowerOptions::default(),
            self.shutdown.child_token(),
        );
        let mut changed = config.subscribe();
        while config.view().templates.len() < 2 || config.view().manifests.is_empty() {
            tokio::time::timeout(CONDITION_TIMEOUT, changed.changed())
                .await
                .expect("the configuration arrives in time")
                .unwrap();
        }
        let entry = EntryNode::start(settings, config).await.unwrap();
        wait_until("the entry is connected to the relay", || {
            entry
                .state()
                .routes
                .links()
                .iter()
                .any(|link| link.is_usable())
        })
        .await;
        entry
    }

    /// Replaces an entry by a new one without its state.
    pub async fn restart(&mut self, number: usize) {
        let entry = self.start_entry(number).await;
        self.entries[number] = entry;
    }

    fn entry(&self, number: usize) -> &EntryNode {
        &self.entries[number]
    }

    pub fn address(&self, entry: usize) -> SocketAddr {
        self.entry(entry).caller_address()
    }

    /// Sends a non-idempotent request to an entry.
    pub async fn assign(&self, entry: usize, key: &str, isbn: &str) -> Answer {
        self.send(entry, "assign", Some(key), isbn).await
    }

    pub async fn send(
        &self,
        entry: usize,
        template: &str,
        key: Option<&str>,
        isbn: &str,
    ) -> Answer {
        let mut connection = HttpConnection::connect(self.address(entry)).await.unwrap();
        let response = connection
            .send(build_request(template, key, isbn))
            .await
            .unwrap();
        Answer::parse(&response)
    }

    pub fn run_count(&self) -> usize {
        self.fleet.run_log().run_count()
    }

    pub fn set_platform_faults(&self, faults: PlatformFaults) {
        self.store.set_faults(faults);
    }

    pub fn set_target_faults(&self, faults: TargetFaults) {
        for target in self.fleet.targets() {
            target.state().set_faults(faults);
        }
    }

    /// Waits until an entry has no pending claims and releases.
    pub async fn wait_for_releases(&self, entry: usize) {
        wait_until("claims are released", || {
            let report = self.entry(entry).state().claimed_runner.ledger().report();
            report.releases == 0 && report.waiting == 0
        })
        .await;
    }

    pub async fn stop(self) {
        self.shutdown.cancel();
        drop(self.entries);
        drop(self.relay);
        self.fleet.stop().await;
        self.platform.stop().await;
    }
}

/// Waits until a condition holds, and fails the test if it doesn't.
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(CONDITION_TIMEOUT, waiting).await;
    assert!(waited.is_ok(), "timed out waiting until {what}");
}

pub fn build_request(template: &str, key: Option<&str>, isbn: &str) -> Request<Full<Bytes>> {
    let body = json!({ "team": "desk", "parameters": { "isbn": isbn } });
    let mut builder = Request::post(format!("/v1/query/{template}"));
    if let Some(key) = key {
        builder = builder.header("Idempotency-Key", key);
    }
    let body = Full::new(Bytes::from(body.to_string()));
    builder.body(body).unwrap()
}

/// Creates a key whose time is `offset_millis` from now.
pub fn key_with_time_offset(offset_millis: i64) -> String {
    let now: ClaimKey = fresh_key().parse().unwrap();
    let millis = now.millis().saturating_add_signed(offset_millis);
    ClaimKey::new(millis, [7; 10]).to_string()
}

fn publish(store: &FakeStore, fleet: &TargetFleet) {
    for manifest in fleet.manifests(SnapshotId(1)) {
        let name = manifest.service.to_string();
        put_object(store, ObjectKind::Manifest, &name, &json!(manifest));
    }
    put_object(store, ObjectKind::Team, "desk", &json!({ "name": "desk" }));
    for (name, idempotent) in [("assign", false), ("look-up", true)] {
        let template = json!({
            "name": name,
            "service": "sample",
            "parameters": { "isbn": { "kind": { "type": "text", "max_length": 13 } } },
            "shards": { "select": "by_key_hash", "parameter": "isbn" },
            "merge": { "rule": "concatenate" },
            "idempotent": idempotent,
            "deadline": "10s",
        });
        put_object(store, ObjectKind::Template, name, &template);
    }
}

fn put_object(store: &FakeStore, kind: ObjectKind, name: &str, body: &Value) {
    let name = name.to_owned();
    store.put(ObjectKey { kind, name }, Some(body.to_string()));
}

fn relay_settings(platform: SocketAddr) -> RelaySettings {
    serde_json::from_value(json!({
        "node": "relay-1",
        "host": "host-1",
        "domain": "domain-1",
        "peer_listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0",
        "platform": platform,
    }))
    .unwrap()
}

fn entry_settings(number: usize, platform: SocketAddr, relay: &RelayNode) -> EntrySettings {
    serde_json::from_value(json!({
        "node": format!("entry-{number}"),
        "host": "host-1",
        "domain": "domain-1",
        "listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "platform": platform,
        "relays": [relay.peer_address()],
    }))
    .unwrap()
}
