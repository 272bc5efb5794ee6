//! The control calls of a fleet: `GET /runs` gives the records of runs, `GET /targets` the targets
//! with their crashes, and `POST /control` takes a [`ControlCall`].

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

/// A `ControlCall` is what the fleet is told to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "snake_case", deny_unknown_fields)]
pub enum ControlCall {
    /// Replaces the fault switches.
    SetFaults {
        /// The targets; all where the list is empty.
        #[serde(default)]
        targets: Vec<TargetId>,
        /// The switches.
        faults: TargetFaults,
    },
    /// Makes the connections that are open now silent for good.
    Silence {
        /// The targets; all where the list is empty.
        #[serde(default)]
        targets: Vec<TargetId>,
    },
    /// Ends the listener and all connections at once; the targets come back on their addresses.
    Crash {
        /// The targets; all where the list is empty.
        #[serde(default)]
        targets: Vec<TargetId>,
        /// The milliseconds down.
        down_ms: u64,
    },
    /// Gives a service the next index version and publishes its manifest.
    Publish {
        /// The service.
        service: ServiceName,
        /// The number of shards, where it changes.
        #[serde(default)]
        shards: Option<u32>,
        /// The milliseconds for which the targets keep the former version.
        grace_ms: u64,
        /// The platform to publish at; without it the reply's manifest is not published.
        #[serde(default)]
        platform: Option<SocketAddr>,
    },
    /// Calls targets leaving in the host list, and stops them after a while.
    Leave {
        /// The targets.
        targets: Vec<TargetId>,
        /// The platform whose host list says it.
        platform: SocketAddr,
        /// The milliseconds until the targets stop; runs in flight end first.
        stop_after_ms: u64,
    },
    /// Stops targets at once; runs in flight end first.
    Stop {
        /// The targets.
        targets: Vec<TargetId>,
    },
}

/// A `ControlReply` is the answer to a call.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlReply {
    /// The manifest that was made.
    pub manifest: Option<SnapshotManifest>,
}

/// A `TargetReport` is a target as `GET /targets` shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target.
    pub target: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// Its crashes.
    pub crashes: u32,
    /// Its fault switches.
    pub faults: TargetFaults,
}

/// Answers a request to the control address.
pub async fn handle_request(services: Arc<FleetServices>, request: Request<Incoming>) -> HttpReply {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/runs") => json_reply(StatusCode::OK, &services.run_log().records()),
        (&Method::GET, "/targets") => json_reply(StatusCode::OK, &target_reports(&services)),
        (&Method::POST, "/control") => match read_body(request.into_body()).await {
            Ok(body) => match serde_json::from_slice(&body) {
                Ok(call) => control_reply(&services, call).await,
                Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
            },
            Err(refusal) => refusal.reply(),
        },
        _ => text_reply(StatusCode::NOT_FOUND, "no such call"),
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

/// Does what a call says.
///
/// # Errors
/// For a target or service that is not there, and where the platform does not take a change.
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

/// Gets the named targets; all where none is named.
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
            None => bail!("there is no target `{name}`"),
        }
    }
    Ok(targets)
}
