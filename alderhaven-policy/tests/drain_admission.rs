//! Requests that arrive at a stopping process, replayed for several ways to decide on them.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::drain_admission;
use alderhaven_policy::work_estimate::{OpenRun, WorkEstimate, WorkKind};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Time from the stop request to the last answers.
const RUN_LIMIT: TimeSpan = TimeSpan::from_millis(5_550);
/// Time from the stop request until nothing new is accepted.
const SERVING_SPAN: TimeSpan = TimeSpan::from_secs(4);
/// Time for which requests are observed before the stop.
const WARMUP: TimeSpan = TimeSpan::from_secs(40);
const TIMEOUT: TimeSpan = TimeSpan::from_secs(6);
const SHORT_WORK: TimeSpan = TimeSpan::from_millis(90);
/// Time between two arrivals before the stop.
const ARRIVAL_INTERVAL: TimeSpan = TimeSpan::from_millis(20);
/// Life of a directory answer, which some callers keep three times as long.
const DIRECTORY_TTL: f64 = 4.4;
const LONG_KEEPER_SHARE: f64 = 0.25;

/// How a stopping process decides on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopRule {
    /// Takes all that arrive before a fixed reserve.
    FixedReserve,
    /// Takes nothing.
    RefuseAll,
    /// By the longest run of the route.
    ByRoute,
    /// By the longest run of the request's kind.
    ByKind,
    /// The same, with kinds that say nothing about the work.
    ByIrrelevantKind,
}

/// Requests of one route, of which a share is long.
#[derive(Clone, Copy, Debug)]
struct MixedLoad {
    long_share: f64,
    long_work: TimeSpan,
    seed: u64,
}

/// What became of the requests that arrived after the stop request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct StopTally {
    answered: u32,
    refused_short: u32,
    refused_long: u32,
    /// Cut after a target had begun to run them.
    lost: u32,
}

impl StopTally {
    fn add(self, other: Self) -> Self {
        Self {
            answered: self.answered + other.answered,
            refused_short: self.refused_short + other.refused_short,
            refused_long: self.refused_long + other.refused_long,
            lost: self.lost + other.lost,
        }
    }
}

/// Number of kinds that say nothing about the work.
const IRRELEVANT_KINDS: u64 = 20;

fn kind_of(rule: StopRule, is_long: bool, rng: &mut StdRng) -> WorkKind {
    let item = rng.random_range(0..IRRELEVANT_KINDS);
    WorkKind::from_hash(match rule {
        StopRule::ByKind => u64::from(is_long),
        StopRule::ByIrrelevantKind => item,
        _ => 0,
    })
}

/// Share of callers that still hold the address of the process.
fn holder_share(since_stop: TimeSpan) -> f64 {
    let left = |ttl: f64| (1.0 - since_stop.as_secs_f64() / ttl).max(0.0);
    (1.0 - LONG_KEEPER_SHARE) * left(DIRECTORY_TTL) + LONG_KEEPER_SHARE * left(3.0 * DIRECTORY_TTL)
}

fn replay(load: MixedLoad, rule: StopRule) -> StopTally {
    let mut rng = StdRng::seed_from_u64(load.seed);
    let mut estimate = WorkEstimate::default();
    let mut open: Vec<(TimePoint, OpenRun)> = Vec::new();
    let mut tally = StopTally::default();
    let stop_at = TimePoint::START + WARMUP;
    let mut now = TimePoint::START;
    while now < stop_at + SERVING_SPAN {
        now = now + ARRIVAL_INTERVAL;
        open.retain(|(end, run)| {
            let is_open = *end > now;
            if !is_open {
                estimate.end(run, true, *end);
            }
            is_open
        });
        let is_long = rng.random_bool(load.long_share);
        let is_stopping = now >= stop_at;
        if is_stopping && !rng.random_bool(holder_share(now.since(stop_at))) {
            continue;
        }
        let work = if is_long { load.long_work } else { SHORT_WORK };
        let work = work.mul_f64(rng.random_range(0.9..1.1));
        let kind = kind_of(rule, is_long, &mut rng);
        let remaining = RUN_LIMIT.saturating_sub(now.since(stop_at));
        let longest = estimate.longest_run(&[kind], now);
        let is_taken = !is_stopping
            || match rule {
                StopRule::FixedReserve => true,
                StopRule::RefuseAll => false,
                StopRule::ByRoute | StopRule::ByKind | StopRule::ByIrrelevantKind => {
                    drain_admission::can_finish(remaining, TIMEOUT, longest)
                }
            };
        if is_taken {
            open.push((now + work, estimate.begin(&[kind], now)));
        }
        if is_stopping {
            match (is_taken, is_long) {
                (true, _) if work > remaining => tally.lost += 1,
                (true, _) => tally.answered += 1,
                (false, true) => tally.refused_long += 1,
                (false, false) => tally.refused_short += 1,
            }
        }
    }
    tally
}

/// Sums the outcome over twenty seeds and prints it.
fn replay_seeds(long_share: f64, long_secs: f64, rule: StopRule) -> StopTally {
    let long_work = TimeSpan::from_secs(1).mul_f64(long_secs);
    let tallies = (0..20).map(|seed| {
        let load = MixedLoad {
            long_share,
            long_work,
            seed,
        };
        replay(load, rule)
    });
    let tally = tallies.fold(StopTally::default(), StopTally::add);
    println!("long share {long_share}, long work {long_secs} s, {rule:?}: {tally:?}");
    tally
}

/// Share and work in seconds of the long requests.
const LOADS: [(f64, f64); 5] = [
    (0.5, 2.3),
    (0.1, 2.3),
    (0.1, 4.0),
    (0.02, 4.5),
    (0.005, 3.0),
];

/// Guards against stops that cut long requests which arrived shortly before the last ones.
#[test]
fn can_finish_loses_no_request_with_known_work() {
    for (share, secs) in LOADS {
        assert!(replay_seeds(share, secs, StopRule::FixedReserve).lost > 0);
        for rule in [StopRule::ByRoute, StopRule::ByKind] {
            assert_eq!(replay_seeds(share, secs, rule).lost, 0, "{rule:?}");
        }
    }
}

/// Guards against kinds that are taken for short because none of their few requests was long.
#[test]
fn can_finish_ignores_kinds_that_say_nothing() {
    for (share, secs) in LOADS {
        let lost = replay_seeds(share, secs, StopRule::ByIrrelevantKind).lost;
        assert_eq!(lost, 0, "share {share}, {secs} s");
    }
}

/// Guards against stops that turn away requests which would still end in time.
#[test]
fn can_finish_takes_what_ends_in_time_of_a_known_kind() {
    for (share, secs) in LOADS {
        let tally = replay_seeds(share, secs, StopRule::ByKind);
        // Of the rarest long requests, some replays see too few to tell the kinds apart.
        let max_refused = if share < 0.01 { 0.05 } else { 0.0 };
        let arrived = tally.answered + tally.refused_short;
        assert!(f64::from(tally.refused_short) <= max_refused * f64::from(arrived));
        // The fixed reserve answers all that end in time.
        let possible = replay_seeds(share, secs, StopRule::FixedReserve).answered;
        assert!(f64::from(tally.answered) >= 0.9 * f64::from(possible));
        replay_seeds(share, secs, StopRule::RefuseAll);
    }
}

#[test]
fn can_finish_decides_by_the_timeout_while_no_work_is_known() {
    let second = TimeSpan::from_secs(1);
    assert!(drain_admission::can_finish(second, second, None));
    assert!(!drain_admission::can_finish(
        second.saturating_sub(TimeSpan::from_millis(1)),
        second,
        None
    ));
}

#[test]
fn can_finish_never_waits_beyond_the_timeout() {
    let second = TimeSpan::from_secs(1);
    let longest = Some(TimeSpan::from_secs(50));
    assert!(drain_admission::can_finish(second, second, longest));
    assert!(!drain_admission::can_finish(second, TIMEOUT, longest));
}

/// Guards against estimates that ignore work which none of the ended requests had.
#[test]
fn longest_run_counts_requests_that_still_run() {
    let mut estimate = WorkEstimate::default();
    let kind = WorkKind::from_hash(1);
    let mut now = TimePoint::START;
    for _ in 0..60 {
        let run = estimate.begin(&[kind], now);
        now = now + SHORT_WORK;
        estimate.end(&run, true, now);
    }
    assert_eq!(estimate.longest_run(&[kind], now), Some(SHORT_WORK));
    let open = estimate.begin(&[kind], now);
    now = now + TIMEOUT;
    assert_eq!(estimate.longest_run(&[kind], now), Some(TIMEOUT));
    estimate.end(&open, false, now);
    assert_eq!(estimate.longest_run(&[kind], now), Some(SHORT_WORK));
}

/// Guards against memory that grows with the number of ids in paths.
#[test]
fn longest_run_of_a_rare_kind_is_that_of_all_kinds() {
    let mut estimate = WorkEstimate::default();
    let mut now = TimePoint::START;
    for hash in 0..10_000 {
        let run = estimate.begin(&[WorkKind::from_hash(hash)], now);
        now = now + SHORT_WORK;
        estimate.end(&run, true, now);
    }
    let unseen = WorkKind::from_hash(20_000);
    assert_eq!(estimate.longest_run(&[unseen], now), Some(SHORT_WORK));
}

/// Guards against a few slow requests among thousands that make stops refuse all others.
#[test]
fn longest_run_leaves_out_one_in_a_thousand() {
    let mut estimate = WorkEstimate::default();
    let kind = WorkKind::from_hash(1);
    let now = TimePoint::START + TIMEOUT;
    for number in 0..3_000 {
        let is_slow = number % 1_000 == 500;
        let work = if is_slow { TIMEOUT } else { SHORT_WORK };
        let run = estimate.begin(&[kind], TimePoint::START);
        estimate.end(&run, true, TimePoint::START + work);
    }
    assert_eq!(estimate.longest_run(&[kind], now), Some(SHORT_WORK));
    let slow = estimate.begin(&[kind], TimePoint::START);
    estimate.end(&slow, true, now);
    assert_eq!(estimate.longest_run(&[kind], now), Some(TIMEOUT));
}

/// Guards against the few known runs of a long kind that are taken for its longest.
#[test]
fn longest_run_of_a_long_kind_with_few_requests_is_unknown() {
    let (short, long) = (WorkKind::from_hash(1), WorkKind::from_hash(2));
    let mut estimate = WorkEstimate::default();
    let mut record = |kind: WorkKind, work: TimeSpan, requests: u64| {
        for _ in 0..requests {
            let run = estimate.begin(&[kind], TimePoint::START);
            estimate.end(&run, true, TimePoint::START + work);
        }
        let now = TimePoint::START + TIMEOUT;
        [short, long].map(|kind| estimate.longest_run(&[kind], now))
    };
    record(short, SHORT_WORK, 60);
    let long_work = TimeSpan::from_secs(2);
    assert_eq!(record(long, long_work, 4)[1], None);
    assert_eq!(record(long, long_work, 16)[1], Some(long_work));
    assert_eq!(record(short, SHORT_WORK, 1)[0], Some(SHORT_WORK));
}

/// Guards against one slow request that makes stops refuse requests for good.
#[test]
fn longest_run_forgets_old_requests() {
    let mut estimate = WorkEstimate::default();
    let kind = WorkKind::from_hash(1);
    let slow = estimate.begin(&[kind], TimePoint::START);
    let mut now = TimePoint::START + TIMEOUT;
    estimate.end(&slow, true, now);
    for _ in 0..1_000 {
        let run = estimate.begin(&[kind], now);
        estimate.end(&run, true, now + SHORT_WORK);
        now = now + TimeSpan::from_secs(1);
    }
    assert_eq!(estimate.longest_run(&[kind], now), Some(SHORT_WORK));
}
