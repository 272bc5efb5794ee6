//! `alderctl`: the command-line tool that checks, publishes and inspects the configuration.
#![forbid(unsafe_code)]

mod arguments;

use std::fs;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use alderhaven_core::ids::OperatorName;
use alderhaven_core::settings;
use alderhaven_core::team;
use alderhaven_core::time::TimeSpan;
use alderhaven_ctl::change_plan::ChangePlan;
use alderhaven_ctl::command_report::{CommandReport, TokenReport};
use alderhaven_ctl::commands::CommandContext;
use alderhaven_ctl::control_settings::ControlSettings;
use alderhaven_ctl::exit_status::ExitStatus;
use alderhaven_ctl::file_check::CheckReport;
use alderhaven_ctl::in_force::{self, InForceReport, WaitOptions};
use alderhaven_ctl::node_commands::NodeContext;
use alderhaven_ctl::operator_client::OperatorClient;
use alderhaven_ctl::retry_options::RetryOptions;
use alderhaven_store::http_store::{HttpStore, HttpStoreOptions};
use argh::FromArgs;
use eyre::{OptionExt, WrapErr, ensure};

use crate::arguments::{
    ControlArgs, ControlCommand, DiffArgs, DrainArgs, PublishArgs, RollbackArgs,
};

/// The switch that is accepted before and after the subcommand.
const JSON_SWITCH: &str = "--json";
/// The operator name of commands that publish nothing.
const READ_ONLY_OPERATOR: &str = "reader";

type HttpNodeContext = NodeContext<OperatorClient>;
type HttpCommandContext = CommandContext<HttpStore, OperatorClient>;

fn main() -> ExitCode {
    let mut args: Vec<String> = std::env::args().collect();
    move_json_switch(&mut args);
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let arguments = match ControlArgs::from_args(&["alderctl"], args.get(1..).unwrap_or_default()) {
        Ok(arguments) => arguments,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => {
            eprintln!("{}\nRun alderctl --help for more information.", exit.output);
            return ExitStatus::Invalid.into();
        }
    };
    let is_json = arguments.json;
    let report = run(arguments)
        .unwrap_or_else(|error| CommandReport::failure(ExitStatus::Invalid, format!("{error:#}")));
    print_report(&report, is_json);
    report.exit_status().into()
}

/// Moves `--json` before the subcommand, the only place where the parser accepts it.
fn move_json_switch(args: &mut Vec<String>) {
    if args.iter().skip(1).any(|arg| arg == JSON_SWITCH) {
        args.retain(|arg| arg != JSON_SWITCH);
        args.insert(1, JSON_SWITCH.to_owned());
    }
}

fn print_report(report: &CommandReport, is_json: bool) {
    if is_json {
        match serde_json::to_string(report) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("error: {error}"),
        }
    } else if matches!(report, CommandReport::Failure(_)) {
        eprintln!("{report}");
    } else {
        println!("{report}");
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run(arguments: ControlArgs) -> eyre::Result<CommandReport> {
    let settings = read_settings(&arguments)?;
    match arguments.command {
        ControlCommand::Check(check) => {
            ensure!(!check.paths.is_empty(), "check needs files or folders");
            Ok(CommandReport::Check(CheckReport::read_offline(
                &check.paths,
            )))
        }
        ControlCommand::HashToken(_) => hash_token(),
        ControlCommand::Diff(diff_args) => diff(&settings, diff_args).await,
        ControlCommand::Publish(publish_args) => publish(&settings, publish_args).await,
        ControlCommand::Drain(drain_args) => drain(&settings, drain_args).await,
        ControlCommand::Rollback(rollback_args) => rollback(&settings, rollback_args).await,
        ControlCommand::History(history) => {
            Ok(read_only_context(&settings)?.history(&history.object).await)
        }
        ControlCommand::Status(status) if status.objects.is_empty() => {
            Ok(require_nodes(&settings)?.status().await)
        }
        ControlCommand::Status(status) => {
            require_nodes(&settings)?;
            Ok(read_only_context(&settings)?.status(&status.objects).await)
        }
        ControlCommand::Members(_) => Ok(require_nodes(&settings)?.members().await),
        ControlCommand::Dump(_) => Ok(require_nodes(&settings)?.dump().await),
    }
}

fn read_settings(arguments: &ControlArgs) -> eyre::Result<ControlSettings> {
    let mut merged: ControlSettings = match &arguments.settings {
        Some(path) => settings::read_file(path)?,
        None => ControlSettings::default(),
    };
    if let Some(operator) = &arguments.operator {
        merged.operator = Some(operator.clone());
    }
    if let Some(platform) = arguments.platform {
        merged.platform = Some(platform);
    }
    if !arguments.node.is_empty() {
        merged.nodes.clone_from(&arguments.node);
    }
    Ok(merged)
}

fn require_nodes(settings: &ControlSettings) -> eyre::Result<HttpNodeContext> {
    ensure!(
        !settings.nodes.is_empty(),
        "no nodes are given: set `nodes` in --settings, or --node"
    );
    Ok(node_context(settings))
}

fn node_context(settings: &ControlSettings) -> HttpNodeContext {
    NodeContext {
        probe: Arc::new(OperatorClient::default()),
        addresses: settings.nodes.clone(),
    }
}

/// Returns the context of a command that publishes nothing and needs no operator name.
fn read_only_context(settings: &ControlSettings) -> eyre::Result<HttpCommandContext> {
    let operator = READ_ONLY_OPERATOR
        .parse()
        .wrap_err("the operator name of read-only commands is invalid")?;
    build_context(settings, operator, None)
}

/// Returns the context of a command that publishes and then waits up to `limit`, if that is set.
fn publishing_context(
    settings: &ControlSettings,
    limit: Option<TimeSpan>,
) -> eyre::Result<HttpCommandContext> {
    let operator = settings
        .operator
        .clone()
        .ok_or_eyre("no operator is given: set `operator` in --settings, or --operator")?;
    if limit.is_some() {
        require_nodes(settings)?;
    }
    build_context(settings, operator, limit)
}

fn build_context(
    settings: &ControlSettings,
    operator: OperatorName,
    limit: Option<TimeSpan>,
) -> eyre::Result<HttpCommandContext> {
    let platform = settings
        .platform
        .ok_or_eyre("no platform is given: set `platform` in --settings, or --platform")?;
    Ok(CommandContext {
        store: HttpStore::new(platform, HttpStoreOptions::default()),
        nodes: node_context(settings),
        operator,
        retry_options: RetryOptions::default(),
        wait_options: limit.map(|limit| WaitOptions {
            limit,
            ..WaitOptions::default()
        }),
    })
}

async fn diff(settings: &ControlSettings, arguments: DiffArgs) -> eyre::Result<CommandReport> {
    ensure!(!arguments.paths.is_empty(), "diff needs files or folders");
    let (report, plan) = read_only_context(settings)?.diff(&arguments.paths).await;
    if let (Some(path), Some(plan)) = (&arguments.plan, plan) {
        let text = serde_json::to_string_pretty(&plan)?;
        fs::write(path, text).wrap_err_with(|| path.display().to_string())?;
    }
    Ok(report)
}

async fn publish(
    settings: &ControlSettings,
    arguments: PublishArgs,
) -> eyre::Result<CommandReport> {
    let context = publishing_context(settings, arguments.wait.then_some(arguments.limit))?;
    if let Some(path) = &arguments.plan {
        ensure!(
            arguments.paths.is_empty(),
            "publish takes files or a plan, not both"
        );
        let plan = read_plan(path)?;
        return Ok(context.publish_plan(&plan, show_progress).await);
    }
    ensure!(
        !arguments.paths.is_empty(),
        "publish needs files, folders or --plan"
    );
    Ok(context.publish(&arguments.paths, show_progress).await)
}

async fn drain(settings: &ControlSettings, arguments: DrainArgs) -> eyre::Result<CommandReport> {
    match (&arguments.target, arguments.node) {
        (Some(target), None) => {
            let context = publishing_context(
                settings,
                arguments.wait.then_some(in_force::DEFAULT_WAIT_LIMIT),
            )?;
            let should_end = arguments.end;
            Ok(context
                .drain_target(target, should_end, show_progress)
                .await)
        }
        (None, Some(node)) => {
            ensure!(!arguments.end, "--end requires --target");
            Ok(node_context(settings).drain(node).await)
        }
        _ => Err(eyre::eyre!("drain needs either --target or --node")),
    }
}

async fn rollback(
    settings: &ControlSettings,
    arguments: RollbackArgs,
) -> eyre::Result<CommandReport> {
    let context = publishing_context(
        settings,
        arguments.wait.then_some(in_force::DEFAULT_WAIT_LIMIT),
    )?;
    let report = context.rollback(&arguments.object, arguments.to, show_progress);
    Ok(report.await)
}

fn hash_token() -> eyre::Result<CommandReport> {
    let mut token = String::new();
    io::stdin().read_line(&mut token)?;
    let token = token.trim_end_matches(['\r', '\n']);
    ensure!(!token.is_empty(), "no token on standard input");
    Ok(CommandReport::Token(TokenReport {
        token_hash: team::hash_token(token),
    }))
}

fn read_plan(path: &Path) -> eyre::Result<ChangePlan> {
    let text = fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    serde_json::from_str(&text).wrap_err_with(|| path.display().to_string())
}

/// Prints the progress of a wait to standard error, so that standard output holds only the result.
fn show_progress(report: &InForceReport) {
    eprintln!(
        "in force on {} of {}",
        report.in_force_count(),
        report.nodes.len()
    );
}
