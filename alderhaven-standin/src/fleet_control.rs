//! HTTP control API of a fleet: `GET /runs` returns the run records, `GET /targets` the targets
//! with their crash counts, and `POST /control` executes a [`ControlCall`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use alderhaven_core::ids::{ServiceName, SnapshotId, TargetId};
use alderhaven_core::manifest::SnapshotManifest;
use eyre::{Result, bail};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::fleet_services::FleetServices;
use crate::http_server::{HttpReply, json_reply, read_body, text_reply};
use crate::registration;
use crate::target_faults::TargetFaults;
use crate::target_server::TargetServer;

/// Command to a fleet of targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "snake_case", deny_unknown_fields)]
pub enum ControlCall {
    /// Replaces the fault switches.
    SetFaults {
        /// Targets to change; empty means all.
        #[serde(default)]
        targets: Vec<TargetId>,
        /// The complete new set of switches.
        faults: TargetFaults,
    },
    /// Stops answering on the currently open connections, for good; new connections work.
    Silence {
        /// Targets to silence; empty means all.
        #[serde(default)]
        targets: Vec<TargetId>,
    },
    /// Closes the listener and all connections at once; the targets rebind the same addresses.
    Crash {
        /// Targets to crash; empty means all.
        #[serde(default)]
        targets: Vec<TargetId>,
        /// Downtime in milliseconds.
        down_ms: u64,
    },
    /// Moves a service to its next index version and publishes the manifest.
    Publish {
        /// Service to update.
        service: ServiceName,
        /// New number of shards; unchanged if absent.
        #[serde(default)]
        shards: Option<u32>,
        /// Milliseconds for which the targets keep serving the former version.
        grace_ms: u64,
        /// Platform to publish to; if absent, the manifest is only returned.
        #[serde(default)]
        platform: Option<SocketAddr>,
    },
    /// Marks targets as leaving in the host list, and stops them after a delay.
    Leave {
        /// Targets to remove.
        targets: Vec<TargetId>,
        /// Platform whose host list is updated.
        platform: SocketAddr,
        /// Milliseconds until the targets stop; runs in flight complete.
        stop_after_ms: u64,
    },
    /// Stops targets at once; runs in flight complete.
    Stop {
        /// Targets to stop.
        targets: Vec<TargetId>,
    },
}

/// Result of a [`ControlCall`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlReply {
    /// The new manifest, after `Publish`.
    pub manifest: Option<SnapshotManifest>,
}

/// State of a target, as `GET /targets` returns it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Name of the target.
    pub target: TargetId,
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Crashes since the start of the fleet.
    pub crashes: u32,
    /// Current fault switches.
    pub faults: TargetFaults,
}

/// Routes a request of the control API.
pub async fn handle_request(services: Arc<FleetServices>, request: Request<Incoming>) -> HttpReply {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/runs") => json_reply(StatusCode::OK, &services.run_log().records()),
        (&Method::GET, "/targets") => json_reply(StatusCode::OK, &target_reports(&services)),
        (&Method::POST, "/control") => match read_body(request.into_body()).await {
            Ok(body) => match serde_json::from_slice(&body) {
                Ok(call) => control_reply(&services, call).await,
                Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
            },
            Err(error) => error.reply(),
        },
        _ => text_reply(StatusCode::NOT_FOUND, "unknown path or method"),
    }
}

async fn control_reply(services: &Arc<FleetServices>, call: ControlCall) -> HttpReply {
    match apply_call(services, call).await {
        Ok(reply) => json_reply(StatusCode::OK, &reply),
        Err(error) => text_reply(StatusCode::BAD_REQUEST, format!("{error:#}")),
    }
}

fn target_reports(services: &FleetServices) -> Vec<TargetReport> {
    let report = |target: &TargetServer| TargetReport {
        target: target.state().spec().target.clone(),
        address: target.address(),
        crashes: target.state().lifecycle().crash_count(),
        faults: target.state().faults(),
    };
    services.targets().map(report).collect()
}

/// Executes a command.
///
/// # Errors
/// Where a named target or service doesn't exist, or the platform refuses a write.
pub async fn apply_call(services: &Arc<FleetServices>, call: ControlCall) -> Result<ControlReply> {
    let mut reply = ControlReply::default();
    match call {
        ControlCall::SetFaults { targets, faults } => {
            for target in select_targets(services, &targets)? {
                target.state().set_faults(faults);
            }
        }
        ControlCall::Silence { targets } => {
            for target in select_targets(services, &targets)? {
                target.state().lifecycle().silence_connections();
            }
        }
        ControlCall::Crash { targets, down_ms } => {
            for target in select_targets(services, &targets)? {
                target
                    .state()
                    .lifecycle()
                    .crash(Duration::from_millis(down_ms));
            }
        }
        ControlCall::Publish {
            service,
            shards,
            grace_ms,
            platform,
        } => {
            services.install_next_version(&service, shards, Duration::from_millis(grace_ms))?;
            let manifest = services.manifest(&service, SnapshotId(1))?;
            reply.manifest = Some(match platform {
                Some(platform) => registration::publish(platform, manifest).await?,
                None => manifest,
            });
        }
        ControlCall::Leave {
            targets,
            platform,
            stop_after_ms,
        } => {
            let delay = Duration::from_millis(stop_after_ms);
            start_leaving(services, targets, platform, delay).await?;
        }
        ControlCall::Stop { targets } => {
            select_targets(services, &targets)?;
            tokio::spawn(stop_after_delay(
                Arc::clone(services),
                targets,
                Duration::ZERO,
            ));
        }
    }
    Ok(reply)
}

async fn start_leaving(
    services: &Arc<FleetServices>,
    targets: Vec<TargetId>,
    platform: SocketAddr,
    delay: Duration,
) -> Result<()> {
    for target in select_targets(services, &targets)? {
        services.record_leaving(&target.state().spec().target);
        if let Some(host) = services.host_record(target) {
            registration::put_host(platform, &host).await?;
        }
    }
    tokio::spawn(stop_after_delay(Arc::clone(services), targets, delay));
    Ok(())
}

async fn stop_after_delay(services: Arc<FleetServices>, targets: Vec<TargetId>, delay: Duration) {
    tokio::time::sleep(delay).await;
    let servers = targets.iter().filter_map(|target| services.target(target));
    futures::future::join_all(servers.map(TargetServer::stop)).await;
}

/// Looks up targets by name; no names select all.
fn select_targets<'s>(
    services: &'s FleetServices,
    names: &[TargetId],
) -> Result<Vec<&'s TargetServer>> {
    if names.is_empty() {
        return Ok(services.targets().collect());
    }
    let mut targets = Vec::new();
    for name in names {
        match services.target(name) {
            Some(target) => targets.push(target),
            None => bail!("target `{name}` does not exist"),
        }
    }
    Ok(targets)
}
