//! Many targets in one process, with one record of their runs.

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

/// A `FleetOptions` says which targets run.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The services.
    pub services: Vec<ServiceLayout>,
    /// The seed of the run times.
    pub seed: u64,
    /// The address of the control calls; port 0 takes a free one.
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

/// A `TargetFleet` is a set of running targets with its control server.
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
    /// `InvalidInput` for a layout that does not check, and the operating system's error where no
    /// port can be bound.
    pub async fn start(options: FleetOptions) -> io::Result<Self> {
        let services = FleetServices::start(options.services, options.seed).await?;
        let services = Arc::new(services);
        let shared = Arc::clone(&services);
        let control = ServerHandle::start(options.control, move |request| {
            let services = Arc::clone(&shared);
            async move { Ok(fleet_control::handle_request(services, request).await) }
        })
        .await?;
        Ok(Self {
            run_log: Arc::clone(services.run_log()),
            services,
            control_server: control,
        })
    }

    /// Gets the services, for faults and changes.
    #[must_use]
    pub const fn services(&self) -> &Arc<FleetServices> {
        &self.services
    }

    /// Gets the manifests of all services as snapshot `snapshot`.
    #[must_use]
    pub fn manifests(&self, snapshot: SnapshotId) -> Vec<SnapshotManifest> {
        self.services.manifests(snapshot)
    }

    /// Gets the targets' lines of the host list.
    #[must_use]
    pub fn host_records(&self) -> Vec<HostRecord> {
        self.services.host_records()
    }

    /// Gets all targets, by service, shard and replica.
    pub fn targets(&self) -> impl Iterator<Item = &TargetServer> {
        self.services.targets()
    }

    /// Gets a target by its name.
    #[must_use]
    pub fn target(&self, target: &TargetId) -> Option<&TargetServer> {
        self.services.target(target)
    }

    /// Gets the record of runs.
    #[must_use]
    pub const fn run_log(&self) -> &Arc<RunLog> {
        &self.run_log
    }

    /// Gets the address of the control calls.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        self.control_server.address()
    }

    /// Stops all targets and waits for the attempts in flight.
    pub async fn stop(&self) {
        futures::future::join_all(self.targets().map(TargetServer::stop)).await;
        self.control_server.stop().await;
    }
}
