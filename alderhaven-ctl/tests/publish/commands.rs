//! Tests of the commands with a fake store and fake nodes: reports and exit statuses.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use alderhaven_core::config_object::{ObjectKey, ObjectKind};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_ctl::command_report::CommandReport;
use alderhaven_ctl::commands::CommandContext;
use alderhaven_ctl::exit_status::ExitStatus;
use alderhaven_ctl::in_force::WaitOptions;
use alderhaven_ctl::node_commands::NodeContext;
use alderhaven_ctl::object_history::ObjectHistory;
use alderhaven_ctl::retry_options::RetryOptions;

use crate::nodes::{FakeNodes, NodeBehavior};
use crate::support::ScriptedStore;

type FakeContext = CommandContext<ScriptedStore, FakeNodes>;

fn fake_context(operator: &str, behaviors: &[NodeBehavior]) -> FakeContext {
    let probe = Arc::new(FakeNodes::new(behaviors));
    CommandContext {
        store: ScriptedStore::default(),
        nodes: NodeContext {
            addresses: probe.addresses(),
            probe,
        },
        operator: operator.parse().expect("the name is valid"),
        retry_options: RetryOptions::default(),
        wait_options: None,
    }
}

fn example_paths(folder: &str) -> Vec<PathBuf> {
    vec![
        Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../examples")
            .join(folder),
    ]
}

fn team_key(name: &str) -> ObjectKey {
    ObjectKey {
        kind: ObjectKind::Team,
        name: name.to_owned(),
    }
}

fn stored_body(context: &FakeContext, key: &ObjectKey) -> Option<String> {
    context.store.peek(key)?.body
}

/// One node applies the publication late, one rejects it and one does not answer: the report must
/// name the last two, and the exit status must say that it is not in force everywhere.
#[tokio::test(start_paused = true)]
async fn publish_wait_reports_lagging_nodes() {
    let behaviors = [
        NodeBehavior::InForceAfter(0),
        NodeBehavior::InForceAfter(3),
        NodeBehavior::Rejects,
        NodeBehavior::Silent,
    ];
    let mut context = fake_context("ama", &behaviors);
    context.wait_options = Some(WaitOptions::default());
    let mut rounds = 0;
    let report = context
        .publish(&example_paths("volta"), |_| rounds += 1)
        .await;
    let text = report.to_string();
    assert_eq!(report.exit_status(), ExitStatus::Lagging, "{text}");
    assert!(text.contains("in force on 2 of 4"), "{text}");
    assert!(text.contains("refuses team/publishers: weight"), "{text}");
    assert!(
        text.contains("does not answer: connection refused"),
        "{text}"
    );
    assert_eq!(
        (
            context.nodes.probe.probe_count(0),
            context.nodes.probe.probe_count(1)
        ),
        (1, 4)
    );
    assert!(rounds > 100, "progress was shown in {rounds} rounds only");
}

#[tokio::test(start_paused = true)]
async fn publish_wait_ends_when_in_force_everywhere() {
    let mut context = fake_context("ama", &[NodeBehavior::InForceAfter(2); 8]);
    context.wait_options = Some(WaitOptions::default());
    let report = context.publish(&example_paths("lagerblik"), |_| {}).await;
    assert_eq!(report.exit_status(), ExitStatus::Done, "{report}");
    assert!(report.to_string().contains("in force on 8 of 8"));
    let json = serde_json::to_value(&report).expect("a report serializes");
    assert_eq!(json["command"], "publish");
    assert_eq!(json["in_force"]["nodes"][7]["progress"], "in_force");
}

/// Files that would revert another operator's unreviewed change must not be published until the
/// operator has reviewed the difference.
#[tokio::test(start_paused = true)]
async fn publish_rejects_unreviewed_replacement() {
    let mut context = fake_context("kofi", &[]);
    let theirs = r#"{"name":"publishers","weight":9}"#;
    let key = team_key("publishers");
    context.store.seed(&key, "someone", Some(theirs));
    context.operator = "ama".parse().expect("the name is valid");
    let report = context.publish(&example_paths("volta"), |_| {}).await;
    assert_eq!(report.exit_status(), ExitStatus::Conflict, "{report}");
    assert_eq!(
        context.store.finish().len(),
        1,
        "no other object was published either"
    );

    let (report, plan) = context.diff(&example_paths("volta")).await;
    assert!(report.to_string().contains("~ weight: 9 -> 4"), "{report}");
    let plan = plan.expect("the files are valid");
    let report = context.publish_plan(&plan, |_| {}).await;
    assert_eq!(report.exit_status(), ExitStatus::Done, "{report}");
    assert_ne!(stored_body(&context, &key).as_deref(), Some(theirs));
}

/// A publication between the diff and the publishing of its plan must be kept, and the report must
/// show what it changed.
#[tokio::test(start_paused = true)]
async fn publish_plan_conflict_shows_winning_changes() {
    let context = fake_context("ama", &[]);
    let key = team_key("publishers");
    context
        .store
        .seed(&key, "seed", Some(r#"{"name":"publishers","weight":1}"#));
    let (_, plan) = context.diff(&example_paths("volta/teams")).await;
    let theirs = r#"{"name":"publishers","weight":7}"#;
    context.store.seed(
        &key,
        "kofi/01a238cf-9af3-70a8-8e9d-a07cb02ebd20/1",
        Some(theirs),
    );
    let report = context
        .publish_plan(&plan.expect("the files are valid"), |_| {})
        .await;
    let text = report.to_string();
    assert_eq!(report.exit_status(), ExitStatus::Conflict, "{text}");
    assert!(
        text.contains("changed by kofi") && text.contains("~ weight: 1 -> 7"),
        "{text}"
    );
    assert_eq!(stored_body(&context, &key).as_deref(), Some(theirs));
    assert!(
        stored_body(&context, &team_key("libraries")).is_some(),
        "the other objects are published"
    );
}

#[tokio::test(start_paused = true)]
async fn publish_rejects_invalid_files() {
    let context = fake_context("ama", &[]);
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/refused");
    let report = context.publish(&[folder], |_| {}).await;
    assert_eq!(report.exit_status(), ExitStatus::Invalid);
    assert_eq!(context.store.finish().len(), 0);
}

#[tokio::test(start_paused = true)]
async fn publish_accepts_teams_in_the_store() {
    let context = fake_context("ama", &[]);
    let template = example_paths("volta/templates/assign-isbn.yaml");
    context
        .store
        .seed(&team_key("publishers"), "seed", Some("{}"));
    let report = context.publish(&template, |_| {}).await;
    assert!(
        report.to_string().contains("`registry-staff` is not known"),
        "{report}"
    );
    context
        .store
        .seed(&team_key("registry-staff"), "seed", Some("{}"));
    let report = context.publish(&template, |_| {}).await;
    assert_eq!(report.exit_status(), ExitStatus::Done, "{report}");
}

#[tokio::test(start_paused = true)]
async fn rollback_republishes_earlier_content() {
    let context = fake_context("ama", &[]);
    let key = team_key("publishers");
    let first = r#"{"name":"publishers","weight":1}"#;
    let version = context.store.seed(
        &key,
        "ama/01a238cf-9af3-70a8-8e9d-a07cb02ebd20/0",
        Some(first),
    );
    context.publish(&example_paths("volta/teams"), |_| {}).await;
    assert_ne!(stored_body(&context, &key).as_deref(), Some(first));

    let report = context.rollback(&key, version, |_| {}).await;
    assert_eq!(report.exit_status(), ExitStatus::Done, "{report}");
    let stored = context.store.peek(&key).expect("the object is stored");
    assert_eq!(stored.body.as_deref(), Some(first));
    assert!(stored.version > version, "a rollback creates a new version");
    let history = context.store.peek(&ObjectHistory::history_key(&key));
    let history = ObjectHistory::read(history.as_ref()).expect("the history is readable");
    assert_eq!(history.entries.len(), 2);

    let report = context
        .rollback(&key, StoreVersion::of_revision(99), |_| {})
        .await;
    assert_eq!(report.exit_status(), ExitStatus::Invalid, "{report}");
}

#[tokio::test(start_paused = true)]
async fn drain_target_begins_and_ends() {
    let context = fake_context("ama", &[]);
    let target = "desk-3-a".parse().expect("the name is valid");
    let key = ObjectKey {
        kind: ObjectKind::Drain,
        name: "desk-3-a".to_owned(),
    };
    context.drain_target(&target, false, |_| {}).await;
    assert!(stored_body(&context, &key).is_some());
    context.drain_target(&target, true, |_| {}).await;
    assert!(
        context
            .store
            .peek(&key)
            .is_some_and(|object| object.body.is_none())
    );
    let report = context.drain_target(&target, false, |_| {}).await;
    assert_eq!(report.exit_status(), ExitStatus::Done, "{report}");
    assert!(
        stored_body(&context, &key).is_some(),
        "a tombstone can be replaced"
    );
}

#[tokio::test(start_paused = true)]
async fn status_reports_nodes_and_objects() {
    let mut context = fake_context(
        "ama",
        &[NodeBehavior::InForceAfter(0), NodeBehavior::Silent],
    );
    let report = context.nodes.status().await;
    assert_eq!(report.exit_status(), ExitStatus::Failed);
    context.nodes.addresses.pop();
    let report = context.status(&[team_key("publishers")]).await;
    assert_eq!(report.exit_status(), ExitStatus::Done);
    assert!(
        report.to_string().contains("entry-9000 in accra-a"),
        "{report}"
    );
    let CommandReport::Nodes(members) = context.nodes.members().await else {
        panic!("the members command returns node answers");
    };
    assert_eq!(
        members.nodes[0].answer,
        Some(serde_json::json!(["entry-9000"]))
    );
}

#[test]
fn default_wait_limit_exceeds_propagation_bound() {
    assert!(WaitOptions::default().limit > TimeSpan::from_secs(9));
}
