//! Tests of which updates of the configuration a node accepts.

use std::collections::BTreeMap;

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::StoreEra;
use alderhaven_core::store_version::StoreVersion;
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
        version: StoreVersion::of_revision(version),
        write_id: format!("w{version}"),
        body: is_live.then(|| "{}".to_owned()),
    }
}

fn object_list(revision: u64, objects: Vec<StoredObject>) -> ObjectList {
    ObjectList {
        revision: StoreVersion::of_revision(revision),
        objects,
    }
}

/// Guards against a deleted object that comes back from a lagging peer, if the node's own list was
/// taken after the deletion.
#[test]
fn accept_from_peer_deleted_object_stays_deleted() {
    let mut state = ConfigState::default();
    state
        .apply_list(object_list(9, vec![]), state.min_revision())
        .expect("the list is accepted");
    assert!(
        state
            .accept_from_peer(vec![drain_object("t1", 5, true)])
            .is_empty()
    );
    assert!(state.registry().view().drains.is_empty());
}

/// Guards against an object that stays in force although it was deleted between two lists.
#[test]
fn apply_list_absent_object_is_removed() {
    let mut state = ConfigState::default();
    state
        .apply_list(
            object_list(5, vec![drain_object("t1", 5, true)]),
            state.min_revision(),
        )
        .expect("the list is accepted");
    let changed = state
        .apply_list(object_list(9, vec![]), state.min_revision())
        .expect("the list is accepted");
    assert_eq!(changed.len(), 1);
    assert!(state.registry().view().drains.is_empty());
}

/// Guards against a store restored from a backup that undoes a change, also after its revision has
/// grown past the known one by other writes.
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
        .expect("the list is accepted");
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

/// Guards against a restored store that assigns a known version to other content.
#[test]
fn apply_list_other_write_of_known_version_is_refused() {
    let mut state = ConfigState::default();
    state
        .apply_list(
            object_list(5, vec![drain_object("t1", 5, true)]),
            state.min_revision(),
        )
        .expect("the list is accepted");
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
        .expect("the list is accepted");
    assert!(
        state
            .apply_changes(object_list(4, vec![]), state.min_revision())
            .is_err()
    );
    assert!(state.regression().is_some());
}

/// Step of the random test: an operator's write, or an update that the node receives.
#[derive(Clone, Debug)]
enum StoreStep {
    /// An operator writes (true) or deletes the object with this number.
    Write(u8, bool),
    /// The node lists.
    List,
    /// The node applies all changes since its complete revision.
    Watch,
    /// A peer offers any current or past version of an object.
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

    /// Guards against updates that revert an object's version in any order of lists, watches and stale
    /// peers. After a list or watch, the node must hold exactly the store's objects.
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
                prop_assert!(drains == names.collect(), "the node's drains differ from the store's");
            }
            for held in state.registry().objects() {
                let before = versions.insert(held.key.clone(), held.version);
                prop_assert!(before <= Some(held.version), "the version of {} decreased", held.key);
            }
        }
    }
}

fn in_era(era: u64, list: ObjectList) -> ObjectList {
    list.in_era(StoreEra(era))
}

fn drains(state: &ConfigState) -> Vec<String> {
    state.registry().view().drains.into_iter().collect()
}

/// Returns a state that knows the drains `t1` and `t2` in the first era.
fn state_with_drains() -> ConfigState {
    let mut state = ConfigState::default();
    let objects = vec![drain_object("t1", 3, true), drain_object("t2", 8, true)];
    let list = object_list(8, objects);
    state
        .apply_list(list, state.min_revision())
        .expect("the list is accepted");
    state
}

/// Guards against an object that ends because a restored store lacks it, and against one that stays
/// although nobody publishes it again.
#[test]
fn apply_list_of_a_later_era_keeps_lost_objects_for_a_while() {
    let mut state = state_with_drains();
    let restored = || in_era(1, object_list(5, vec![drain_object("t1", 3, true)]));
    for _ in 0..2 {
        state
            .apply_list(restored(), state.min_revision())
            .expect("the list is accepted");
        assert_eq!(drains(&state), ["t1", "t2"]);
        assert!(state.has_lost_objects());
    }
    assert_eq!(state.regression(), None);
    state.set_grace_over(true);
    state
        .apply_list(restored(), state.min_revision())
        .expect("the list is accepted");
    assert_eq!(drains(&state), ["t1"]);
    assert!(!state.has_lost_objects());
}

/// Guards against a change after a restore that is ignored for its lower revision.
#[test]
fn apply_changes_of_a_later_era_are_in_force() {
    let mut state = state_with_drains();
    let restored = in_era(1, object_list(5, vec![drain_object("t1", 3, true)]));
    state
        .apply_list(restored, state.min_revision())
        .expect("the list is accepted");
    let changes = vec![drain_object("t1", 6, false), drain_object("t3", 7, true)];
    state
        .apply_changes(in_era(1, object_list(7, changes)), state.min_revision())
        .expect("the changes are accepted");
    assert_eq!(drains(&state), ["t2", "t3"]);
    let repeated = in_era(1, object_list(8, vec![drain_object("t2", 8, true)]));
    state
        .apply_changes(repeated, state.min_revision())
        .expect("the changes are accepted");
    assert!(!state.has_lost_objects());
}

/// Guards against a node that starts from a restored store and refuses what its peers carried over.
#[test]
fn accept_from_peer_carried_object_is_in_force() {
    let mut state = ConfigState::default();
    let restored = in_era(1, object_list(5, vec![drain_object("t1", 3, true)]));
    state
        .apply_list(restored, state.min_revision())
        .expect("the list is accepted");
    let carried = |era, revision| StoredObject {
        version: StoreVersion::of_revision(revision)
            .in_era(StoreEra(era))
            .carried(),
        ..drain_object("t2", 8, true)
    };
    assert!(state.accept_from_peer(vec![carried(0, 5)]).is_empty());
    state.accept_from_peer(vec![carried(1, 5)]);
    assert_eq!(drains(&state), ["t1", "t2"]);
    assert!(state.has_lost_objects());
}
