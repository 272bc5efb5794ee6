//! `alder-quickstart`: runs sample queries over a whole system in one process, on loopback.
#![forbid(unsafe_code)]
#![expect(
    clippy::print_stdout,
    clippy::print_stderr,
    reason = "replies and progress are the command's output"
)]

use std::process::ExitCode;
use std::time::Duration;

use alderhaven_core::errors::Error;
use alderhaven_core::logging;
use alderhaven_core::startup::EXIT_BAD_SETTINGS;
use alderhaven_quickstart::answer_text;
use alderhaven_quickstart::local_system::{LocalSystem, MAX_NODES};
use alderhaven_quickstart::query_run;
use alderhaven_quickstart::query_run::{CheckedReply, RunOptions, RunReport};
use alderhaven_quickstart::sample_source::{MAX_QUERIES, SAMPLE_KINDS};
use argh::FromArgs;
use eyre::Result;
use log::LevelFilter;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time;

/// Replies of longer runs are not shown; progress lines are printed instead.
const MAX_SHOWN_QUERIES: usize = 24;
/// The approximate number of progress lines of a run.
const PROGRESS_LINE_COUNT: usize = 10;
/// Further violations of a reply, or of the whole run, are only counted.
const MAX_SHOWN_VIOLATIONS: usize = 20;

/// Runs sample queries of two deployments against stand-in targets on loopback and shows replies.
#[derive(FromArgs)]
struct Arguments {
    /// the number of entries and of relays, 1 to 64 (default 8)
    #[argh(option, default = "8")]
    nodes: usize,

    /// the number of queries, 1 to 100000 (default 11: each template once)
    #[argh(option, default = "SAMPLE_KINDS.len()")]
    queries: usize,

    /// the seed of parameters and of run times at targets (default 1)
    #[argh(option, default = "1")]
    seed: u64,

    /// print the totals as one JSON line
    #[argh(switch)]
    json: bool,

    /// keep running after the queries, until SIGINT or SIGTERM
    #[argh(switch)]
    keep_running: bool,

    /// the seconds after which `--keep-running` ends
    #[argh(option, long = "for")]
    seconds: Option<u64>,
}

impl Arguments {
    /// Checks the ranges of the numbers before anything is started.
    fn check(&self) -> alderhaven_core::errors::Result<()> {
        let bounded = [
            ("--nodes", self.nodes, MAX_NODES),
            ("--queries", self.queries, MAX_QUERIES),
        ];
        for (name, value, max) in bounded {
            if !(1..=max).contains(&value) {
                let allowed = format!("{value} is refused: allowed is 1 to {max}");
                return Err(Error::invalid(name, allowed));
            }
        }
        Ok(())
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if let Err(error) = arguments.check() {
        eprintln!("error: {error}");
        return ExitCode::from(EXIT_BAD_SETTINGS);
    }
    logging::start(LevelFilter::Error);
    match run(&arguments).await {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Starts the system, runs the queries and gets the number of violations.
async fn run(arguments: &Arguments) -> Result<usize> {
    eprintln!(
        "starting {} entries, as many relays, and stand-ins",
        arguments.nodes
    );
    let system = LocalSystem::start(arguments.nodes, arguments.seed).await?;
    eprintln!("ready: {} targets of 2 deployments", system.target_count());
    let show_replies = arguments.queries <= MAX_SHOWN_QUERIES;
    let options = RunOptions {
        queries: arguments.queries,
        seed: arguments.seed,
        callers: if show_replies { 1 } else { arguments.nodes },
    };
    let mut done = 0;
    let report = query_run::run(&system, options, |checked| {
        done += 1;
        show_reply(checked, show_replies);
        if !show_replies {
            show_progress(done, options.queries);
        }
    })
    .await?;
    show_report(&report, arguments.json)?;
    if arguments.keep_running {
        keep_running(&system, arguments.seconds).await?;
    }
    system.stop().await;
    Ok(report.totals.violations)
}

fn show_reply(checked: &CheckedReply, show_replies: bool) {
    if show_replies {
        println!(
            "{}",
            answer_text::reply_text(&checked.query, &checked.reply)
        );
    }
    for violation in checked.violations.iter().take(MAX_SHOWN_VIOLATIONS) {
        eprintln!("violation: {violation}");
    }
}

fn show_progress(done: usize, queries: usize) {
    let stride = queries.div_ceil(PROGRESS_LINE_COUNT);
    if done.is_multiple_of(stride) || done == queries {
        eprintln!("{done} of {queries} queries");
    }
}

fn show_report(report: &RunReport, json: bool) -> Result<()> {
    for violation in report.violations.iter().take(MAX_SHOWN_VIOLATIONS) {
        eprintln!("violation: {violation}");
    }
    let totals = report.totals;
    if json {
        println!("{}", serde_json::to_string(&totals)?);
    } else {
        println!(
            "{} queries: {} complete, {} partial, {} refused, {} unknown, {} failed; {} violations",
            totals.queries,
            totals.complete,
            totals.partial,
            totals.refused,
            totals.unknown,
            totals.failed,
            totals.violations,
        );
    }
    Ok(())
}

async fn keep_running(system: &LocalSystem, seconds: Option<u64>) -> Result<()> {
    let entries = system.entry_addresses();
    eprintln!("entries: {entries:?}");
    eprintln!("operators: {:?}", system.operator_addresses());
    eprintln!("platform: {}", system.platform_address());
    if let Some(entry) = entries.first() {
        eprintln!(
            "try: curl -s http://{entry}/v1/query/title-lookup \
             -d '{{\"team\":\"booksellers\",\"parameters\":{{\"title\":\"River Songs\"}}}}'"
        );
    }
    let mut terminate = signal(SignalKind::terminate())?;
    let limit = async {
        match seconds {
            Some(seconds) => time::sleep(Duration::from_secs(seconds)).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
        () = limit => {}
    }
    Ok(())
}
