//! The relay as a whole: what it starts and what it answers operators.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use alderhaven_core::ids::NodeId;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_peer::strike_board::StrikeBoard;
use alderhaven_platform::config_handle::ConfigHandle;
use alderhaven_platform::http_client::ClientOptions;
use alderhaven_platform::http_hosts::HttpHosts;
use alderhaven_platform::operator_server;
use alderhaven_platform::operator_server::OperatorSource;
use alderhaven_platform::target_watch::TargetWatch;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio_util::task::AbortOnDropHandle;

use crate::lane_table::LaneTable;
use crate::metrics::RelayMetrics;
use crate::peer_server;
use crate::settings::RelaySettings;

/// A `RelayNode` is a running relay; dropping it ends its tasks.
#[derive(Debug)]
pub struct RelayNode {
    settings: RelaySettings,
    peer_address: SocketAddr,
    operator_address: SocketAddr,
    state: Arc<RelayState>,
    _tasks: [AbortOnDropHandle<()>; 4],
}

/// A `RelayState` is what the parts of a relay share, as operators see it.
#[derive(Debug)]
pub struct RelayState {
    /// The relay's own id.
    pub node: NodeId,
    /// The configuration in force.
    pub config: ConfigHandle,
    /// The lanes to targets.
    pub table: Arc<LaneTable>,
    /// The targets that get no new work.
    pub watch: TargetWatch,
    /// What is counted.
    pub metrics: RelayMetrics,
}

impl RelayNode {
    /// Starts a relay on the current runtime; `config` is kept up to date by the caller.
    ///
    /// # Errors
    /// An error of the operating system where an address can't be bound.
    pub async fn start(settings: RelaySettings, config: ConfigHandle) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.peer_listen).await?;
        let peer_address = listener.local_addr()?;
        let operator_listener = TcpListener::bind(settings.operator_listen).await?;
        let operator_address = operator_listener.local_addr()?;
        let metrics = RelayMetrics::default();
        let watch = TargetWatch::default();
        let hosts = HttpHosts::new(settings.platform, ClientOptions::default());
        let clock = ProcessClock::default();
        let strikes = Arc::new(StrikeBoard::new(
            settings.policy,
            settings.quarantine.clone(),
            clock,
        ));
        let table = Arc::new(LaneTable::new(
            settings.lane_options(),
            metrics.attempts.clone(),
            watch.clone(),
            strikes,
            clock,
        ));
        let refused = metrics.refused_connections.clone();
        let state = Arc::new(RelayState {
            node: settings.node.clone(),
            config,
            table: Arc::clone(&table),
            watch: watch.clone(),
            metrics,
        });
        let tasks = [
            tokio::spawn(watch.clone().follow(Arc::new(hosts), state.config.clone())),
            tokio::spawn(Arc::clone(&table).expire_forever()),
            tokio::spawn(peer_server::serve(
                listener,
                table,
                settings.limits.peer_connections,
                refused,
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

    /// Gets the address for other processes of the system.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Gets the address for operators.
    #[must_use]
    pub const fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Gets the settings in force.
    #[must_use]
    pub const fn settings(&self) -> &RelaySettings {
        &self.settings
    }

    /// Gets what the parts of the relay share.
    #[must_use]
    pub const fn state(&self) -> &Arc<RelayState> {
        &self.state
    }
}

impl OperatorSource for RelayState {
    fn metrics(&self) -> String {
        self.metrics.encode()
    }

    fn dump(&self) -> Value {
        json!({ "status": self.status(), "lanes": self.table.reports(),
            "leaving_targets": *self.watch.names(), "quarantine": self.table.strikes().entries() })
    }

    fn status(&self) -> Value {
        json!({
            "node": self.node,
            "role": "relay",
            "config": self.config.status(),
        })
    }

    fn drain(&self) {}
}
