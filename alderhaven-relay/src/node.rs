//! The relay as a whole: what it starts and what it answers operators.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio_util::task::AbortOnDropHandle;

use crate::lane_table::LaneTable;
use crate::peer_server;
use crate::settings::RelaySettings;

/// A `RelayNode` is a running relay; dropping it ends its tasks.
#[derive(Debug)]
pub struct RelayNode {
    settings: RelaySettings,
    peer_address: SocketAddr,
    table: Arc<LaneTable>,
    _peer_task: AbortOnDropHandle<()>,
}

impl RelayNode {
    /// Starts a relay on the current runtime.
    ///
    /// # Errors
    /// An error of the operating system where an address can't be bound.
    pub async fn start(settings: RelaySettings) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.peer_listen).await?;
        let peer_address = listener.local_addr()?;
        let table = Arc::new(LaneTable::new(settings.limits.clone()));
        let serving = peer_server::serve(
            listener,
            Arc::clone(&table),
            settings.limits.peer_connections,
        );
        Ok(Self {
            settings,
            peer_address,
            table,
            _peer_task: AbortOnDropHandle::new(tokio::spawn(serving)),
        })
    }

    /// Gets the address for other processes of the system.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Gets the settings in force.
    #[must_use]
    pub const fn settings(&self) -> &RelaySettings {
        &self.settings
    }

    /// Gets the lanes.
    #[must_use]
    pub const fn table(&self) -> &Arc<LaneTable> {
        &self.table
    }
}
