//! The whole system on loopback, in this process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_core::template::QueryTemplate;
use alderhaven_entry::node::EntryNode;
use alderhaven_entry::settings::EntrySettings;
use alderhaven_relay::node::RelayNode;
use alderhaven_relay::settings::RelaySettings;
use alderhaven_standin::platform_server::{PlatformOptions, PlatformServer};
use alderhaven_standin::registration;
use alderhaven_standin::run_log::RunLog;
use alderhaven_standin::service_layout::DeploymentKind;
use alderhaven_standin::target_fleet::{FleetOptions, TargetFleet};
use alderhaven_store::config_follower::{ConfigFollower, FollowerOptions};
use alderhaven_store::config_handle::ConfigHandle;
use alderhaven_store::http_store::{HttpStore, HttpStoreOptions};
use eyre::{Result, WrapErr, bail};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::time;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::example_objects;

/// The most entries and relays of each kind, as many as the hosts of a small trial.
pub const MAX_NODES: usize = 64;
/// The time within which the system must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause between two looks at whether the system is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The failure domains that the nodes are spread over.
const FAILURE_DOMAINS: [&str; 4] = ["accra-1", "accra-2", "accra-3", "accra-4"];

/// A `LocalSystem` is the running system.
#[derive(Debug)]
pub struct LocalSystem {
    platform: PlatformServer,
    fleet: TargetFleet,
    relays: Vec<RelayNode>,
    entries: Vec<EntryNode>,
    templates: Vec<QueryTemplate>,
    manifests: Vec<SnapshotManifest>,
    shutdown: CancellationToken,
}

impl LocalSystem {
    /// Starts stand-ins of the platform and of the targets of both deployments, and `nodes` relays
    /// and entries, and waits until all of them are ready.
    ///
    /// # Errors
    /// Where a port can't be bound, the examples don't check or the system is not ready in time.
    pub async fn start(nodes: usize, seed: u64) -> Result<Self> {
        if !(1..=MAX_NODES).contains(&nodes) {
            bail!("nodes: {nodes} is refused: allowed is 1 to {MAX_NODES}");
        }
        let objects = example_objects::load()?;
        let templates = objects.templates.clone();
        let platform = PlatformServer::start(PlatformOptions {
            objects: vec![objects],
            ..PlatformOptions::default()
        })
        .await
        .wrap_err("the platform's stand-in can't start")?;
        let fleet = TargetFleet::start(FleetOptions {
            services: [DeploymentKind::Volta, DeploymentKind::Lagerblik]
                .into_iter()
                .flat_map(DeploymentKind::layouts)
                .collect(),
            seed,
            ..FleetOptions::default()
        })
        .await
        .wrap_err("the stand-in targets can't start")?;
        let manifests = registration::register(&fleet, platform.address()).await?;
        let shutdown = CancellationToken::new();
        let relays = start_relays(nodes, platform.address(), &shutdown).await?;
        let entries = start_entries(&relays, platform.address(), &shutdown).await?;
        let system = Self {
            platform,
            fleet,
            relays,
            entries,
            templates,
            manifests,
            shutdown,
        };
        system.wait_until_ready().await?;
        Ok(system)
    }

    /// Gets the entries' addresses for callers.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(EntryNode::caller_address).collect()
    }

    /// Gets the operator addresses of all entries and then of all relays.
    #[must_use]
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.entries.iter().map(EntryNode::operator_address);
        let relays = self.relays.iter().map(RelayNode::operator_address);
        entries.chain(relays).collect()
    }

    /// Gets the address of the platform's stand-in.
    #[must_use]
    pub const fn platform_address(&self) -> SocketAddr {
        self.platform.address()
    }

    /// Gets the number of running targets.
    #[must_use]
    pub fn target_count(&self) -> usize {
        self.fleet.targets().count()
    }

    /// Gets the published templates.
    #[must_use]
    pub fn templates(&self) -> &[QueryTemplate] {
        &self.templates
    }

    /// Gets the published manifests.
    #[must_use]
    pub fn manifests(&self) -> &[SnapshotManifest] {
        &self.manifests
    }

    /// Gets the record of what the targets ran.
    #[must_use]
    pub const fn run_log(&self) -> &Arc<RunLog> {
        self.fleet.run_log()
    }

    /// Stops everything; the targets finish what is in flight.
    pub async fn stop(self) {
        self.shutdown.cancel();
        drop(self.entries);
        drop(self.relays);
        self.fleet.stop().await;
        self.platform.stop().await;
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.entries.iter().all(|entry| self.is_ready(entry)) {
            if Instant::now() >= deadline {
                bail!("the system is not ready after {READY_TIMEOUT:?}");
            }
            time::sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns true where the entry plans on the whole configuration and reaches all relays.
    ///
    /// What its watch has brought is not enough: until all parts of the entry have taken that over, a
    /// first query is refused because the configuration is not known yet.
    fn is_ready(&self, entry: &EntryNode) -> bool {
        let state = entry.state();
        let view = state.applied.view();
        let links = state.routes.links();
        view.templates.len() == self.templates.len()
            && view.manifests.len() == self.manifests.len()
            && links.iter().filter(|link| link.is_usable()).count() >= self.relays.len()
    }
}

async fn start_relays(
    count: usize,
    platform: SocketAddr,
    shutdown: &CancellationToken,
) -> Result<Vec<RelayNode>> {
    let mut relays = Vec::new();
    for number in 1..=count {
        let settings: RelaySettings = parse_settings(node_settings("relay", number, platform))?;
        relays.push(RelayNode::start(settings, start_follower(platform, shutdown)).await?);
    }
    Ok(relays)
}

async fn start_entries(
    relays: &[RelayNode],
    platform: SocketAddr,
    shutdown: &CancellationToken,
) -> Result<Vec<EntryNode>> {
    let addresses: Vec<SocketAddr> = relays.iter().map(RelayNode::peer_address).collect();
    let mut entries = Vec::new();
    for number in 1..=relays.len() {
        let mut values = node_settings("entry", number, platform);
        values["listen"] = json!("127.0.0.1:0");
        values["relays"] = json!(addresses);
        let settings: EntrySettings = parse_settings(values)?;
        entries.push(EntryNode::start(settings, start_follower(platform, shutdown)).await?);
    }
    Ok(entries)
}

fn start_follower(platform: SocketAddr, shutdown: &CancellationToken) -> ConfigHandle {
    let store = Arc::new(HttpStore::new(platform, HttpStoreOptions::default()));
    ConfigFollower::start(store, FollowerOptions::default(), shutdown.clone())
}

/// Gets the settings that a node's file would hold; all else takes its default.
fn node_settings(role: &str, number: usize, platform: SocketAddr) -> Value {
    json!({
        "node": format!("{role}-{number}"),
        "host": format!("host-{number}"),
        "domain": FAILURE_DOMAINS[(number - 1) % FAILURE_DOMAINS.len()],
        "peer_listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0",
        "platform": platform,
    })
}

fn parse_settings<T: DeserializeOwned>(values: Value) -> Result<T> {
    serde_json::from_value(values).wrap_err("the quickstart's settings don't check")
}
