//! `alder-load`: runs load scenarios against a complete system and prints one JSON line per policy.
#![forbid(unsafe_code)]

use std::process::ExitCode;
use std::str::FromStr;

use alderhaven_core::errors::Error;
use alderhaven_core::time::TimeSpan;
use alderhaven_load::report;
use alderhaven_load::run_line::{RatioLine, RunLine};
use alderhaven_load::run_options::RunOptions;
use alderhaven_load::scenario::ScenarioKind;
use alderhaven_load::test_run;
use alderhaven_load::workload::Workload;
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_standin::service_layout::DeploymentKind;
use argh::FromArgs;
use eyre::{Result, bail};
use serde::Serialize;

/// Exit code for invalid arguments.
const EXIT_BAD_ARGUMENTS: u8 = 2;
/// Exit code if the oracle found violations.
const EXIT_VIOLATIONS: u8 = 1;
/// Upper bound of `--seconds` and `--warm-up`.
const MAX_SECONDS: u64 = 600;
/// Upper bound of the number of entries, and of relays.
const MAX_NODES: usize = 64;

/// Load test tool of alderhaven; everything runs on loopback in this process.
#[derive(FromArgs)]
struct LoadArgs {
    #[argh(subcommand)]
    command: LoadCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum LoadCommand {
    Run(RunArgs),
    Report(ReportArgs),
}

/// Writes a Markdown page with tables and plots from saved result lines.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
struct ReportArgs {
    /// the files with the lines that `run --json` printed
    #[argh(positional)]
    files: Vec<String>,
    /// the directory for the page and its plots
    #[argh(option)]
    out: String,
}

/// Runs a scenario and prints one result per policy.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct RunArgs {
    /// volta (default) or lagerblik
    #[argh(option, default = "DeploymentKind::Volta")]
    deployment: DeploymentKind,
    /// steady, slow-target, overload, burst, hot-team, hot-key, long-among-short, target-leaving,
    /// snapshot-change, poison, silent-connections, cold-start, domain-loss, relay-crash,
    /// store-outage or publish-race
    #[argh(option)]
    scenario: ScenarioKind,
    /// current, baseline or both (default); both run in turn, followed by a line of ratios
    #[argh(option, default = "PolicyChoice::Both")]
    policy: PolicyChoice,
    /// the load as a share of the targets' capacity (default: depends on the scenario)
    #[argh(option)]
    load: Option<f64>,
    /// the load in queries per second, instead of --load
    #[argh(option)]
    rate: Option<f64>,
    /// the duration of the measurement in seconds (default 10)
    #[argh(option, default = "10")]
    seconds: u64,
    /// the seconds of load before the measurement (default 2)
    #[argh(option, default = "2")]
    warm_up: u64,
    /// the seed of arrivals, run times and faults (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// the number of entries, and of relays (default 8)
    #[argh(option, default = "8")]
    nodes: usize,
    /// slow-target: the factor on run times (default 10)
    #[argh(option, default = "10.0")]
    slow_factor: f64,
    /// slow-target: the share of replicas that are slow (default 0.1)
    #[argh(option, default = "0.1")]
    slow_share: f64,
    /// print each result as one line of JSON instead of indented JSON
    #[argh(switch)]
    json: bool,
}

/// Policies to run in turn.
#[derive(Clone, Copy)]
enum PolicyChoice {
    One(PolicyKind),
    Both,
}

impl FromStr for PolicyChoice {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text == "both" {
            return Ok(Self::Both);
        }
        text.parse().map(Self::One)
    }
}

impl PolicyChoice {
    fn policies(self) -> Vec<PolicyKind> {
        match self {
            Self::One(policy) => vec![policy],
            Self::Both => vec![PolicyKind::Baseline, PolicyKind::Current],
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: LoadArgs = argh::from_env();
    match args.command {
        LoadCommand::Run(args) => run_command(&args).await,
        LoadCommand::Report(args) => report_command(&args),
    }
}

fn report_command(args: &ReportArgs) -> ExitCode {
    match report::write_report(&args.files, &args.out) {
        Ok(page) => {
            println!("{}", page.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("alder-load: {error:#}");
            ExitCode::from(EXIT_BAD_ARGUMENTS)
        }
    }
}

async fn run_command(args: &RunArgs) -> ExitCode {
    let options = match build_options(args) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("alder-load: {error:#}");
            return ExitCode::from(EXIT_BAD_ARGUMENTS);
        }
    };
    match run_policies(args, &options).await {
        Ok(0) => ExitCode::SUCCESS,
        Ok(violations) => {
            eprintln!("alder-load: {violations} violations");
            ExitCode::from(EXIT_VIOLATIONS)
        }
        Err(error) => {
            eprintln!("alder-load: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn build_options(args: &RunArgs) -> Result<RunOptions> {
    let full_rate = Workload::for_deployment(args.deployment)?.rate_at_full_load();
    let load = match (args.load, args.rate) {
        (Some(_), Some(_)) => bail!("--load and --rate are mutually exclusive"),
        (Some(load), None) => load,
        (None, Some(rate)) => rate / full_rate,
        (None, None) => args.scenario.default_load(),
    };
    if !(load > 0.0 && load <= 20.0) {
        bail!("--load: {load} is refused: allowed is above 0 to 20");
    }
    if !(1..=MAX_SECONDS).contains(&args.seconds) || args.warm_up > MAX_SECONDS {
        bail!("--seconds must be 1 to {MAX_SECONDS}, and --warm-up 0 to {MAX_SECONDS}");
    }
    if !(1..=MAX_NODES).contains(&args.nodes) {
        bail!(
            "--nodes: {} is refused: allowed is 1 to {MAX_NODES}",
            args.nodes
        );
    }
    if !(args.slow_factor >= 1.0 && args.slow_factor <= 1_000.0) {
        bail!("--slow-factor: allowed is 1 to 1000");
    }
    if !(0.0..=1.0).contains(&args.slow_share) {
        bail!("--slow-share: allowed is 0 to 1");
    }
    Ok(RunOptions {
        deployment: args.deployment,
        scenario: args.scenario,
        policy: PolicyKind::Current,
        load,
        measured_time: TimeSpan::from_secs(args.seconds),
        warm_up: TimeSpan::from_secs(args.warm_up),
        seed: args.seed,
        nodes: args.nodes,
        slow_factor: args.slow_factor,
        slow_share: args.slow_share,
        without_special_queries: false,
    })
}

/// Runs the chosen policies in turn; returns the total number of violations.
async fn run_policies(args: &RunArgs, options: &RunOptions) -> Result<u64> {
    let mut lines: Vec<RunLine> = Vec::new();
    for policy in args.policy.policies() {
        let options = RunOptions {
            policy,
            ..options.clone()
        };
        let line = test_run::run(&options).await?;
        print_line(&line, args.json)?;
        lines.push(line);
    }
    if let [baseline, current] = lines.as_slice() {
        print_line(&RatioLine::from_runs(current, baseline), args.json)?;
    }
    Ok(lines.iter().map(|line| line.violations.total()).sum())
}

fn print_line(line: &impl Serialize, json: bool) -> Result<()> {
    if json {
        println!("{}", serde_json::to_string(line)?);
    } else {
        println!("{}", serde_json::to_string_pretty(line)?);
    }
    Ok(())
}
