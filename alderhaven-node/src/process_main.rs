//! The main function that the long-running binaries share.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use alderhaven_core::logging;
use alderhaven_core::program::{self, CheckedSettings, SettingsRequest};
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

/// A `ProcessSettings` is the content of a binary's settings file.
pub trait ProcessSettings: CheckedSettings {
    /// Gets the address of the platform's object API.
    fn platform(&self) -> SocketAddr;

    /// Gets the least severe level that is logged.
    fn log_level(&self) -> LevelFilter;
}

/// A `ProcessNode` is what a binary runs.
pub trait ProcessNode: Sized {
    /// The settings.
    type Settings: ProcessSettings;

    /// Starts on the current runtime; `config` is kept up to date meanwhile.
    fn start(
        settings: Self::Settings,
        config: ConfigHandle,
    ) -> impl Future<Output = io::Result<Self>>;

    /// Gets the line that says where the process is reached, as JSON.
    fn ready_line(&self) -> Value;

    /// Asks for the planned stop; a second time, to end at once.
    fn request_stop(&self);

    /// Waits until the process may end.
    fn stopped(&self) -> impl Future<Output = StopReport>;
}

/// Runs until it is told to stop (SIGTERM or SIGINT), or checks or prints its settings.
#[derive(FromArgs)]
struct Arguments {
    /// the settings file (YAML)
    #[argh(option)]
    settings: String,

    /// check the settings and exit: 0 where they are good, 2 where not
    #[argh(switch)]
    check: bool,

    /// print the effective settings and exit
    #[argh(switch)]
    print_settings: bool,
}

/// Runs the binary `name` to its end.
#[must_use]
pub fn run<N: ProcessNode>(name: &str) -> ExitCode {
    match load_settings::<N>(name) {
        Ok(settings) => exit_code(serve_with_logging::<N>(settings)),
        Err(code) => code,
    }
}

fn serve_with_logging<N: ProcessNode>(settings: N::Settings) -> eyre::Result<()> {
    let log = logging::start_queued(settings.log_level()).wrap_err("the log can't start")?;
    let result = serve::<N>(settings);
    log.finish();
    result
}

fn load_settings<N: ProcessNode>(name: &str) -> Result<N::Settings, ExitCode> {
    let arguments: Arguments = program::arguments(name)?;
    let request = SettingsRequest::from_switches(arguments.check, arguments.print_settings);
    program::load(&arguments.settings, request)
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
        .wrap_err("the runtime can't start")?
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
        .wrap_err("the process can't start")?;
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
