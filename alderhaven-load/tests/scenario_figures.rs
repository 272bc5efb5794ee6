//! Figures of single scenarios.

mod common;

use alderhaven_core::time::TimeSpan;
use alderhaven_load::load_query::{LoadQuery, QueryGroup};
use alderhaven_load::query_reply::QueryReply;
use alderhaven_load::run_options::RunOptions;
use alderhaven_load::scenario::ScenarioKind;
use alderhaven_load::scenario_figures::{FigureMap, FigureTally};
use alderhaven_standin::fleet_services::LeavingRecord;
use alderhaven_standin::run_log::RunRecord;
use common::{complete_answer, duplicate_check, refusal, reply, shard_run, target};

/// The warm-up ends at 1 s, the event is at 3 s, a burst ends at 4 s and the run at 9 s.
fn options(scenario: ScenarioKind) -> RunOptions {
    RunOptions {
        scenario,
        warm_up: TimeSpan::from_secs(1),
        measured_time: TimeSpan::from_secs(8),
        ..RunOptions::default()
    }
}

fn answered(number: u64, due_ms: u64, latency_ms: u64) -> (LoadQuery, QueryReply) {
    let query = duplicate_check(number, due_ms);
    let reply = reply(&query, latency_ms, &complete_answer(&query));
    (query, reply)
}

fn figures(
    scenario: ScenarioKind,
    pairs: &[(LoadQuery, QueryReply)],
    records: &[RunRecord],
    leaving_targets: &[LeavingRecord],
) -> FigureMap {
    let options = options(scenario);
    let mut tally = FigureTally::new(&options);
    for (query, reply) in pairs {
        tally.add(query, reply);
    }
    tally.figures(records, leaving_targets)
}

#[test]
fn figures_recovery_after_burst() {
    // Latency is 500 ms during the burst and for 1.05 s after it, and 100 ms otherwise.
    let pairs: Vec<(LoadQuery, QueryReply)> = (0..160)
        .map(|number| {
            let due = 1_000 + number * 50;
            let is_slow = (3_000..5_050).contains(&due);
            answered(number, due, if is_slow { 500 } else { 100 })
        })
        .collect();
    let figures = figures(ScenarioKind::Burst, &pairs, &[], &[]);
    assert_eq!(figures["steady_p99_ms"], Some(100.0));
    assert_eq!(figures["worst_window_p99_ms"], Some(500.0));
    // The first window of a second without a slow query begins 1.1 s after the burst.
    assert_eq!(figures["back_to_steady_ms"], Some(1_100.0));
}

#[test]
fn figures_without_degradation() {
    // The slowest window comes late but is near the steady value, so the latency never degraded.
    let pairs: Vec<(LoadQuery, QueryReply)> = (0..160)
        .map(|number| {
            let due = 1_000 + number * 50;
            answered(number, due, if due < 7_000 { 100 } else { 110 })
        })
        .collect();
    let figures = figures(ScenarioKind::StoreOutage, &pairs, &[], &[]);
    assert_eq!(figures["worst_window_p99_ms"], Some(110.0));
    assert_eq!(figures["back_to_steady_ms"], Some(0.0));
}

#[test]
fn figures_without_recovery() {
    let pairs: Vec<(LoadQuery, QueryReply)> = (0..160)
        .map(|number| {
            let due = 1_000 + number * 50;
            answered(number, due, if due < 3_000 { 100 } else { 500 })
        })
        .collect();
    let figures = figures(ScenarioKind::SilentConnections, &pairs, &[], &[]);
    assert_eq!(figures["back_to_steady_ms"], None);
}

#[test]
fn figures_others_without_special_queries() {
    let mut pairs = vec![answered(1, 2_000, 100), answered(2, 2_000, 120)];
    let refused = duplicate_check(3, 2_000);
    pairs.push((refused.clone(), reply(&refused, 1, &refusal())));
    pairs.push(answered(4, 2_000, 900));
    pairs[3].0.group = QueryGroup::LongJob;
    // Due in the warm-up, so it isn't counted.
    pairs.push(answered(5, 500, 900));
    let figures = figures(ScenarioKind::LongAmongShort, &pairs, &[], &[]);
    assert_eq!(figures["others_p99_ms"], Some(120.0));
    assert_eq!(figures["others_answered"], Some(0.6667));
    assert_eq!(figures["long_offered"], Some(1.0));
    assert_eq!(figures["long_answered"], Some(1.0));
}

#[test]
fn figures_most_crashes_of_a_poison_request() {
    let run = |text: &str| {
        let mut record = shard_run(&duplicate_check(1, 0), 0, 1);
        record.parameters = format!(r#"{{"title":"{text}"}}"#);
        record
    };
    let records = ["poison-0", "poison-0", "poison-0", "poison-1", "sound"].map(run);
    let figures = figures(ScenarioKind::Poison, &[], &records, &[]);
    assert_eq!(figures["crashes"], Some(4.0));
    assert_eq!(figures["most_crashes_per_poison"], Some(3.0));
    assert_eq!(figures["poison_requests_run"], Some(2.0));
}

#[test]
fn figures_last_run_after_leaving() {
    let query = duplicate_check(1, 0);
    let mut records = vec![shard_run(&query, 0, 1), shard_run(&query, 1, 1)];
    records[0].started_us = 2_500;
    records[1].started_us = 900_000;
    let leaving_targets = [LeavingRecord {
        target: target(0),
        leaving_since_us: 1_000,
    }];
    let figures = figures(ScenarioKind::TargetLeaving, &[], &records, &leaving_targets);
    assert_eq!(figures["leaving_targets"], Some(1.0));
    assert_eq!(figures["last_run_after_leaving_ms"], Some(1.5));
}
