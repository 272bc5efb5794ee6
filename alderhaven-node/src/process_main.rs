//! Main function of the long-running binaries.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use alderhaven_core::logging;
use alderhaven_core::startup::{self, CheckedSettings, SettingsRequest};
use alderhaven_policy::drain::StopReport;
use alderhaven_store::config_follower::{ConfigFollower, FollowerOptions};
use alderhaven_store::config_handle::ConfigHandle;
use alderhaven_store::http_store::{HttpStore, HttpStoreOptions};
use argh::FromArgs;
use eyre::WrapErr;
use log::{Level, LevelFilter};
use serde_json::Value;
use tokio::runtime::Runtime;
use tokio::signal::unix;
use tokio::signal::unix::SignalKind;
use tokio_util::sync::CancellationToken;

/// Settings file of a binary, as far as the main function needs it.
pub trait ProcessSettings: CheckedSettings {
    /// Returns the address of the platform's object API.
    fn platform(&self) -> SocketAddr;

    /// Returns the least severe level that is logged.
    fn log_level(&self) -> LevelFilter;
}

/// Long-running part of a binary.
pub trait ProcessNode: Sized {
    /// Settings that the node starts with.
    type Settings: ProcessSettings;

    /// Starts the node on the current runtime. `config` is kept up to date while the process runs.
    fn start(
        settings: Self::Settings,
        config: ConfigHandle,
    ) -> impl Future<Output = io::Result<Self>>;

    /// Returns a JSON object with the addresses of the process, printed once it is ready.
    fn ready_line(&self) -> Value;

    /// Requests a graceful shutdown; a second call ends the process immediately.
    fn request_stop(&self);

    /// Waits for the end of the shutdown.
    fn stopped(&self) -> impl Future<Output = StopReport>;
}

/// Runs until SIGTERM or SIGINT, or checks or prints the settings.
#[derive(FromArgs)]
struct Arguments {
    /// the settings file (YAML)
    #[argh(option)]
    settings: String,

    /// check the settings and exit with status 0 if they are valid, 2 if not
    #[argh(switch)]
    check: bool,

    /// print the effective settings and exit
    #[argh(switch)]
    print_settings: bool,
}

/// Runs the binary `name` until it is stopped, and returns its exit status.
#[must_use]
pub fn run<N: ProcessNode>(name: &str) -> ExitCode {
    match load_settings::<N>(name) {
        Ok(settings) => exit_code(serve_with_logging::<N>(settings)),
        Err(code) => code,
    }
}

fn serve_with_logging<N: ProcessNode>(settings: N::Settings) -> eyre::Result<()> {
    let log = logging::start_queued(settings.log_level()).wrap_err("failed to start the log")?;
    let result = serve::<N>(settings);
    log.wait_until_written();
    result
}

fn load_settings<N: ProcessNode>(name: &str) -> Result<N::Settings, ExitCode> {
    let arguments: Arguments = startup::parse_arguments(name)?;
    let request = SettingsRequest::from_switches(arguments.check, arguments.print_settings);
    startup::load_settings(&arguments.settings, request)
}

fn exit_code(result: eyre::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn serve<N: ProcessNode>(settings: N::Settings) -> eyre::Result<()> {
    Runtime::new()
        .wrap_err("failed to start the async runtime")?
        .block_on(serve_node::<N>(settings))
}

async fn serve_node<N: ProcessNode>(settings: N::Settings) -> eyre::Result<()> {
    let mut terminate = unix::signal(SignalKind::terminate())?;
    let mut interrupt = unix::signal(SignalKind::interrupt())?;
    let shutdown = CancellationToken::new();
    let store = HttpStore::new(settings.platform(), HttpStoreOptions::default());
    let options = FollowerOptions::default();
    let config = ConfigFollower::start(Arc::new(store), options, shutdown.clone());
    let node = N::start(settings, config)
        .await
        .wrap_err("failed to start the node")?;
    println!("{}", node.ready_line());
    let report = loop {
        tokio::select! {
            _ = terminate.recv() => node.request_stop(),
            _ = interrupt.recv() => node.request_stop(),
            report = node.stopped() => break report,
        }
    };
    logging::emit(Level::Info, &report);
    shutdown.cancel();
    Ok(())
}
