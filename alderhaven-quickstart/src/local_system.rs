//! Starts platform and target stand-ins, relays and entries in this process, on loopback.

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

/// The limit of entries, and of relays.
pub const MAX_NODES: usize = 64;
/// The time after which the start fails if the system is not ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause between checks whether the system is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The nodes are assigned to these in turn.
const FAILURE_DOMAINS: [&str; 4] = ["accra-1", "accra-2", "accra-3", "accra-4"];

/// A running system; [`stop`](Self::stop) ends it in order.
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
    /// Starts stand-ins of the platform and of the targets of both deployments, `nodes` relays and
    /// `nodes` entries, and waits until all entries are ready. `seed` determines the run times at
    /// targets.
    ///
    /// # Errors
    /// If `nodes` is out of range, a port can't be bound, an example is invalid or the system does
    /// not become ready in time.
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
        .wrap_err("the platform stand-in can't start")?;
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

    /// Gets the addresses at which the entries accept queries.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(EntryNode::caller_address).collect()
    }

    /// Gets the operator addresses, first of all entries, then of all relays.
    #[must_use]
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.entries.iter().map(EntryNode::operator_address);
        let relays = self.relays.iter().map(RelayNode::operator_address);
        entries.chain(relays).collect()
    }

    /// Gets the address of the platform stand-in.
    #[must_use]
    pub const fn platform_address(&self) -> SocketAddr {
        self.platform.address()
    }

    /// Counts the stand-in targets of both deployments.
    #[must_use]
    pub fn target_count(&self) -> usize {
        self.fleet.targets().count()
    }

    /// Gets the templates that the platform stand-in serves.
    #[must_use]
    pub fn templates(&self) -> &[QueryTemplate] {
        &self.templates
    }

    /// Gets the manifests that were published for the stand-in targets.
    #[must_use]
    pub fn manifests(&self) -> &[SnapshotManifest] {
        &self.manifests
    }

    /// Gets the log of runs, which all targets share.
    #[must_use]
    pub const fn run_log(&self) -> &Arc<RunLog> {
        self.fleet.run_log()
    }

    /// Stops everything; the targets finish their requests in flight.
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

    /// Returns `true` if the entry has applied the whole configuration and can use all relays.
    ///
    /// It checks the applied view, not the watch: until the entry has applied what the watch
    /// received, it refuses queries for lack of configuration.
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

/// Gets the settings of a node as its settings file would hold them; the rest has defaults.
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
    serde_json::from_value(values).wrap_err("the generated node settings are invalid")
}
