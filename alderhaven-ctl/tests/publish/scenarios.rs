//! Scenarios of publication with lost replies, concurrent operators and histories.

use crate::support::{ScriptedStore, StoreFault};
use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::OperatorName;
use alderhaven_core::publication_id::PublicationId;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_ctl::change_plan::{ChangePlan, PlannedChange};
use alderhaven_ctl::object_history::{MAX_HISTORY_BYTES, MAX_HISTORY_ENTRIES, ObjectHistory};
use alderhaven_ctl::publish_outcome::PublishOutcome;
use alderhaven_ctl::publisher::ObjectPublisher;
use alderhaven_ctl::retry_options::RetryOptions;

fn desk_key() -> ObjectKey {
    ObjectKey {
        kind: ObjectKind::Team,
        name: "desk".to_owned(),
    }
}

fn operator_name(name: &str) -> OperatorName {
    name.parse().expect("the name is valid")
}

fn publisher<'a>(store: &'a ScriptedStore, name: &str) -> ObjectPublisher<'a, ScriptedStore> {
    ObjectPublisher::new(store, operator_name(name), RetryOptions::default())
}

async fn plan_update(store: &ScriptedStore, body: &str) -> PlannedChange {
    PlannedChange::build(
        store,
        desk_key(),
        Some(body.to_owned()),
        RetryOptions::default(),
    )
    .await
    .expect("the store answers")
}

/// The reply to a successful write is lost, and the retry conflicts with it: the publisher must not
/// report a conflict with its own write.
#[tokio::test(start_paused = true)]
async fn publish_recognizes_own_write_after_lost_reply() {
    // The read of the plan, the write whose reply is lost, and a failed read.
    let script = [StoreFault::None, StoreFault::LostAfter, StoreFault::Refused];
    let store = ScriptedStore::new(script.map(|fault| (0, fault)));
    let change = plan_update(&store, r#"{"weight":2}"#).await;
    let outcome = publisher(&store, "ama").publish(&change).await;
    let stored = store.peek(&desk_key()).expect("the object was written");
    assert!(
        matches!(&outcome, PublishOutcome::Published { version, id }
            if *version == stored.version && id.to_string() == stored.write_id),
        "{outcome:?}"
    );
}

/// Two operators change the same object: the slower one must get a conflict that names the other,
/// whose content must stay.
#[tokio::test(start_paused = true)]
async fn publish_conflict_names_the_winner() {
    let store = ScriptedStore::default();
    store.seed(&desk_key(), "seed", Some(r#"{"weight":1}"#));
    let slow = plan_update(&store, r#"{"weight":2}"#).await;
    let fast = plan_update(&store, r#"{"weight":3}"#).await;
    publisher(&store, "kofi").publish(&fast).await;
    let outcome = publisher(&store, "ama").publish(&slow).await;
    assert!(outcome.to_string().contains("changed by kofi"), "{outcome}");
    let stored = store.peek(&desk_key()).and_then(|object| object.body);
    assert_eq!(stored.as_deref(), Some(r#"{"weight":3}"#));
}

/// The reply to a write is lost, and another operator replaces the content before it is read back:
/// the write took effect, so it must be reported as superseded, not as unpublished.
#[tokio::test(start_paused = true)]
async fn publish_reports_superseded_write() {
    let store = ScriptedStore::new([
        (0, StoreFault::None),
        (0, StoreFault::None),
        (0, StoreFault::None),
        (0, StoreFault::LostAfter),
    ]);
    store.seed(&desk_key(), "seed", Some(r#"{"weight":1}"#));
    let change = plan_update(&store, r#"{"weight":2}"#).await;
    let first = publisher(&store, "ama");
    let second = publisher(&store, "kofi");
    let (outcome, ()) = tokio::join!(first.publish(&change), async {
        while store
            .peek(&desk_key())
            .is_some_and(|object| object.write_id == "seed")
        {
            tokio::task::yield_now().await;
        }
        let change = plan_update(&store, r#"{"weight":3}"#).await;
        second.publish(&change).await;
    });
    assert!(
        matches!(&outcome, PublishOutcome::Superseded { version, by, .. }
            if *version == StoreVersion::of_revision(3) && by.write_id.starts_with("kofi/")),
        "{outcome:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn publish_skips_unchanged_content() {
    let store = ScriptedStore::default();
    let version = store.seed(&desk_key(), "seed", Some(r#"{"weight":1, "name":"desk"}"#));
    let change = plan_update(&store, r#"{"name":"desk","weight":1}"#).await;
    let outcome = publisher(&store, "ama").publish(&change).await;
    assert_eq!(outcome, PublishOutcome::Unchanged { version });
    assert_eq!(store.finish().len(), 1);
}

/// Two operators make the same change, or one publishes a plan twice: the second publication must
/// be reported as unchanged, not as a conflict.
#[tokio::test(start_paused = true)]
async fn publish_of_identical_change_is_unchanged() {
    let store = ScriptedStore::default();
    store.seed(&desk_key(), "seed", Some("{}"));
    let change = plan_update(&store, r#"{"weight":2}"#).await;
    let first = publisher(&store, "ama").publish(&change).await;
    let second = publisher(&store, "kofi").publish(&change).await;
    let version = first.version().expect("the first change is published");
    assert_eq!(second, PublishOutcome::Unchanged { version });
}

#[tokio::test(start_paused = true)]
async fn publish_with_unreadable_history_writes_nothing() {
    let store = ScriptedStore::default();
    store.seed(&desk_key(), "seed", Some("{}"));
    store.seed(
        &ObjectHistory::history_key(&desk_key()),
        "seed-history",
        Some("no JSON"),
    );
    let change = plan_update(&store, r#"{"weight":2}"#).await;
    let outcome = publisher(&store, "ama").publish(&change).await;
    assert!(
        matches!(outcome, PublishOutcome::NotPublished { .. }),
        "{outcome:?}"
    );
    assert_eq!(store.finish().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn replacing_other_operators_lists_their_objects() {
    let store = ScriptedStore::default();
    publisher(&store, "kofi")
        .publish(&plan_update(&store, "{}").await)
        .await;
    let plan = ChangePlan {
        changes: vec![plan_update(&store, r#"{"weight":2}"#).await],
    };
    assert_eq!(
        plan.replacing_other_operators(&operator_name("ama")).len(),
        1
    );
    assert_eq!(
        plan.replacing_other_operators(&operator_name("kofi")).len(),
        0
    );
    let text = serde_json::to_string(&plan).expect("a plan serializes");
    assert_eq!(
        serde_json::from_str::<ChangePlan>(&text).expect("a plan deserializes"),
        plan
    );
}

#[test]
fn object_history_keeps_the_latest_within_its_bounds() {
    let object = |version: u64, size: usize| StoredObject {
        key: desk_key(),
        version: StoreVersion::of_revision(version),
        write_id: format!("w{version}"),
        body: Some("\"".repeat(size)),
    };
    let mut history = ObjectHistory::default();
    for version in (1..=40).rev() {
        history.record(&object(version, 10));
        history.record(&object(version, 10));
    }
    let versions: Vec<u64> = history
        .entries
        .iter()
        .map(|entry| entry.version.revision)
        .collect();
    assert_eq!(
        versions,
        (41 - MAX_HISTORY_ENTRIES as u64..=40).collect::<Vec<_>>()
    );
    for version in 41..=60 {
        history.record(&object(
            version,
            alderhaven_ctl::object_file::MAX_OBJECT_BYTES,
        ));
    }
    assert!(history.to_json().len() <= MAX_HISTORY_BYTES && !history.entries.is_empty());
    assert!(
        history
            .entry_for_version(StoreVersion::of_revision(60))
            .is_some()
    );
}

#[test]
fn publication_id_round_trips() {
    let id = PublicationId {
        operator: operator_name("ama"),
        id: uuid::Uuid::now_v7(),
        base: StoreVersion::of_revision(17),
    };
    assert_eq!(id.to_string().parse(), Ok(id.clone()));
    assert!(id.unix_seconds().is_some());
    for bad in [
        "ama",
        "ama/x/1",
        "ama/1/2/3",
        "Ama/01a238cf-9af3-70a8-8e9d-a07cb02ebd20/1",
    ] {
        assert!(bad.parse::<PublicationId>().is_err(), "{bad}");
    }
}
