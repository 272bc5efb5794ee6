//! Special queries of the scenarios, and the unchanged base load.

use std::collections::BTreeSet;

use alderhaven_core::time::TimeSpan;
use alderhaven_load::load_plan;
use alderhaven_load::load_query::{LoadQuery, QueryGroup};
use alderhaven_load::run_options::RunOptions;
use alderhaven_load::scenario::ScenarioKind;
use alderhaven_load::workload::Workload;
use alderhaven_standin::service_layout::DeploymentKind;

fn options(scenario: ScenarioKind, deployment: DeploymentKind) -> RunOptions {
    RunOptions {
        deployment,
        scenario,
        load: 0.5,
        measured_time: TimeSpan::from_secs(8),
        warm_up: TimeSpan::from_secs(2),
        ..RunOptions::default()
    }
}

fn queries(options: &RunOptions) -> Vec<LoadQuery> {
    let mut workload = Workload::for_deployment(options.deployment).unwrap();
    workload.add_long_jobs().unwrap();
    load_plan::plan_queries(options, &workload).unwrap()
}

/// Due time, template and team of each query of the base load.
fn base_load(queries: &[LoadQuery]) -> Vec<(TimeSpan, String, String)> {
    let base = queries
        .iter()
        .filter(|query| query.group == QueryGroup::Base);
    base.map(|query| {
        let template = query.workload_template.template.name.to_string();
        (query.due_at, template, query.team.to_string())
    })
    .collect()
}

#[test]
fn base_load_same_without_special_queries() {
    for deployment in [DeploymentKind::Volta, DeploymentKind::Lagerblik] {
        for scenario in ScenarioKind::ALL {
            let with = options(scenario, deployment);
            let without = RunOptions {
                without_special_queries: true,
                ..with.clone()
            };
            let (with, without) = (queries(&with), queries(&without));
            assert_eq!(base_load(&with), base_load(&without), "{scenario}");
            assert_eq!(base_load(&without).len(), without.len(), "{scenario}");
            assert!(with.is_sorted_by_key(|query| query.due_at));
            let numbers: BTreeSet<u64> = with.iter().map(|query| query.number).collect();
            assert_eq!(numbers.len(), with.len());
            if scenario.has_comparison_run() {
                assert!(with.len() > without.len(), "{scenario}");
            }
        }
    }
}

#[test]
fn queries_hot_team_ten_times_its_share() {
    let options = options(ScenarioKind::HotTeam, DeploymentKind::Volta);
    let team = load_plan::hot_team(options.deployment);
    let queries = queries(&options);
    let of_team = queries.iter().filter(|query| query.team == team);
    let (base, hot): (Vec<&LoadQuery>, Vec<&LoadQuery>) =
        of_team.partition(|query| query.group == QueryGroup::Base);
    let factor = hot.len() as f64 / base.len() as f64;
    assert!((8.0..10.0).contains(&factor), "{factor}");
}

#[test]
fn queries_burst_five_times_for_a_second() {
    let options = options(ScenarioKind::Burst, DeploymentKind::Volta);
    let queries = queries(&options);
    let count = |begin: TimeSpan, end: TimeSpan| {
        let within = |query: &&LoadQuery| (begin..end).contains(&query.due_at);
        queries.iter().filter(within).count() as f64
    };
    let second = TimeSpan::from_secs(1);
    let (begin, end) = (options.event_at(), load_plan::burst_end(&options));
    let factor = count(begin, end) / count(begin.saturating_sub(second), begin);
    assert!((4.0..6.0).contains(&factor), "{factor}");
    assert!(count(end, end + second) < count(begin, end) / 3.0);
}

#[test]
fn queries_poison_through_every_entry() {
    let options = options(ScenarioKind::Poison, DeploymentKind::Lagerblik);
    let queries = queries(&options);
    let poison: Vec<&LoadQuery> = queries
        .iter()
        .filter(|query| query.group == QueryGroup::Poison)
        .collect();
    let sent: BTreeSet<(String, Option<usize>)> = poison
        .iter()
        .map(|query| (query.parameters.canonical_json(), query.entry_index))
        .collect();
    assert_eq!(sent.len(), 3 * options.nodes);
    assert!(
        poison
            .iter()
            .all(|query| query.workload_template.shard_count() == 1)
    );
}

#[test]
fn long_jobs_check() {
    for deployment in [DeploymentKind::Volta, DeploymentKind::Lagerblik] {
        let mut workload = Workload::for_deployment(deployment).unwrap();
        workload.add_long_jobs().unwrap();
        assert_eq!(workload.long_jobs.len(), 2);
        for job in &workload.long_jobs {
            assert!(job.template.check().is_empty(), "{}", job.template.name);
        }
    }
}
