//! The alder-relay binary: one relay on one host.

use std::process::ExitCode;
use std::sync::Arc;

use alderhaven_core::logging;
use alderhaven_core::program;
use alderhaven_core::program::SettingsRequest;
use alderhaven_platform::config_follower::{ConfigFollower, FollowerOptions};
use alderhaven_platform::http_store::{HttpStore, HttpStoreOptions};
use alderhaven_relay::node::RelayNode;
use alderhaven_relay::settings::RelaySettings;
use argh::FromArgs;
use eyre::WrapErr;
use serde_json::json;
use tokio::signal::unix;
use tokio::signal::unix::SignalKind;
use tokio_util::sync::CancellationToken;

/// Runs a relay until it is told to stop (SIGTERM or SIGINT).
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

fn main() -> ExitCode {
    let arguments: Arguments = match program::arguments("alder-relay") {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let request = SettingsRequest::from_switches(arguments.check, arguments.print_settings);
    let settings: RelaySettings = match program::load(&arguments.settings, request) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    logging::start(settings.log_level);
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: RelaySettings) -> eyre::Result<()> {
    let mut terminate = unix::signal(SignalKind::terminate())?;
    let mut interrupt = unix::signal(SignalKind::interrupt())?;
    let shutdown = CancellationToken::new();
    let store = Arc::new(HttpStore::new(
        settings.platform,
        HttpStoreOptions::default(),
    ));
    let config = ConfigFollower::start(store, FollowerOptions::default(), shutdown.clone());
    let node = RelayNode::start(settings, config)
        .await
        .wrap_err("the relay can't start")?;
    let ready = json!({
        "ready": true,
        "node": node.settings().node,
        "peer": node.peer_address(),
        "operator": node.operator_address(),
        "gossip": node.gossip_address(),
    });
    println!("{ready}");
    let report = loop {
        tokio::select! {
            _ = terminate.recv() => node.request_stop(),
            _ = interrupt.recv() => node.request_stop(),
            report = node.stopped() => break report,
        }
    };
    logging::emit(log::Level::Info, &report);
    shutdown.cancel();
    Ok(())
}
