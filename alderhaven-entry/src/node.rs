//! The entry as a whole: what it starts and what it answers operators.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use alderhaven_policy::config_registry::ConfigView;
use arc_swap::ArcSwap;
use tokio::net::TcpListener;
use tokio_util::task::AbortOnDropHandle;

use crate::caller_server;
use crate::caller_server::CallerService;
use crate::query_runner::QueryRunner;
use crate::relay_routes::RelayRoutes;
use crate::settings::EntrySettings;

/// An `EntryNode` is a running entry; dropping it ends its tasks.
#[derive(Debug)]
pub struct EntryNode {
    settings: EntrySettings,
    caller_address: SocketAddr,
    routes: Arc<RelayRoutes>,
    _caller_task: AbortOnDropHandle<()>,
}

impl EntryNode {
    /// Starts an entry on the current runtime.
    ///
    /// # Errors
    /// An error of the operating system where an address can't be bound.
    pub async fn start(
        settings: EntrySettings,
        config: Arc<ArcSwap<ConfigView>>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let caller_address = listener.local_addr()?;
        let routes = Arc::new(RelayRoutes::default());
        routes.set_relays(&settings.relays);
        let service = CallerService {
            limits: settings.limits.clone(),
            config,
            runner: QueryRunner::new(rand::random(), Arc::clone(&routes)),
        };
        let serving = caller_server::serve(listener, Arc::new(service));
        Ok(Self {
            settings,
            caller_address,
            routes,
            _caller_task: AbortOnDropHandle::new(tokio::spawn(serving)),
        })
    }

    /// Gets the address for callers.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Gets the settings in force.
    #[must_use]
    pub const fn settings(&self) -> &EntrySettings {
        &self.settings
    }

    /// Gets the routes through relays.
    #[must_use]
    pub const fn routes(&self) -> &Arc<RelayRoutes> {
        &self.routes
    }
}
