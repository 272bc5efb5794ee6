//! Targets of several services in one process, with a common run log and control API.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use alderhaven_core::ids::{SnapshotId, TargetId};
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_store::host_list::HostRecord;

use crate::fleet_control;
use crate::fleet_services::FleetServices;
use crate::http_server::ServerHandle;
use crate::run_log::RunLog;
use crate::service_layout::{DeploymentKind, ServiceLayout};
use crate::target_server::TargetServer;

/// Services of a fleet and its settings.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Layouts of the services to run.
    pub services: Vec<ServiceLayout>,
    /// Seed of the simulated run times.
    pub seed: u64,
    /// Address of the control API; port 0 selects a free one.
    pub control: SocketAddr,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            services: DeploymentKind::Volta.layouts(),
            seed: 1,
            control: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        }
    }
}

/// Running targets with their control server.
#[derive(Debug)]
pub struct TargetFleet {
    services: Arc<FleetServices>,
    run_log: Arc<RunLog>,
    control_server: ServerHandle,
}

impl TargetFleet {
    /// Starts all targets and the control server ([`fleet_control`]).
    ///
    /// # Errors
    /// `InvalidInput` for an invalid layout, and the operating system's error where no port can be
    /// bound.
    pub async fn start(options: FleetOptions) -> io::Result<Self> {
        let services = FleetServices::start(options.services, options.seed).await?;
        let services = Arc::new(services);
        let shared = Arc::clone(&services);
        let control_server = ServerHandle::start(options.control, move |request| {
            let services = Arc::clone(&shared);
            async move { Ok(fleet_control::handle_request(services, request).await) }
        })
        .await?;
        Ok(Self {
            run_log: Arc::clone(services.run_log()),
            services,
            control_server,
        })
    }

    /// Returns the services, to inject faults and to change versions.
    #[must_use]
    pub const fn services(&self) -> &Arc<FleetServices> {
        &self.services
    }

    /// Builds the manifests of all services, numbered `snapshot`.
    #[must_use]
    pub fn manifests(&self, snapshot: SnapshotId) -> Vec<SnapshotManifest> {
        self.services.manifests(snapshot)
    }

    /// Returns the host list entries of all targets that haven't been stopped.
    #[must_use]
    pub fn host_records(&self) -> Vec<HostRecord> {
        self.services.host_records()
    }

    /// Iterates over all targets by service, initial shard and replica.
    pub fn targets(&self) -> impl Iterator<Item = &TargetServer> {
        self.services.targets()
    }

    /// Looks up a target by name.
    #[must_use]
    pub fn target(&self, target: &TargetId) -> Option<&TargetServer> {
        self.services.target(target)
    }

    /// Returns the log that all targets write to.
    #[must_use]
    pub const fn run_log(&self) -> &Arc<RunLog> {
        &self.run_log
    }

    /// Returns the address of the control API.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        self.control_server.address()
    }

    /// Stops all targets, waits for the attempts in flight, then stops the control server.
    pub async fn stop(&self) {
        futures::future::join_all(self.targets().map(TargetServer::stop)).await;
        self.control_server.stop().await;
    }
}
