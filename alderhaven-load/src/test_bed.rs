//! Complete system in one process: stand-ins of platform and targets, relays and entries.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use alderhaven_core::ids::NodeId;
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_core::settings;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::template::QueryTemplate;
use alderhaven_entry::node::EntryNode;
use alderhaven_entry::settings::EntrySettings;
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_relay::node::RelayNode;
use alderhaven_relay::settings::RelaySettings;
use alderhaven_standin::fake_store::FakeStore;
use alderhaven_standin::platform_server::{PlatformOptions, PlatformServer};
use alderhaven_standin::registration;
use alderhaven_standin::target_fleet::{FleetOptions, TargetFleet};
use alderhaven_store::config_follower::{ConfigFollower, FollowerOptions};
use alderhaven_store::config_handle::ConfigHandle;
use alderhaven_store::http_store::{HttpStore, HttpStoreOptions};
use eyre::{Result, WrapErr, bail};
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use crate::answer_oracle::ConfigObservation;
use crate::crashable_runtime::CrashableRuntime;
use crate::run_options::RunOptions;
use crate::scenario::ScenarioKind;
use crate::workload::Workload;

/// Time within which the system must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of the checks for readiness and for idle targets.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval of the checks of each node's configuration.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Running system with its stand-ins.
#[derive(Debug)]
pub struct TestBed {
    platform: PlatformServer,
    fleet: TargetFleet,
    manifests: Mutex<Vec<SnapshotManifest>>,
    templates: Vec<QueryTemplate>,
    publication_count: AtomicUsize,
    /// Runtime of the first relay in scenarios that crash it.
    crashable_runtime: Mutex<Option<CrashableRuntime>>,
    configs: Vec<(NodeId, ConfigHandle)>,
    relays: Vec<RelayNode>,
    entries: Vec<EntryNode>,
    config_observations: Arc<Mutex<Vec<ConfigObservation>>>,
    shutdown: CancellationToken,
}

impl TestBed {
    /// Starts all parts, and waits until every node has the complete configuration and every entry
    /// is connected to every relay.
    ///
    /// # Errors
    /// Where an address can't be bound, or the system isn't ready in time.
    pub async fn start(workload: &Workload, options: &RunOptions) -> Result<Self> {
        let platform = PlatformServer::start(PlatformOptions {
            objects: vec![workload.objects()],
            ..PlatformOptions::default()
        })
        .await?;
        let fleet = TargetFleet::start(FleetOptions {
            services: workload.layouts.clone(),
            seed: options.seed,
            ..FleetOptions::default()
        })
        .await?;
        let manifests = registration::register(&fleet, platform.address()).await?;
        let mut bed = Self {
            platform,
            fleet,
            manifests: Mutex::new(manifests),
            templates: workload.objects().templates,
            publication_count: AtomicUsize::new(0),
            crashable_runtime: Mutex::default(),
            configs: Vec::new(),
            relays: Vec::new(),
            entries: Vec::new(),
            config_observations: Arc::default(),
            shutdown: CancellationToken::new(),
        };
        bed.start_nodes(options).await?;
        bed.wait_until_ready().await?;
        tokio::spawn(
            bed.shutdown
                .clone()
                .run_until_cancelled_owned(observe_configs(
                    bed.configs.clone(),
                    Arc::clone(&bed.config_observations),
                )),
        );
        Ok(bed)
    }

    async fn start_nodes(&mut self, options: &RunOptions) -> Result<()> {
        let (policy, nodes) = (options.policy, options.nodes);
        for number in 1..=nodes {
            let settings: RelaySettings = self.node_settings("relay", number, policy, "")?;
            let config = self.start_follower(&settings.node);
            let relay = if number == 1 && options.scenario == ScenarioKind::RelayCrash {
                let runtime = CrashableRuntime::new()?;
                let start_task = runtime.spawn(RelayNode::start(settings, config));
                *lock(&self.crashable_runtime) = Some(runtime);
                start_task.await?
            } else {
                RelayNode::start(settings, config).await
            };
            self.relays.push(relay.wrap_err("can't start a relay")?);
        }
        let relays: Vec<SocketAddr> = self.relays.iter().map(RelayNode::peer_address).collect();
        let extra_settings = format!(
            "listen: 127.0.0.1:0\nrelays: {}\n",
            serde_json::to_string(&relays)?
        );
        for number in 1..=nodes {
            let settings: EntrySettings =
                self.node_settings("entry", number, policy, &extra_settings)?;
            let config = self.start_follower(&settings.node);
            let entry = EntryNode::start(settings, config).await;
            self.entries.push(entry.wrap_err("can't start an entry")?);
        }
        Ok(())
    }

    /// Parses a node's settings as its process does; omitted ones take their defaults.
    fn node_settings<T: serde::de::DeserializeOwned>(
        &self,
        role: &str,
        number: usize,
        policy: PolicyKind,
        extra_settings: &str,
    ) -> Result<T> {
        let platform = self.platform.address();
        let text = format!(
            "node: {role}-{number}\nhost: host-{number}\ndomain: domain-1\n\
             peer_listen: 127.0.0.1:0\noperator_listen: 127.0.0.1:0\n\
             platform: {platform}\npolicy: {policy}\n{extra_settings}"
        );
        Ok(settings::read_text(role, &text)?)
    }

    fn start_follower(&mut self, node: &NodeId) -> ConfigHandle {
        let store = HttpStore::new(self.platform.address(), HttpStoreOptions::default());
        let options = FollowerOptions::default();
        let config = ConfigFollower::start(Arc::new(store), options, self.shutdown.clone());
        self.configs.push((node.clone(), config.clone()));
        config
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() >= deadline {
                bail!(
                    "the system is not ready after {} s",
                    START_TIMEOUT.as_secs()
                );
            }
            time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let revision = self.platform.store().table().revision();
        let in_force = |config: &ConfigHandle| config.complete_revision() >= Some(revision);
        let is_linked = |entry: &EntryNode| {
            let links = entry.state().routes.links();
            links.len() == self.relays.len() && links.iter().all(|link| link.is_usable())
        };
        self.configs.iter().all(|(_, config)| in_force(config))
            && self.entries.iter().all(is_linked)
    }

    /// Returns the addresses for callers.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(EntryNode::caller_address).collect()
    }

    /// Returns the targets.
    #[must_use]
    pub const fn fleet(&self) -> &TargetFleet {
        &self.fleet
    }

    /// Returns all published manifests, former ones included.
    #[must_use]
    pub fn manifests(&self) -> Vec<SnapshotManifest> {
        lock(&self.manifests).clone()
    }

    /// Adds manifests that were published.
    pub fn record_manifests(&self, manifests: impl IntoIterator<Item = SnapshotManifest>) {
        lock(&self.manifests).extend(manifests);
    }

    /// Returns the platform's address.
    #[must_use]
    pub const fn platform_address(&self) -> SocketAddr {
        self.platform.address()
    }

    /// Returns the platform's store, to inject faults.
    #[must_use]
    pub const fn store(&self) -> &FakeStore {
        self.platform.store()
    }

    /// Returns the last template of the workload.
    #[must_use]
    pub fn last_template(&self) -> Option<QueryTemplate> {
        self.templates.last().cloned()
    }

    /// Adds to the number of accepted publications.
    pub fn add_publications(&self, count: usize) {
        self.publication_count.fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the number of accepted publications.
    #[must_use]
    pub fn publication_count(&self) -> usize {
        self.publication_count.load(Ordering::Relaxed)
    }

    /// Returns the number of target ejections, summed over all entries.
    #[must_use]
    pub fn ejection_count(&self) -> u64 {
        let count = |entry: &EntryNode| entry.state().metrics.ejections.get();
        self.entries.iter().map(count).sum()
    }

    /// Returns the lowest number of usable relays among the entries.
    #[must_use]
    pub fn min_usable_relays(&self) -> usize {
        let usable = |entry: &EntryNode| {
            let links = entry.state().routes.links();
            links.iter().filter(|link| link.is_usable()).count()
        };
        self.entries.iter().map(usable).min().unwrap_or(0)
    }

    /// Crashes the first relay, if it runs on its own runtime.
    pub fn crash_relay(&self) {
        lock(&self.crashable_runtime).take();
    }

    /// Returns the observed configuration revisions, in the order of observation.
    #[must_use]
    pub fn config_observations(&self) -> Vec<ConfigObservation> {
        lock(&self.config_observations).clone()
    }

    /// Waits until no attempt runs at any target.
    ///
    /// # Errors
    /// Where an attempt still runs after `limit`.
    pub async fn wait_until_idle(&self, limit: Duration) -> Result<()> {
        let deadline = Instant::now() + limit;
        while self.fleet.run_log().running_count() > 0 {
            if Instant::now() >= deadline {
                bail!(
                    "targets still run attempts after waiting {} s",
                    limit.as_secs()
                );
            }
            time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Stops nodes, targets and platform.
    pub async fn stop(self) {
        self.shutdown.cancel();
        drop(self.entries);
        drop(self.relays);
        self.fleet.stop().await;
        self.platform.stop().await;
    }
}

async fn observe_configs(
    configs: Vec<(NodeId, ConfigHandle)>,
    observations: Arc<Mutex<Vec<ConfigObservation>>>,
) {
    let mut last: Vec<Option<StoreVersion>> = vec![None; configs.len()];
    loop {
        for (position, (node, config)) in configs.iter().enumerate() {
            let revision = config.complete_revision();
            if revision == last[position] {
                continue;
            }
            last[position] = revision;
            let observation = revision.map(|revision| ConfigObservation {
                node: node.clone(),
                revision,
            });
            lock(&observations).extend(observation);
        }
        time::sleep(CONFIG_POLL_INTERVAL).await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
