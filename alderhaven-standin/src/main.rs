//! `alder-standin`: runs the stand-ins of the platform and of targets as processes.
#![forbid(unsafe_code)]

use std::net::SocketAddr;
use std::process::ExitCode;

use alderhaven_core::errors::Error;
use alderhaven_core::ids::SnapshotId;
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_core::settings;
use alderhaven_standin::object_set::ObjectSet;
use alderhaven_standin::platform_server::{PlatformOptions, PlatformServer};
use alderhaven_standin::registration;
use alderhaven_standin::service_layout::{DeploymentKind, ServiceLayout};
use alderhaven_standin::target_fleet::{FleetOptions, TargetFleet};
use argh::FromArgs;
use eyre::{Result, bail};
use serde::Serialize;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code after an error of a command, such as an unreadable file or an address in use.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Stand-ins of the platform and of targets, for tests on loopback.
#[derive(FromArgs)]
struct StandinArgs {
    #[argh(subcommand)]
    command: StandinCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StandinCommand {
    Platform(PlatformArgs),
    Targets(TargetArgs),
}

/// Serves the object API and the host list; prints one JSON line when ready.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// the address to listen on (default 127.0.0.1:0, a free port)
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
    /// a YAML or JSON file with the initial `templates`, `teams` and `manifests`
    #[argh(option)]
    load: Vec<String>,
}

/// Runs targets; prints one JSON line with their manifests when ready.
#[derive(FromArgs)]
#[argh(subcommand, name = "targets")]
struct TargetArgs {
    /// the deployment whose services to run: volta or lagerblik
    #[argh(option)]
    deployment: Option<DeploymentKind>,
    /// a service as NAME=SHARDSxREPLICAS, in addition to or instead of a deployment
    #[argh(option, from_str_fn(parse_service))]
    service: Vec<ServiceLayout>,
    /// a YAML file with a list of services
    #[argh(option)]
    layout: Option<String>,
    /// the platform's address, where manifests and hosts are registered
    #[argh(option)]
    platform: Option<SocketAddr>,
    /// the address of the control API (default 127.0.0.1:0, a free port)
    #[argh(option, default = "loopback()")]
    control: SocketAddr,
    /// the seed of the simulated run times (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

#[derive(Serialize)]
struct PlatformReady {
    ready: bool,
    address: SocketAddr,
}

#[derive(Serialize)]
struct TargetsReady {
    ready: bool,
    control: SocketAddr,
    manifests: Vec<SnapshotManifest>,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn parse_service(text: &str) -> Result<ServiceLayout, String> {
    let parse_error = || Error::parse("service", text, "NAME=SHARDSxREPLICAS").to_string();
    let (name, counts) = text.split_once('=').ok_or_else(parse_error)?;
    let (shards, replicas) = counts.split_once('x').ok_or_else(parse_error)?;
    Ok(ServiceLayout {
        service: name.parse().map_err(|error: Error| error.to_string())?,
        shards: shards.parse().map_err(|_| parse_error())?,
        replicas: replicas.parse().map_err(|_| parse_error())?,
        ..ServiceLayout::default()
    })
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: StandinArgs = argh::from_env();
    let result = match args.command {
        StandinCommand::Platform(args) => run_platform(args).await,
        StandinCommand::Targets(args) => run_targets(args).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(&error);
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
    }
}

async fn run_platform(args: PlatformArgs) -> Result<()> {
    let mut objects = Vec::new();
    for path in &args.load {
        objects.push(ObjectSet::read(path)?);
    }
    let options = PlatformOptions {
        listen: args.listen,
        objects,
        ..PlatformOptions::default()
    };
    let platform = PlatformServer::start(options).await?;
    print_line(&PlatformReady {
        ready: true,
        address: platform.address(),
    })?;
    wait_for_stop_signal().await?;
    platform.stop().await;
    Ok(())
}

async fn run_targets(args: TargetArgs) -> Result<()> {
    let mut services = args.service;
    if let Some(path) = &args.layout {
        services.extend(settings::read_file::<Vec<ServiceLayout>>(path)?);
    }
    if let Some(deployment) = args.deployment {
        services.extend(deployment.layouts());
    }
    if services.is_empty() {
        bail!("no services to run: use --deployment, --service or --layout");
    }
    let fleet = TargetFleet::start(FleetOptions {
        services,
        seed: args.seed,
        control: args.control,
    })
    .await?;
    let manifests = match args.platform {
        Some(platform) => registration::register(&fleet, platform).await?,
        None => fleet.manifests(SnapshotId(1)),
    };
    print_line(&TargetsReady {
        ready: true,
        control: fleet.control_address(),
        manifests,
    })?;
    wait_for_stop_signal().await?;
    fleet.stop().await;
    Ok(())
}

#[expect(
    clippy::print_stdout,
    reason = "the ready line goes to standard output"
)]
fn print_line(line: &impl Serialize) -> Result<()> {
    println!("{}", serde_json::to_string(line)?);
    Ok(())
}

#[expect(clippy::print_stderr, reason = "errors go to standard error")]
fn print_error(error: &eyre::Report) {
    eprintln!("alder-standin: {error:#}");
}

async fn wait_for_stop_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    Ok(())
}
