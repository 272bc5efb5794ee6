//! Executes one run: start, load, checks and result.

use std::time::Duration;

use eyre::Result;

use crate::answer_oracle::{self, AnswerOracle, LeavingTarget};
use crate::caller_pool::CallerPool;
use crate::cpu_clock::CpuClock;
use crate::fault_script::FaultScript;
use crate::load_driver::LoadDriver;
use crate::load_plan;
use crate::run_line::{RunLine, rounded};
use crate::run_options::RunOptions;
use crate::run_tally::RunTally;
use crate::scenario::ScenarioKind;
use crate::scenario_figures::{self, FigureTally};
use crate::test_bed::TestBed;
use crate::violations::ViolationKind;
use crate::workload::Workload;

/// Time within which the targets must finish their last attempts.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Figure that is compared with that of the run without special queries.
const COMPARED_FIGURE: &str = "others_p99_ms";

/// Runs one policy; some scenarios run a second time without their special queries, for comparison.
///
/// # Errors
/// Where the system can't be started, or attempts don't end.
pub async fn run(options: &RunOptions) -> Result<RunLine> {
    let mut line = run_once(options).await?;
    if options.scenario.has_comparison_run() {
        let comparison_options = RunOptions {
            without_special_queries: true,
            ..options.clone()
        };
        let without = run_once(&comparison_options).await?.figures[COMPARED_FIGURE];
        let ratio = match (line.figures[COMPARED_FIGURE], without) {
            (Some(with), Some(without)) if without > 0.0 => Some(rounded(with / without)),
            _ => None,
        };
        let figures = &mut line.figures;
        figures.insert("others_p99_alone_ms".to_owned(), without);
        figures.insert("others_p99_ratio".to_owned(), ratio);
    }
    Ok(line)
}

async fn run_once(options: &RunOptions) -> Result<RunLine> {
    let mut workload = Workload::for_deployment(options.deployment)?;
    if options.scenario == ScenarioKind::LongAmongShort {
        workload.add_long_jobs()?;
    }
    let queries = load_plan::plan_queries(options, &workload)?;
    let test_bed = TestBed::start(&workload, options).await?;
    let script = FaultScript::new(options, &test_bed);
    script.apply_initial_faults();
    let driver = LoadDriver::new(CallerPool::new(&test_bed.entry_addresses()));
    let clock = CpuClock::start();
    let (replies, event_result) = tokio::join!(
        driver.run(queries.into_iter()),
        script.run_event(driver.started_at())
    );
    event_result?;
    let shares = clock.shares();
    test_bed.wait_until_idle(IDLE_TIMEOUT).await?;

    let records = test_bed.fleet().run_log().records();
    let attempts = records.len();
    let leaving = test_bed.fleet().services().leaving_targets();
    let mut tally = RunTally::new(options, &workload);
    let mut figures = FigureTally::new(options);
    let leaving_targets: Vec<LeavingTarget> = leaving
        .iter()
        .map(|leaving| LeavingTarget {
            target: leaving.target.clone(),
            leaving_since_us: leaving.leaving_since_us,
        })
        .collect();
    for _ in 0..answer_oracle::count_runs_after_leaving(&records, &leaving_targets) {
        tally.add_violation(ViolationKind::WorkAfterLeaving);
    }
    for _ in 0..answer_oracle::count_config_reversions(&test_bed.config_observations()) {
        tally.add_violation(ViolationKind::Reverted);
    }
    let oracle = AnswerOracle::new(test_bed.manifests(), records.clone());
    for (query, reply) in &replies {
        tally.add(query, reply);
        figures.add(query, reply);
        for kind in oracle.check_reply(query, reply) {
            tally.add_violation(kind);
        }
    }
    let mut line = tally.line(attempts, shares);
    line.figures = figures.figures(&records, &leaving);
    let ejections = test_bed.ejection_count() as f64;
    scenario_figures::insert_figure(&mut line.figures, "ejections", ejections);
    if options.scenario == ScenarioKind::RelayCrash {
        let usable = test_bed.min_usable_relays() as f64;
        scenario_figures::insert_figure(&mut line.figures, "usable_relays", usable);
    }
    if options.scenario == ScenarioKind::PublishRace {
        let publications = test_bed.publication_count() as f64;
        scenario_figures::insert_figure(&mut line.figures, "publications", publications);
    }
    test_bed.stop().await;
    Ok(line)
}
