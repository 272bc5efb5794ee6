//! Many targets in one process, with one record of their runs.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use alderhaven_core::errors::Error;
use alderhaven_core::ids::{ShardId, SnapshotId, TargetId};
use alderhaven_core::manifest::{ShardEntry, SnapshotManifest};
use alderhaven_platform::host_list::{HostRecord, HostRole, HostState};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use smallvec::SmallVec;

use crate::http_server::{HttpReply, ServerHandle, json_reply, text_reply};
use crate::run_log::RunLog;
use crate::service_layout::{DeploymentKind, ServiceLayout};
use crate::target_server::TargetServer;
use crate::target_state::TargetSpec;

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

/// A `TargetFleet` is a set of running targets.
#[derive(Debug)]
pub struct TargetFleet {
    services: Vec<RunningService>,
    runs: Arc<RunLog>,
    control: ServerHandle,
}

#[derive(Debug)]
struct RunningService {
    layout: ServiceLayout,
    /// The targets by shard and then by replica.
    targets: Vec<TargetServer>,
}

impl TargetFleet {
    /// Starts all targets and the control server (`GET /runs` gives the records of runs).
    ///
    /// # Errors
    /// `InvalidInput` for a layout that does not check, and the operating system's error where no
    /// port can be bound.
    pub async fn start(options: FleetOptions) -> io::Result<Self> {
        let runs = Arc::new(RunLog::default());
        let mut services = Vec::new();
        for layout in options.services {
            layout.check().map_err(invalid_input)?;
            services.push(RunningService::start(layout, options.seed, &runs).await?);
        }
        let logged = Arc::clone(&runs);
        let control = ServerHandle::start(options.control, move |request| {
            std::future::ready(Ok(handle(&logged, &request)))
        })
        .await?;
        Ok(Self {
            services,
            runs,
            control,
        })
    }

    /// Gets the manifests of all services as snapshot `snapshot`.
    #[must_use]
    pub fn manifests(&self, snapshot: SnapshotId) -> Vec<SnapshotManifest> {
        self.services
            .iter()
            .map(|service| service.manifest(snapshot))
            .collect()
    }

    /// Gets the targets' lines of the host list.
    #[must_use]
    pub fn hosts(&self) -> Vec<HostRecord> {
        self.targets()
            .filter_map(|target| {
                let replica = target.replica();
                Some(HostRecord {
                    host: replica.target.as_str().parse().ok()?,
                    role: HostRole::Target,
                    domain: replica.domain,
                    address: replica.address,
                    state: HostState::Live,
                })
            })
            .collect()
    }

    /// Gets all targets, by service, shard and replica.
    pub fn targets(&self) -> impl Iterator<Item = &TargetServer> {
        self.services.iter().flat_map(|service| &service.targets)
    }

    /// Gets a target by its name.
    #[must_use]
    pub fn target(&self, target: &TargetId) -> Option<&TargetServer> {
        self.targets()
            .find(|server| server.state().spec().target == *target)
    }

    /// Gets the record of runs.
    #[must_use]
    pub const fn runs(&self) -> &Arc<RunLog> {
        &self.runs
    }

    /// Gets the address of the control calls.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Stops all targets and waits for the attempts in flight.
    pub async fn stop(&self) {
        futures::future::join_all(self.targets().map(TargetServer::stop)).await;
        self.control.stop().await;
    }
}

impl RunningService {
    async fn start(layout: ServiceLayout, seed: u64, runs: &Arc<RunLog>) -> io::Result<Self> {
        let mut targets = Vec::new();
        for shard in 0..layout.shards {
            for replica in 0..layout.replicas {
                let spec = spec_of(&layout, shard, replica, seed).map_err(invalid_input)?;
                targets.push(TargetServer::start(spec, Arc::clone(runs)).await?);
            }
        }
        Ok(Self { layout, targets })
    }

    fn manifest(&self, snapshot: SnapshotId) -> SnapshotManifest {
        let shards = (0..self.layout.shards)
            .map(ShardId)
            .map(|shard| ShardEntry {
                shard,
                version: self.layout.version,
                first_key: self.layout.first_key(shard),
                replicas: self
                    .targets
                    .iter()
                    .filter(|target| target.state().spec().shard == shard)
                    .map(TargetServer::replica)
                    .collect::<SmallVec<_>>(),
            });
        SnapshotManifest {
            service: self.layout.service.clone(),
            snapshot,
            shards: shards.collect(),
        }
    }
}

fn spec_of(
    layout: &ServiceLayout,
    shard: u32,
    replica: u32,
    seed: u64,
) -> Result<TargetSpec, Error> {
    let target = layout.target(shard, replica)?;
    // Each target has a seed of its own, or all replicas would be slow at the same run.
    let mut head = [0_u8; 8];
    let hash = blake3::hash(format!("{seed}/{target}").as_bytes());
    head.copy_from_slice(&hash.as_bytes()[..8]);
    Ok(TargetSpec {
        target,
        domain: layout.domain(shard, replica),
        service: layout.service.clone(),
        shard: ShardId(shard),
        version: layout.version,
        slots: layout.slots,
        connections: layout.connections,
        queue: layout.queue,
        connect_cost: layout.connect_cost,
        service_time: layout.service_time.clone(),
        seed: u64::from_le_bytes(head),
    })
}

fn handle(runs: &RunLog, request: &Request<Incoming>) -> HttpReply {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/runs") => json_reply(StatusCode::OK, &runs.records()),
        _ => text_reply(StatusCode::NOT_FOUND, "no such call"),
    }
}

fn invalid_input(error: Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, error)
}
