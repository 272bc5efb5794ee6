//! Workloads, fairness, the tally and the fields of the result.

mod common;

use alderhaven_core::class::QueryClass;
use alderhaven_core::time::TimeSpan;
use alderhaven_load::cpu_clock::CpuShares;
use alderhaven_load::fairness_tally::{self, FairnessTally, TeamWork};
use alderhaven_load::query_reply::ReplyContent;
use alderhaven_load::run_line::{RatioLine, RunLine};
use alderhaven_load::run_options::RunOptions;
use alderhaven_load::run_tally::RunTally;
use alderhaven_load::violations::ViolationKind;
use alderhaven_load::workload::{Workload, WorkloadTemplate};
use alderhaven_standin::service_layout::DeploymentKind;
use common::{complete_answer, duplicate_check, refusal, reply, reply_with_content};
use serde_json::{Value, json};

/// Fields that readers of result lines rely on, in their order.
const RESULT_FIELDS: [&str; 20] = [
    "scenario",
    "policy",
    "seed",
    "offered",
    "complete",
    "partial",
    "refused_not_run",
    "failed",
    "unknown",
    "late",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "urgent_p99_ms",
    "urgent_in_time",
    "goodput",
    "fairness",
    "coverage",
    "extra_load",
    "violations",
];

fn options() -> RunOptions {
    RunOptions {
        warm_up: TimeSpan::from_secs(1),
        measured_time: TimeSpan::from_secs(10),
        ..RunOptions::default()
    }
}

fn line(attempts: usize, fill: impl FnOnce(&mut RunTally<'_>)) -> RunLine {
    let options = options();
    let workload = Workload::for_deployment(DeploymentKind::Volta).unwrap();
    let mut tally = RunTally::new(&options, &workload);
    fill(&mut tally);
    tally.line(attempts, CpuShares::default())
}

#[test]
fn workload_fills_each_service_at_load_one() {
    for deployment in [DeploymentKind::Volta, DeploymentKind::Lagerblik] {
        let workload = Workload::for_deployment(deployment).unwrap();
        let work = |entry: &WorkloadTemplate| entry.rate_at_full_load() * entry.mean_work();
        for layout in &workload.layouts {
            let slots = f64::from(layout.shards * layout.replicas * layout.slots);
            let work_per_second: f64 = workload
                .mix
                .iter()
                .filter(|workload_template| workload_template.layout.service == layout.service)
                .map(work)
                .sum();
            assert!(
                (work_per_second / slots - 1.0).abs() < 1e-9,
                "{}",
                layout.service
            );
        }
        let work_per_second: f64 = workload.mix.iter().map(work).sum();
        assert!((work_per_second / workload.capacity() - 1.0).abs() < 1e-9);
        assert!(workload.teams.iter().all(|team| team.check().is_empty()));
        assert!(
            workload
                .mix
                .iter()
                .all(|workload_template| workload_template.template.check().is_empty())
        );
    }
}

#[test]
fn fair_shares_by_weight_up_to_offered() {
    let work = |weight, offered, served| TeamWork {
        weight,
        offered,
        served,
    };
    let team_work = [
        work(1.0, 5.0, 5.0),
        work(1.0, 90.0, 40.0),
        work(2.0, 90.0, 15.0),
    ];
    let shares = fairness_tally::fair_shares(&team_work);
    // The first team offers less than its share; the other 55 are divided one to two.
    assert!((shares[0] - 5.0).abs() < 1e-9);
    assert!((shares[1] - 55.0 / 3.0).abs() < 1e-9);
    assert!((shares[2] - 110.0 / 3.0).abs() < 1e-9);
}

#[test]
fn fairness_lowest_team() {
    let mut tally = FairnessTally::default();
    for (team, served) in [("publishers", 30.0), ("booksellers", 10.0)] {
        let class = QueryClass::Urgent;
        *tally.work_mut(&common::service(), class, &team.parse().unwrap()) = TeamWork {
            weight: 1.0,
            offered: 100.0,
            served,
        };
    }
    assert!((tally.fairness() - 0.5).abs() < 1e-9);
}

#[test]
fn line_counts_outcomes() {
    let line = line(12, |tally| {
        let query = duplicate_check(1, 1_000);
        tally.add(&query, &reply(&query, 100, &complete_answer(&query)));
        let query = duplicate_check(2, 1_500);
        tally.add(&query, &reply(&query, 1_200, &complete_answer(&query)));
        let query = duplicate_check(3, 2_000);
        tally.add(&query, &reply(&query, 2, &refusal()));
        let query = duplicate_check(4, 2_000);
        tally.add(
            &query,
            &reply_with_content(&query, 900, ReplyContent::TimedOut),
        );
        // Due in the warm-up, so it isn't counted.
        let query = duplicate_check(5, 500);
        tally.add(&query, &reply(&query, 10, &complete_answer(&query)));
        tally.add_violation(ViolationKind::Crossed);
    });
    assert_eq!(
        (
            line.offered,
            line.complete,
            line.refused_not_run,
            line.failed,
            line.late
        ),
        (4, 2, 1, 1, 1)
    );
    assert_eq!(line.urgent_in_time, Some(0.25));
    assert_eq!(line.coverage, Some(0.6667));
    // Twelve attempts for three answers of three shards each.
    assert_eq!(line.extra_load, Some(1.3333));
    assert_eq!(line.violations.crossed, 1);
    assert_eq!(line.errors.get("overloaded"), Some(&1));
    assert!((1_199.0..1_202.0).contains(&line.p99_ms.unwrap()));
    assert!((1.9..2.1).contains(&line.refusal_p99_ms.unwrap()));
}

#[test]
fn line_latency_from_due_time() {
    // Latency includes the delay before sending; otherwise a slow sender hides queueing
    // (coordinated omission).
    let line = line(3, |tally| {
        let query = duplicate_check(1, 1_000);
        let mut late = reply(&query, 700, &complete_answer(&query));
        late.sent_at = query.due_at + TimeSpan::from_millis(600);
        tally.add(&query, &late);
    });
    assert!((699.0..702.0).contains(&line.p50_ms.unwrap()));
    assert!((599.0..602.0).contains(&line.send_lag_p99_ms.unwrap()));
}

#[test]
fn line_fields_in_order() {
    let line = line(0, |_| {});
    let text = serde_json::to_string(&line).unwrap();
    let offsets: Vec<usize> = RESULT_FIELDS
        .iter()
        .map(|field| text.find(&format!("\"{field}\":")).unwrap())
        .collect();
    assert!(offsets.is_sorted());
    let value: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(value["p99_ms"], Value::Null);
    assert_eq!(
        value["violations"],
        json!({
            "mixed_snapshot": 0, "untrue_coverage": 0, "crossed": 0, "false_not_run": 0,
            "double_run": 0, "work_after_leaving": 0, "cut_in_flight": 0, "reverted": 0,
        })
    );
    assert_eq!(serde_json::from_value::<RunLine>(value).unwrap(), line);
}

#[test]
fn ratio_current_over_baseline() {
    let baseline = line(0, |tally| {
        let query = duplicate_check(1, 1_000);
        tally.add(&query, &reply(&query, 400, &complete_answer(&query)));
    });
    let current = RunLine {
        p99_ms: Some(100.0),
        coverage: None,
        ..baseline.clone()
    };
    let ratio = RatioLine::from_runs(&current, &baseline);
    assert!((0.249..0.251).contains(&ratio.p99.unwrap()));
    assert_eq!(ratio.coverage, None);
}
