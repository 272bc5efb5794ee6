//! Checks the outcomes reported to concurrent operators against the log of a faulty store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::support::{AppliedWrite, ScriptedStore, StoreFault};
use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_ctl::change_plan::PlannedChange;
use alderhaven_ctl::object_history::ObjectHistory;
use alderhaven_ctl::publish_outcome::PublishOutcome;
use alderhaven_ctl::publisher::ObjectPublisher;
use alderhaven_ctl::retry_options::RetryOptions;
use proptest::collection;
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_assert, prop_oneof, proptest};
use proptest::test_runner::{RngSeed, TestCaseError};

/// Keeps CI runs reproducible.
const SEED: u64 = 0x00a1_de12;
/// The number of cases unless `PROPTEST_CASES` is set.
const DEFAULT_CASES: u32 = 256;
/// The objects that all operators write.
const OBJECT_NAMES: [&str; 2] = ["desk", "portal"];

/// One publication that an operator attempts.
#[derive(Clone, Debug)]
struct OperatorStep {
    object_index: usize,
    is_delete: bool,
}

/// A change and the outcome that was reported for it.
struct ReportedPublication {
    change: PlannedChange,
    outcome: PublishOutcome,
}

fn fault() -> impl Strategy<Value = StoreFault> {
    prop_oneof![
        4 => Just(StoreFault::None),
        1 => Just(StoreFault::Refused),
        1 => Just(StoreFault::LostBefore),
        2 => Just(StoreFault::LostAfter),
        1 => (1_u8..12).prop_map(StoreFault::Late),
    ]
}

fn script() -> impl Strategy<Value = Vec<(u8, StoreFault)>> {
    collection::vec((0_u8..4, fault()), 0..120)
}

fn operators() -> impl Strategy<Value = Vec<Vec<OperatorStep>>> {
    let step =
        (0..OBJECT_NAMES.len(), any::<bool>(), any::<bool>()).prop_map(|(object_index, a, b)| {
            OperatorStep {
                object_index,
                is_delete: a && b,
            }
        });
    collection::vec(collection::vec(step, 1..4), 1..4)
}

fn team_key(name: &str) -> ObjectKey {
    ObjectKey {
        kind: ObjectKind::Team,
        name: name.to_owned(),
    }
}

async fn run_operator(
    store: Arc<ScriptedStore>,
    operator: usize,
    steps: Vec<OperatorStep>,
    options: RetryOptions,
) -> Vec<ReportedPublication> {
    let name = format!("operator-{operator}")
        .parse()
        .expect("the name is valid");
    let publisher = ObjectPublisher::new(&*store, name, options);
    let mut reports = Vec::new();
    for (number, step) in steps.into_iter().enumerate() {
        let body = (!step.is_delete).then(|| format!(r#"{{"by":{operator},"step":{number}}}"#));
        let key = team_key(OBJECT_NAMES[step.object_index]);
        // If the read fails, there is no plan to publish.
        if let Ok(change) = PlannedChange::build(&*store, key, body, options).await {
            let outcome = publisher.publish(&change).await;
            reports.push(ReportedPublication { change, outcome });
        }
    }
    reports
}

fn run_operators(
    store: &Arc<ScriptedStore>,
    operators: Vec<Vec<OperatorStep>>,
    options: RetryOptions,
) -> Vec<ReportedPublication> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime starts");
    runtime.block_on(async {
        let tasks: Vec<_> = operators
            .into_iter()
            .enumerate()
            .map(|(operator, steps)| {
                tokio::spawn(run_operator(Arc::clone(store), operator, steps, options))
            })
            .collect();
        let mut reports = Vec::new();
        for task in tasks {
            reports.extend(task.await.expect("the operator task does not panic"));
        }
        reports
    })
}

/// Checks the reported outcomes against the writes that took effect.
fn check_reports(
    log: &[AppliedWrite],
    reports: &[ReportedPublication],
    options: RetryOptions,
    faults: usize,
) -> Result<(), TestCaseError> {
    let mut by_id: BTreeMap<&str, &AppliedWrite> = BTreeMap::new();
    for applied in log {
        let previous = by_id.insert(&applied.object.write_id, applied);
        prop_assert!(
            previous.is_none(),
            "{} took effect twice",
            applied.object.write_id
        );
    }
    let mut reported = BTreeSet::new();
    for report in reports {
        match &report.outcome {
            PublishOutcome::Published { version, id }
            | PublishOutcome::Superseded { version, id, .. } => {
                let id = id.to_string();
                let applied = by_id.get(id.as_str());
                prop_assert!(
                    applied.is_some_and(|applied| applied.object.version == *version
                        && applied.object.body == report.change.body),
                    "{id} was reported as published but did not take effect"
                );
                prop_assert!(
                    applied.is_some_and(|applied| applied.replaced == report.change.observed),
                    "{id} replaced content that its operator had not observed"
                );
                reported.insert(id);
            }
            PublishOutcome::Conflict { current } => {
                check_conflict(&report.change, current.as_ref(), &by_id)?;
            }
            PublishOutcome::Unknown { id, .. } => {
                prop_assert!(
                    faults >= options.attempts as usize,
                    "unknown outcome with {faults} faults only"
                );
                reported.insert(id.to_string());
            }
            PublishOutcome::Unchanged { .. } | PublishOutcome::NotPublished { .. } => {}
        }
    }
    for applied in log.iter().filter(|applied| applied.replaced.is_some()) {
        let id = &applied.object.write_id;
        prop_assert!(
            reported.contains(id),
            "{id} took effect but was not reported"
        );
    }
    Ok(())
}

/// Checks that a conflict names a later write of another publication.
fn check_conflict(
    change: &PlannedChange,
    current: Option<&StoredObject>,
    by_id: &BTreeMap<&str, &AppliedWrite>,
) -> Result<(), TestCaseError> {
    let winner = current.and_then(|current| by_id.get(current.write_id.as_str()));
    prop_assert!(
        winner.is_some_and(|winner| winner.object.version > change.observed_version()),
        "the conflicting write did not take effect after the observed version"
    );
    prop_assert!(
        winner.is_some_and(|winner| winner.object.body != change.body || change.body.is_none()),
        "the conflict is with the own write"
    );
    Ok(())
}

/// Checks that the history contains every replaced content.
fn check_history(store: &ScriptedStore, log: &[AppliedWrite]) -> Result<(), TestCaseError> {
    for replaced in log.iter().filter_map(|applied| applied.replaced.as_ref()) {
        let stored = store.peek(&ObjectHistory::history_key(&replaced.key));
        let history = ObjectHistory::read(stored.as_ref()).expect("the history is readable");
        let entry = history.entry_for_version(replaced.version);
        prop_assert!(
            entry.is_some_and(|entry| entry.body == replaced.body),
            "version {} of {} is not in the history",
            replaced.version,
            replaced.key
        );
    }
    Ok(())
}

fn config() -> ProptestConfig {
    let default = ProptestConfig::default();
    let cases = std::env::var("PROPTEST_CASES").map_or(DEFAULT_CASES, |_| default.cases);
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..default
    }
}

proptest! {
    #![proptest_config(config())]

    /// Operators publish and delete concurrently while calls are refused and replies are lost. No
    /// outcome may be reported wrongly and no unobserved content replaced, although a lost reply
    /// hides whether a conflict is with the operator's own write.
    #[test]
    fn concurrent_publications_are_reported_correctly(
        script in script(),
        operators in operators(),
        attempts in 1_u32..8,
    ) {
        let options = RetryOptions { attempts, ..RetryOptions::default() };
        let store = Arc::new(ScriptedStore::new(script));
        for name in OBJECT_NAMES {
            store.seed(&team_key(name), &format!("seed-{name}"), Some("{}"));
        }
        let reports = run_operators(&store, operators, options);
        let log = store.finish();
        check_reports(&log, &reports, options, store.fault_count())?;
        check_history(&store, &log)?;
    }
}
