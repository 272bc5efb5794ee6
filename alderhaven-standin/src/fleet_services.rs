//! Services of a fleet: their targets, the index versions these hold, and the targets that leave.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use alderhaven_core::errors::{Error, Result};
use alderhaven_core::ids::{IndexVersion, ServiceName, ShardId, SnapshotId, TargetId};
use alderhaven_core::manifest::{ShardEntry, SnapshotManifest};
use alderhaven_store::host_list::{HostRecord, HostRole, HostState};

use crate::held_indexes::HeldIndex;
use crate::run_log::RunLog;
use crate::service_layout::ServiceLayout;
use crate::target_server::TargetServer;
use crate::target_spec::TargetSpec;

/// All services of a fleet, with one run log.
#[derive(Debug)]
pub struct FleetServices {
    services: Vec<RunningService>,
    run_log: Arc<RunLog>,
    leaving: Mutex<Vec<LeavingRecord>>,
}

/// Time from which a target was marked as leaving in the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingRecord {
    /// Name of the target.
    pub target: TargetId,
    /// Microseconds since the run log began.
    pub leaving_since_us: u64,
}

/// One service with its targets.
#[derive(Debug)]
struct RunningService {
    layout: Mutex<ServiceLayout>,
    /// Ordered by initial shard, then by replica.
    targets: Vec<TargetServer>,
}

impl FleetServices {
    /// Starts the targets of all services.
    ///
    /// # Errors
    /// `InvalidInput` for an invalid layout, and the operating system's error where no port can be
    /// bound.
    pub async fn start(layouts: Vec<ServiceLayout>, seed: u64) -> io::Result<Self> {
        let run_log = Arc::new(RunLog::default());
        let mut services = Vec::new();
        for layout in layouts {
            layout.check().map_err(invalid_input)?;
            services.push(RunningService::start(layout, seed, &run_log).await?);
        }
        Ok(Self {
            services,
            run_log,
            leaving: Mutex::default(),
        })
    }

    /// Builds the manifests of all services, numbered `snapshot`.
    #[must_use]
    pub fn manifests(&self, snapshot: SnapshotId) -> Vec<SnapshotManifest> {
        self.services
            .iter()
            .map(|service| service.manifest(snapshot, &self.leaving_targets()))
            .collect()
    }

    /// Builds the manifest of one service, numbered `snapshot`.
    ///
    /// # Errors
    /// `Error::Invalid` if the fleet has no such service.
    pub fn manifest(
        &self,
        service: &ServiceName,
        snapshot: SnapshotId,
    ) -> Result<SnapshotManifest> {
        let service = self.find_service(service)?;
        Ok(service.manifest(snapshot, &self.leaving_targets()))
    }

    /// Moves a service to its next index version, optionally with a new number of shards; the
    /// former version is served for `grace`.
    ///
    /// All targets hold the new version on return, so a manifest may refer to it.
    ///
    /// # Errors
    /// `Error::Invalid` for an unknown service, or for more shards than targets.
    pub fn install_next_version(
        &self,
        service: &ServiceName,
        shards: Option<u32>,
        grace: Duration,
    ) -> Result<()> {
        self.find_service(service)?
            .install_next_version(shards, grace)
    }

    /// Returns the host list entries of all targets that haven't been stopped.
    #[must_use]
    pub fn host_records(&self) -> Vec<HostRecord> {
        self.targets()
            .filter(|target| !target.is_stopping())
            .filter_map(|target| self.host_record(target))
            .collect()
    }

    /// Returns a target's host list entry; none if its name is no valid host name.
    #[must_use]
    pub fn host_record(&self, target: &TargetServer) -> Option<HostRecord> {
        let replica = target.replica_entry();
        let is_leaving = is_leaving(&self.lock_leaving(), &replica.target);
        Some(HostRecord {
            host: replica.target.as_str().parse().ok()?,
            role: HostRole::Target,
            domain: replica.domain,
            address: replica.address,
            state: if is_leaving {
                HostState::Leaving
            } else {
                HostState::Live
            },
        })
    }

    /// Marks a target as leaving; only the first call sets the time.
    pub fn record_leaving(&self, target: &TargetId) {
        let leaving_since_us = self.run_log.elapsed_us();
        let mut records = self.lock_leaving();
        if !is_leaving(&records, target) {
            records.push(LeavingRecord {
                target: target.clone(),
                leaving_since_us,
            });
        }
    }

    /// Returns the targets that were marked as leaving, stopped ones included.
    #[must_use]
    pub fn leaving_targets(&self) -> Vec<LeavingRecord> {
        self.lock_leaving().clone()
    }

    /// Iterates over all targets by service, initial shard and replica.
    pub fn targets(&self) -> impl Iterator<Item = &TargetServer> {
        self.services.iter().flat_map(|service| &service.targets)
    }

    /// Looks up a target by name.
    #[must_use]
    pub fn target(&self, target: &TargetId) -> Option<&TargetServer> {
        self.targets()
            .find(|server| server.state().spec().target == *target)
    }

    /// Returns the log that all targets write to.
    #[must_use]
    pub const fn run_log(&self) -> &Arc<RunLog> {
        &self.run_log
    }

    fn find_service(&self, name: &ServiceName) -> Result<&RunningService> {
        self.services
            .iter()
            .find(|service| service.layout().service == *name)
            .ok_or_else(|| Error::invalid("service", format!("`{name}` does not exist")))
    }

    fn lock_leaving(&self) -> MutexGuard<'_, Vec<LeavingRecord>> {
        self.leaving.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunningService {
    async fn start(layout: ServiceLayout, seed: u64, run_log: &Arc<RunLog>) -> io::Result<Self> {
        let mut targets = Vec::new();
        for shard in 0..layout.shards {
            for replica in 0..layout.replicas {
                let spec =
                    build_target_spec(&layout, shard, replica, seed).map_err(invalid_input)?;
                targets.push(TargetServer::start(spec, Arc::clone(run_log)).await?);
            }
        }
        Ok(Self {
            layout: Mutex::new(layout),
            targets,
        })
    }

    fn install_next_version(&self, shards: Option<u32>, grace: Duration) -> Result<()> {
        let mut layout = self.layout();
        let mut next = layout.clone();
        next.shards = shards.unwrap_or(layout.shards);
        next.version = IndexVersion(layout.version.0 + 1);
        next.check()?;
        if next.shards as usize > self.targets.len() {
            let reason = format!("{} exceeds the number of targets", next.shards);
            return Err(Error::invalid("shards", reason));
        }
        for (position, target) in self.targets.iter().enumerate() {
            // With an unchanged number of shards each target keeps its shard.
            let shard = match shards {
                Some(shards) => ShardId(u32::try_from(position).unwrap_or(0) % shards),
                None => target.state().indexes().current().shard,
            };
            let index = HeldIndex {
                shard,
                version: next.version,
            };
            target.state().indexes().replace(index, grace);
        }
        *layout = next;
        Ok(())
    }

    /// Omits leaving targets from a shard that others hold too.
    fn manifest(&self, snapshot: SnapshotId, records: &[LeavingRecord]) -> SnapshotManifest {
        let layout = self.layout();
        let shards = (0..layout.shards).map(ShardId).map(|shard| {
            let holders: Vec<&TargetServer> = self
                .targets
                .iter()
                .filter(|target| target.state().indexes().current().shard == shard)
                .collect();
            let stays =
                |target: &&&TargetServer| !is_leaving(records, &target.state().spec().target);
            let staying: Vec<&TargetServer> = holders.iter().filter(stays).copied().collect();
            let listed = if staying.is_empty() { holders } else { staying };
            ShardEntry {
                shard,
                version: layout.version,
                first_key: layout.first_key(shard),
                replicas: listed
                    .into_iter()
                    .map(TargetServer::replica_entry)
                    .collect(),
            }
        });
        SnapshotManifest {
            service: layout.service.clone(),
            snapshot,
            shards: shards.collect(),
        }
    }

    fn layout(&self) -> MutexGuard<'_, ServiceLayout> {
        self.layout.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_leaving(records: &[LeavingRecord], target: &TargetId) -> bool {
    records.iter().any(|leaving| leaving.target == *target)
}

fn build_target_spec(
    layout: &ServiceLayout,
    shard: u32,
    replica: u32,
    seed: u64,
) -> Result<TargetSpec> {
    let target = layout.target_id(shard, replica)?;
    // Each target gets its own seed; otherwise all replicas would be slow at the same time.
    let mut seed_bytes = [0_u8; 8];
    let hash = blake3::hash(format!("{seed}/{target}").as_bytes());
    seed_bytes.copy_from_slice(&hash.as_bytes()[..8]);
    Ok(TargetSpec {
        target,
        domain: layout.domain(shard, replica),
        service: layout.service.clone(),
        shard: ShardId(shard),
        version: layout.version,
        slots: layout.slots,
        connections: layout.connections,
        max_queue_length: layout.max_queue_length,
        connect_cost: layout.connect_cost,
        service_time: layout.service_time.clone(),
        seed: u64::from_le_bytes(seed_bytes),
    })
}

fn invalid_input(error: Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, error)
}
