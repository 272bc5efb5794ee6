//! One run of one policy: start, load, checks, figures.

use std::time::Duration;

use alderhaven_core::errors::Result as CoreResult;
use alderhaven_core::time::TimeSpan;
use eyre::Result;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::answer_oracle::{self, AnswerOracle};
use crate::arrivals::{ArrivalSchedule, RatePhase};
use crate::caller_pool::CallerPool;
use crate::cpu_clock::CpuClock;
use crate::load_driver::LoadDriver;
use crate::load_query::{LoadQuery, QuerySource};
use crate::run_line::RunLine;
use crate::run_options::RunOptions;
use crate::run_tally::RunTally;
use crate::scenario::{self, ScenarioKind};
use crate::test_bed::TestBed;
use crate::violations::ViolationKind;
use crate::workload::Workload;

/// The time within which targets end their last runs; cancelled ones end at once.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Runs one policy and returns its line.
///
/// # Errors
/// Where the system can't be started or does not come to rest.
pub async fn run(options: &RunOptions) -> Result<RunLine> {
    let workload = Workload::of(options.deployment)?;
    let queries = queries_of(options, &workload)?;
    let bed = TestBed::start(&workload, options.policy, options.nodes, options.seed).await?;
    if options.scenario == ScenarioKind::SlowTarget {
        let (factor, share) = (options.slow_factor, options.slow_share);
        scenario::slow_down(bed.fleet(), factor, share, options.seed);
    }
    let driver = LoadDriver::new(CallerPool::new(&bed.entry_addresses()));
    let clock = CpuClock::start();
    let replies = driver.run(queries.into_iter()).await;
    let shares = clock.shares();
    bed.wait_until_idle(IDLE_LIMIT).await?;

    let records = bed.fleet().runs().records();
    let attempts = records.len();
    let mut tally = RunTally::new(options, &workload);
    for _ in 0..answer_oracle::work_after_leaving(&records, &[]) {
        tally.add_violation(ViolationKind::WorkAfterLeaving);
    }
    for _ in 0..answer_oracle::steps_back(&bed.sightings()) {
        tally.add_violation(ViolationKind::Reverted);
    }
    let oracle = AnswerOracle::new(bed.manifests().to_vec(), records);
    for (query, reply) in &replies {
        tally.add(query, reply);
        for kind in oracle.judge(query, reply) {
            tally.add_violation(kind);
        }
    }
    bed.stop().await;
    Ok(tally.line(attempts, shares))
}

/// Draws all queries of a run; equal options give equal queries.
///
/// # Errors
/// Where the workload's templates don't take the parameters of its mix.
pub fn queries_of(options: &RunOptions, workload: &Workload) -> CoreResult<Vec<LoadQuery>> {
    let rate = options.load * workload.rate_at_full_load();
    let phases = vec![RatePhase {
        span: options.warm_up + options.measured,
        rate,
    }];
    let mut source = QuerySource::new(workload);
    let mut rng = StdRng::seed_from_u64(options.seed);
    ArrivalSchedule::new(options.seed.wrapping_add(1), phases)
        .map(|due: TimeSpan| source.draw(due, &mut rng))
        .collect()
}
