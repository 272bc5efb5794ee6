//! Tests of which news of the configuration a node takes.

use std::collections::BTreeMap;

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::StoreVersion;
use alderhaven_store::config_state::{ConfigState, StoreRegression};
use alderhaven_store::object_store::ObjectList;
use proptest::prelude::{
    Just, ProptestConfig, Strategy, any, prop, prop_assert, prop_oneof, proptest,
};
use proptest::test_runner::RngSeed;

fn drain_object(name: &str, version: u64, is_live: bool) -> StoredObject {
    StoredObject {
        key: ObjectKey {
            kind: ObjectKind::Drain,
            name: name.to_owned(),
        },
        version: StoreVersion(version),
        write_id: format!("w{version}"),
        body: is_live.then(|| "{}".to_owned()),
    }
}

fn object_list(revision: u64, objects: Vec<StoredObject>) -> ObjectList {
    ObjectList {
        revision: StoreVersion(revision),
        objects,
    }
}

/// Operators end the drain of a target while a node restarts, so the node's list does not show it.
/// A peer that is cut off from the store still offers the drain; taking it would bring it back.
#[test]
fn accept_from_peer_deleted_object_stays_deleted() {
    let mut state = ConfigState::default();
    state
        .apply_list(object_list(9, vec![]), state.min_revision())
        .expect("a list");
    assert!(
        state
            .accept_from_peer(vec![drain_object("t1", 5, true)])
            .is_empty()
    );
    assert!(state.registry().view().drains.is_empty());
}

/// A node loses its watch for so long that the store has dropped the changes. Meanwhile a drain is
/// ended. The list that follows does not name the drain any more: the node must end it too.
#[test]
fn apply_list_absent_object_is_removed() {
    let mut state = ConfigState::default();
    state
        .apply_list(
            object_list(5, vec![drain_object("t1", 5, true)]),
            state.min_revision(),
        )
        .expect("a list");
    let changed = state
        .apply_list(object_list(9, vec![]), state.min_revision())
        .expect("a list");
    assert_eq!(changed.len(), 1);
    assert!(state.registry().view().drains.is_empty());
}

/// The store is restored from a copy taken before the last change. Its revision is lower at first;
/// it then grows past the known one through other writes, still without the change. Taking the
/// list would undo a change that was in force.
#[test]
fn apply_list_restored_store_is_refused_until_it_has_caught_up() {
    let mut state = ConfigState::default();
    state
        .apply_list(
            object_list(
                8,
                vec![drain_object("t1", 3, true), drain_object("t2", 8, true)],
            ),
            state.min_revision(),
        )
        .expect("a list");
    let restored = |revision| object_list(revision, vec![drain_object("t1", 3, true)]);
    let refused = state.apply_list(restored(4), state.min_revision());
    assert!(matches!(refused, Err(StoreRegression::Revision { .. })));
    let refused = state.apply_list(restored(20), state.min_revision());
    assert!(matches!(
        refused,
        Err(StoreRegression::Object { found: None, .. })
    ));
    assert_eq!(state.registry().view().drains.len(), 2);
    let republished = object_list(
        21,
        vec![drain_object("t1", 3, true), drain_object("t2", 21, true)],
    );
    assert!(state.apply_list(republished, state.min_revision()).is_ok());
    assert!(state.regression().is_none());
}

/// A restored store gives a version that is known a second time, to other content.
#[test]
fn apply_list_other_write_of_known_version_is_refused() {
    let mut state = ConfigState::default();
    state
        .apply_list(
            object_list(5, vec![drain_object("t1", 5, true)]),
            state.min_revision(),
        )
        .expect("a list");
    let mut other = drain_object("t1", 5, true);
    other.write_id = "other".to_owned();
    assert!(
        state
            .apply_list(object_list(5, vec![other]), state.min_revision())
            .is_err()
    );
}

#[test]
fn apply_changes_lower_revision_is_refused() {
    let mut state = ConfigState::default();
    state
        .apply_list(object_list(5, vec![]), state.min_revision())
        .expect("a list");
    assert!(
        state
            .apply_changes(object_list(4, vec![]), state.min_revision())
            .is_err()
    );
    assert!(state.regression().is_some());
}

/// One step of a store, of its operators, or of a node that learns from it.
#[derive(Clone, Debug)]
enum StoreStep {
    /// An operator writes or deletes an object.
    Write(u8, bool),
    /// The node lists.
    List,
    /// The node takes all changes since its complete revision.
    Watch,
    /// A peer offers any object that ever was.
    Peer(prop::sample::Index),
}

fn store_step() -> impl Strategy<Value = StoreStep> {
    prop_oneof![
        (0_u8..4, any::<bool>()).prop_map(|(name, live)| StoreStep::Write(name, live)),
        Just(StoreStep::List),
        Just(StoreStep::Watch),
        any::<prop::sample::Index>().prop_map(StoreStep::Peer),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Lists, watches and stale peers in any order: what the node holds for an object never goes
    /// back, and after a list or a watch it holds exactly what the store does.
    #[test]
    fn updates_in_any_order_never_revert(steps in prop::collection::vec(store_step(), 1..60)) {
        let mut state = ConfigState::default();
        let mut history: Vec<StoredObject> = Vec::new();
        let mut versions: BTreeMap<ObjectKey, StoreVersion> = BTreeMap::new();
        for step in steps {
            let revision = history.len() as u64;
            let mut newest: BTreeMap<&ObjectKey, &StoredObject> = BTreeMap::new();
            newest.extend(history.iter().map(|object| (&object.key, object)));
            let live: Vec<StoredObject> = newest
                .values()
                .filter(|object| object.body.is_some())
                .map(|object| (*object).clone())
                .collect();
            let min_revision = state.min_revision();
            let is_current = match step {
                StoreStep::Write(name, is_live) => {
                    history.push(drain_object(&format!("t{name}"), revision + 1, is_live));
                    false
                }
                StoreStep::List => {
                    state.apply_list(object_list(revision, live.clone()), min_revision).expect("no regression");
                    true
                }
                StoreStep::Watch => match state.complete_revision() {
                    None => false,
                    Some(after) => {
                        let changes = history.iter().filter(|object| object.version > after);
                        let changes = object_list(revision, changes.cloned().collect());
                        state.apply_changes(changes, min_revision).expect("no regression");
                        true
                    }
                },
                StoreStep::Peer(index) => {
                    if !history.is_empty() {
                        state.accept_from_peer(vec![index.get(&history).clone()]);
                    }
                    false
                }
            };
            let drains = state.registry().view().drains;
            if is_current {
                let names = live.iter().map(|object| object.key.name.clone());
                prop_assert!(drains == names.collect(), "not what the store holds");
            }
            for held in state.registry().objects() {
                let before = versions.insert(held.key.clone(), held.version);
                prop_assert!(before <= Some(held.version), "{} went back", held.key);
            }
        }
    }
}
