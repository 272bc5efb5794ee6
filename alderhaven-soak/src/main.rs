//! `alder-soak`: runs front processes under injected faults and checks the promises.
#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;

use alderhaven_core::startup;
use alderhaven_core::time::TimeSpan;
use alderhaven_soak::crash_caller::CrashCaller;
use alderhaven_soak::run_mode::RunMode;
use alderhaven_soak::seed_cases::{self, SeedCase};
use alderhaven_soak::soak_options::{MAX_FRONTS, PromiseScope, SoakOptions};
use alderhaven_soak::soak_report::SoakReport;
use alderhaven_soak::soak_run;
use alderhaven_soak::team_plan::TeamPlan;
use argh::FromArgs;
use eyre::{OptionExt, Result, WrapErr, bail};
use tokio::signal::unix;
use tokio::signal::unix::SignalKind;

/// The exit code of a run in which a promise was broken.
const EXIT_VIOLATIONS: u8 = 1;
/// The exit code when a run could not be set up or was interrupted.
const EXIT_NOT_RUN: u8 = 2;
/// The shortest run: the fault-free time at its start and end, and a few faults in between.
const MIN_SECONDS: u64 = 10;
/// One in so many seeds has requests that need seconds.
const LONG_WORK_PERIOD: u64 = 2;
/// One in so many seeds has callers that hold requests open.
const STALLED_PERIOD: u64 = 7;
/// One in so many pairs of seeds has cuts of the fronts that watch the store.
const WATCHER_CUT_PERIOD: u64 = 2;
/// The longest run.
const MAX_SECONDS: u64 = 3_600;

/// Soak test of alderhaven's fronts: runs real processes on loopback, injects faults and checks the
/// promises.
#[derive(FromArgs)]
struct SoakArgs {
    #[argh(subcommand)]
    command: SoakCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum SoakCommand {
    Run(RunArgs),
    Replay(ReplayArgs),
}

/// Runs the faults of one seed, or of several consecutive seeds.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct RunArgs {
    /// the first seed
    #[argh(option)]
    seed: u64,
    /// the number of seeds (default 1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// the length of each run in seconds (default 25)
    #[argh(option, default = "25")]
    seconds: u64,
    /// the number of fronts (default 4)
    #[argh(option, default = "4")]
    fronts: usize,
    /// the number of callers (default 16)
    #[argh(option, default = "16")]
    callers: usize,
    /// the front binary under test (default: alder-front in this program's directory)
    #[argh(option)]
    front: Option<PathBuf>,
    /// the directory for the logs of failed seeds (default: target/soak)
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    logs: PathBuf,
    /// whether runs have teams: on, off or drawn (default: drawn from each seed)
    #[argh(option, default = "RunMode::Drawn")]
    teams: RunMode,
    /// whether callers send requests that crash targets: on, off or drawn (default: drawn from each
    /// seed)
    #[argh(option, default = "RunMode::Drawn")]
    crashes: RunMode,
    /// whether some requests need seconds, callers keep directory answers for long, and targets spoil
    /// answers: on, off or drawn (default: drawn from each seed)
    #[argh(option, default = "RunMode::Drawn")]
    long_work: RunMode,
    /// whether fronts that watch the store lose it just after a change: on, off or drawn (default: drawn
    /// from each seed)
    #[argh(option, default = "RunMode::Drawn")]
    watcher_cuts: RunMode,
    /// whether callers hold requests open that stop short of their end: on, off or drawn (default: drawn from
    /// each seed)
    #[argh(option, default = "RunMode::Drawn")]
    stalled: RunMode,
    /// print one JSON line per seed
    #[argh(switch)]
    json: bool,
}

/// Reruns a regression seed with its recorded options; without a seed, all of them.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
struct ReplayArgs {
    /// the seed
    #[argh(positional)]
    seed: Option<u64>,
    /// the front binary under test (default: alder-front in this program's directory)
    #[argh(option)]
    front: Option<PathBuf>,
    /// the directory for the logs of failed seeds (default: target/soak)
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    logs: PathBuf,
    /// print one JSON line per seed
    #[argh(switch)]
    json: bool,
}

fn main() -> ExitCode {
    let arguments: SoakArgs = match startup::parse_arguments("alder-soak") {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let result = match arguments.command {
        SoakCommand::Run(arguments) => run(arguments),
        SoakCommand::Replay(arguments) => replay(arguments),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_VIOLATIONS),
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}

fn run(arguments: RunArgs) -> Result<bool> {
    if !(MIN_SECONDS..=MAX_SECONDS).contains(&arguments.seconds) {
        bail!("--seconds must be from {MIN_SECONDS} to {MAX_SECONDS}");
    }
    if !(1..=MAX_FRONTS).contains(&arguments.fronts) {
        bail!("--fronts must be from 1 to {MAX_FRONTS}");
    }
    let runner = SeedRunner::new(arguments.front, arguments.logs, arguments.json)?;
    let mut all_passed = true;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let teams = arguments.teams.is_on(TeamPlan::is_drawn(seed));
        all_passed &= runner.run(
            &SeedCase {
                seed,
                seconds: arguments.seconds,
                fronts: arguments.fronts,
                callers: arguments.callers,
                teams,
                // They have no key.
                crashes: !teams && arguments.crashes.is_on(CrashCaller::is_drawn(seed)),
                long_work: arguments
                    .long_work
                    .is_on(seed.is_multiple_of(LONG_WORK_PERIOD)),
                watcher_cuts: arguments
                    .watcher_cuts
                    .is_on(!(seed / LONG_WORK_PERIOD).is_multiple_of(WATCHER_CUT_PERIOD)),
                stalled: arguments.stalled.is_on(seed.is_multiple_of(STALLED_PERIOD)),
                cause: String::new(),
            },
            ExtraFaults::Seeded,
        )?;
    }
    Ok(all_passed)
}

fn replay(arguments: ReplayArgs) -> Result<bool> {
    let runner = SeedRunner::new(arguments.front, arguments.logs, arguments.json)?;
    let cases = seed_cases::read().map_err(|error| eyre::eyre!("{error}"))?;
    let is_selected = |case: &SeedCase| arguments.seed.is_none_or(|seed| seed == case.seed);
    let cases: Vec<SeedCase> = cases.into_iter().filter(is_selected).collect();
    if cases.is_empty() {
        bail!("cases.yaml has no case with the given seed");
    }
    let mut all_passed = true;
    for case in &cases {
        all_passed &= runner.run(case, ExtraFaults::None)?;
    }
    Ok(all_passed)
}

/// Whether a run evacuates failure domains, restores the store and lets targets spoil answers.
/// Regression seeds were recorded without.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ExtraFaults {
    None,
    Seeded,
}

/// Runs seeds and prints their reports.
struct SeedRunner {
    front: PathBuf,
    logs: PathBuf,
    is_json: bool,
}

impl SeedRunner {
    fn new(front: Option<PathBuf>, logs: PathBuf, is_json: bool) -> Result<Self> {
        Ok(Self {
            front: front_binary(front)?,
            logs,
            is_json,
        })
    }

    /// Runs one seed; returns true if every promise was kept.
    fn run(&self, case: &SeedCase, extra_faults: ExtraFaults) -> Result<bool> {
        let options = SoakOptions::builder()
            .seed(case.seed)
            .span(TimeSpan::from_secs(case.seconds))
            .fronts(case.fronts)
            .callers(case.callers)
            .front_binary(self.front.clone())
            .logs(self.logs.clone())
            .has_evacuations(extra_faults == ExtraFaults::Seeded)
            .has_restores(extra_faults == ExtraFaults::Seeded)
            .has_watcher_cuts(case.watcher_cuts)
            .has_teams(case.teams)
            .has_crashing_requests(case.crashes)
            .has_long_work(case.long_work)
            .has_stalled_callers(case.stalled)
            .has_spoiled_answers(case.long_work && extra_faults == ExtraFaults::Seeded)
            .scope(PromiseScope::All)
            .build();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()
            .wrap_err("the Tokio runtime can't start")?;
        let report = runtime.block_on(run_until_signal(&options))?;
        if self.is_json {
            println!("{}", serde_json::to_string(&report)?);
        } else {
            println!("{report}");
        }
        Ok(report.violations.is_empty())
    }
}

/// Runs to the end or until a termination signal. Handling the signal lets the front processes be
/// killed on drop, so that they don't outlive this process.
async fn run_until_signal(options: &SoakOptions) -> Result<SoakReport> {
    let mut terminate = unix::signal(SignalKind::terminate())?;
    let mut interrupt = unix::signal(SignalKind::interrupt())?;
    let mut hang_up = unix::signal(SignalKind::hangup())?;
    tokio::select! {
        report = soak_run::run(options) => report,
        _ = terminate.recv() => bail!("stopped by a signal"),
        _ = interrupt.recv() => bail!("stopped by a signal"),
        _ = hang_up.recv() => bail!("stopped by a signal"),
    }
}

fn front_binary(named: Option<PathBuf>) -> Result<PathBuf> {
    if let Some(path) = named {
        return Ok(path);
    }
    let own = std::env::current_exe().wrap_err("the path of this program is unknown")?;
    let directory = own
        .parent()
        .ok_or_eyre("the path of this program has no parent directory")?;
    Ok(directory.join("alder-front"))
}
