//! A relay process: its servers and background tasks, and its state for operators.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use alderhaven_core::ids::NodeId;
use alderhaven_core::manifest::ReplicaEntry;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_intake::socket_options;
use alderhaven_node::node_group::{GroupOptions, NodeGroup};
use alderhaven_node::process_main::ProcessNode;
use alderhaven_node::stop_handle::StopHandle;
use alderhaven_peer::strike_tracker::StrikeTracker;
use alderhaven_policy::drain::StopReport;
use alderhaven_policy::membership::member_record::MemberRole;
use alderhaven_policy::subset::{RelayCandidate, RelaySubsets, SubsetOptions, SubsetTarget};
use alderhaven_store::config_handle::ConfigHandle;
use alderhaven_store::http_client::ClientOptions;
use alderhaven_store::http_hosts::HttpHosts;
use alderhaven_store::operator_server;
use alderhaven_store::operator_server::OperatorSource;
use alderhaven_store::target_watch::TargetWatch;
use serde_json::{Value, json};
use tokio::time;
use tokio_util::task::AbortOnDropHandle;

use crate::dispatcher_table::DispatcherTable;
use crate::metrics::RelayMetrics;
use crate::peer_server;
use crate::settings::RelaySettings;

/// Time to write the last replies before the process ends.
const REPLY_FLUSH_TIME: Duration = Duration::from_millis(200);

/// A running relay; dropping it aborts its tasks.
#[derive(Debug)]
pub struct RelayNode {
    settings: RelaySettings,
    peer_address: SocketAddr,
    operator_address: SocketAddr,
    state: Arc<RelayState>,
    _tasks: [AbortOnDropHandle<()>; 7],
}

/// State that the tasks of a relay share and that operators can read.
#[derive(Debug)]
pub struct RelayState {
    /// Id of the relay.
    pub node: NodeId,
    /// Configuration in force.
    pub config: ConfigHandle,
    /// Dispatchers to targets.
    pub table: Arc<DispatcherTable>,
    /// Targets that get no new work.
    pub target_watch: TargetWatch,
    /// Metrics of the relay.
    pub metrics: RelayMetrics,
    /// Group of entries and relays.
    pub group: NodeGroup,
    /// Handle of the graceful shutdown.
    pub stop: StopHandle,
}

impl RelayNode {
    /// Starts a relay on the current runtime; the caller keeps `config` up to date.
    ///
    /// # Errors
    /// Returns an I/O error if an address can't be bound.
    pub async fn start(settings: RelaySettings, config: ConfigHandle) -> io::Result<Self> {
        let listener = socket_options::listen_for_peers(settings.peer_listen)?;
        let peer_address = listener.local_addr()?;
        let operator_listener = socket_options::listen_for_callers(settings.operator_listen)?;
        let operator_address = operator_listener.local_addr()?;
        let metrics = RelayMetrics::default();
        let target_watch = TargetWatch::default();
        let hosts = HttpHosts::new(settings.platform, ClientOptions::default());
        let clock = ProcessClock::default();
        let strikes = Arc::new(StrikeTracker::new(
            settings.policy,
            settings.quarantine.clone(),
            clock,
        ));
        let table = Arc::new(DispatcherTable::new(
            settings.dispatch_options(),
            metrics.attempts.clone(),
            target_watch.clone(),
            strikes,
            clock,
        ));
        let refused_connections = metrics.refused_connections.clone();
        let group = NodeGroup::start(group_options(&settings, peer_address), &config).await?;
        let stop = StopHandle::default();
        let state = Arc::new(RelayState {
            node: settings.node.clone(),
            config,
            table: Arc::clone(&table),
            target_watch: target_watch.clone(),
            metrics,
            group: group.clone(),
            stop: stop.clone(),
        });
        let drained_table = Arc::clone(&table);
        let tasks = [
            tokio::spawn(prepare_dispatchers(Arc::clone(&state))),
            tokio::spawn(stop.clone().drive(settings.stop.clone(), group, move || {
                drained_table.unfinished_count()
            })),
            tokio::spawn(
                target_watch
                    .clone()
                    .follow(Arc::new(hosts), state.config.clone()),
            ),
            tokio::spawn(Arc::clone(&table).expire_forever()),
            tokio::spawn(refuse_waiting_at_close(Arc::clone(&table), stop.clone())),
            tokio::spawn(peer_server::serve(
                listener,
                table,
                stop,
                settings.limits.peer_connections,
                refused_connections,
            )),
            tokio::spawn(operator_server::serve(
                operator_listener,
                Arc::clone(&state),
            )),
        ];
        Ok(Self {
            settings,
            peer_address,
            operator_address,
            state,
            _tasks: tasks.map(AbortOnDropHandle::new),
        })
    }

    /// Returns the bound address for other processes of the system.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the bound address for operators.
    #[must_use]
    pub const fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns the bound gossip address; `None` if the relay is not part of a group.
    #[must_use]
    pub fn gossip_address(&self) -> Option<SocketAddr> {
        self.state.group.gossip_address()
    }

    /// Requests a graceful shutdown; after a second call the relay refuses what waits and ends.
    pub fn request_stop(&self) {
        self.state.stop.request_stop();
    }

    /// Waits for the end of the shutdown and returns its report, which counts the aborted attempts.
    pub async fn stopped(&self) -> StopReport {
        let report = self.state.stop.stopped().await;
        // The last replies are still in the send queues of the connections.
        time::sleep(REPLY_FLUSH_TIME).await;
        report
    }

    /// Returns the settings that the relay was started with.
    #[must_use]
    pub const fn settings(&self) -> &RelaySettings {
        &self.settings
    }

    /// Returns the state that the tasks share.
    #[must_use]
    pub const fn state(&self) -> &Arc<RelayState> {
        &self.state
    }
}

impl ProcessNode for RelayNode {
    type Settings = RelaySettings;

    async fn start(settings: RelaySettings, config: ConfigHandle) -> io::Result<Self> {
        Self::start(settings, config).await
    }

    fn ready_line(&self) -> Value {
        json!({
            "ready": true,
            "node": self.state.node,
            "peer": self.peer_address,
            "operator": self.operator_address,
            "gossip": self.gossip_address(),
        })
    }

    fn request_stop(&self) {
        Self::request_stop(self);
    }

    async fn stopped(&self) -> StopReport {
        Self::stopped(self).await
    }
}

impl OperatorSource for RelayState {
    fn metrics(&self) -> String {
        self.metrics.encode()
    }

    fn dump(&self) -> Value {
        json!({ "status": self.status(), "lanes": self.table.reports(), "leaving_targets": *self.target_watch.leaving_names(),
            "quarantine": self.table.strikes().entries(),
            "members": &*self.group.members(), "group": self.group.snapshot() })
    }

    fn status(&self) -> Value {
        json!({
            "node": self.node,
            "role": "relay",
            "state": self.stop.state(),
            "in_flight": self.table.unfinished_count(),
            "config": self.config.status(),
        })
    }

    fn drain(&self) {
        self.stop.request_stop_once();
    }
}

/// Answers the attempts that wait when the relay gives its final answers. Their entries could not know
/// otherwise that they never ran.
async fn refuse_waiting_at_close(table: Arc<DispatcherTable>, stop: StopHandle) {
    stop.closing().await;
    table.refuse_waiting();
}

fn group_options(settings: &RelaySettings, peer_address: SocketAddr) -> GroupOptions {
    GroupOptions::builder()
        .node(settings.node.clone())
        .role(MemberRole::Relay)
        .host(settings.host.clone())
        .domain(settings.domain.clone())
        .maybe_gossip_listen(settings.gossip_listen)
        .seeds(settings.seeds.clone())
        .peer_address(peer_address)
        .build()
}

/// Creates the dispatchers, with their connections, of the targets whose primary relay this is.
///
/// Runs again after each change of the configuration or the group. Without it, the first queries
/// after a change of the primary relay would wait for new connections.
async fn prepare_dispatchers(state: Arc<RelayState>) {
    let mut config_changed = state.config.subscribe();
    let mut group_changed = state.group.subscribe();
    loop {
        config_changed.borrow_and_update();
        group_changed.borrow_and_update();
        prepare_primary_targets(&state);
        let has_closed = tokio::select! {
            changed = config_changed.changed() => changed.is_err(),
            changed = group_changed.changed() => changed.is_err(),
        };
        if has_closed {
            return;
        }
    }
}

fn prepare_primary_targets(state: &RelayState) {
    let candidates: Vec<RelayCandidate> = state
        .group
        .working_members(MemberRole::Relay)
        .into_iter()
        .map(|member| RelayCandidate {
            node: member.record.node.clone(),
            domain: member.record.domain.clone(),
        })
        .collect();
    let view = state.config.view();
    let replicas: Vec<&ReplicaEntry> = view
        .manifests
        .values()
        .flat_map(|manifest| &manifest.shards)
        .flat_map(|entry| &entry.replicas)
        .collect();
    let targets: Vec<SubsetTarget> = replicas
        .iter()
        .map(|replica| SubsetTarget {
            target: replica.target.clone(),
            max_connections: replica.connections,
        })
        .collect();
    let subsets = RelaySubsets::choose(&targets, &candidates, &SubsetOptions::default());
    for replica in replicas {
        if subsets.relays_of(&replica.target).first() == Some(&state.node) {
            state.table.prepare_target(replica);
        }
    }
}
