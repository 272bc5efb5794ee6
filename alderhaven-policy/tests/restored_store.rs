//! Decisions on objects that a store lost when it came back from an older copy.

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::StoreEra;
use alderhaven_core::publication_id::PublicationId;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::config_registry::{AcceptOutcome, ConfigRegistry};
use alderhaven_policy::exchange::exchange_message::ObjectStamp;
use alderhaven_policy::exchange::object_index::ObjectIndex;
use alderhaven_policy::restored_store::{self, AbsentObject, RESTORE_GRACE, RestoreGrace};
use uuid::{Timestamp, Uuid};

const ERA: StoreEra = StoreEra(4);

const fn version(era: u64, revision: u64) -> StoreVersion {
    StoreVersion::of_revision(revision).in_era(StoreEra(era))
}

fn team_key() -> ObjectKey {
    ObjectKey {
        kind: ObjectKind::Team,
        name: "publishers".to_owned(),
    }
}

/// Returns a team policy that was published `seconds` after the Unix epoch.
fn team(version: StoreVersion, weight: u32, seconds: u64) -> StoredObject {
    let publication = PublicationId {
        operator: "kofi".parse().expect("a valid operator name"),
        id: Uuid::new_v7(Timestamp::from_unix(uuid::NoContext, seconds, 0)),
        base: StoreVersion::default(),
    };
    StoredObject {
        key: team_key(),
        version,
        write_id: publication.to_string(),
        body: Some(format!(r#"{{"name":"publishers","weight":{weight}}}"#)),
    }
}

fn weight(registry: &ConfigRegistry) -> Option<u32> {
    let view = registry.view();
    view.teams.values().next().map(|team| team.weight)
}

#[test]
fn decide_absent_keeps_lost_objects_until_the_grace_is_over() {
    let listed = version(4, 9);
    let carried = listed.carried();
    let cases = [
        (version(3, 70), false, AbsentObject::CarryOver(carried)),
        (version(3, 70), true, AbsentObject::CarryOver(carried)),
        (
            version(3, 7).carried(),
            true,
            AbsentObject::CarryOver(carried),
        ),
        (carried, false, AbsentObject::Keep),
        (carried, true, AbsentObject::Remove(listed.dropped())),
        (version(4, 8), false, AbsentObject::Remove(listed)),
        (version(4, 8), true, AbsentObject::Remove(listed)),
    ];
    for (known, is_grace_over, expected) in cases {
        let decision = restored_store::decide_absent(known, listed, is_grace_over);
        assert_eq!(decision, expected, "{known:?}, {is_grace_over}");
        if let AbsentObject::CarryOver(next) | AbsentObject::Remove(next) = decision {
            assert!(next > known, "{next:?} does not replace {known:?}");
        }
    }
}

/// Guards against a grace that runs out early in a new era, and one that never ends.
#[test]
fn restore_grace_runs_anew_in_each_era() {
    let at = |millis| TimePoint::START + TimeSpan::from_millis(millis);
    let grace_millis = RESTORE_GRACE.as_millis();
    let long = TimeSpan::from_secs(60);
    let mut grace = RestoreGrace::default();
    grace.record_list(ERA, at(0));
    grace.record_list(ERA, at(grace_millis - 1));
    assert!(!grace.is_over(at(grace_millis - 1)));
    let wait = grace.bound_wait(long, at(grace_millis - 1));
    assert_eq!(wait, TimeSpan::from_millis(1));
    assert!(grace.is_over(at(grace_millis)));
    assert_eq!(grace.bound_wait(long, at(grace_millis)), long);
    grace.record_list(StoreEra(5), at(grace_millis));
    assert!(!grace.is_over(at(2 * grace_millis - 1)));
    assert!(grace.is_over(at(2 * grace_millis)));
}

/// Guards against the order of two versions by their revisions alone, in every place that keeps one.
#[test]
fn versions_are_ordered_by_era_first() {
    let ordered = [
        version(0, 900),
        version(1, 20),
        version(1, 20).carried(),
        version(1, 20).dropped(),
        version(1, 21),
        version(2, 0),
    ];
    assert!(ordered.is_sorted());
    let mut index = ObjectIndex::default();
    let mut progress = index.digest().progress;
    let mut hashes = vec![index.digest().hash];
    for version in ordered {
        assert!(index.insert(&team_key(), version));
        assert!(!index.insert(&team_key(), version));
        let digest = index.digest();
        assert!(digest.progress > progress, "{version:?}");
        assert!(!hashes.contains(&digest.hash), "{version:?}");
        progress = digest.progress;
        hashes.push(digest.hash);
        let (stamps, _) = index.differing_stamps(&[], None, 1);
        let key = team_key();
        assert_eq!(stamps, [ObjectStamp { key, version }]);
    }
}

/// Guards against the older content of a restored store replacing a newer one.
#[test]
fn accept_older_publication_of_a_later_era_carries_the_known_one_over() {
    let mut registry = ConfigRegistry::default();
    registry.accept(team(version(0, 700), 3, 100));
    let outcome = registry.accept(team(version(1, 690), 2, 50));
    assert_eq!(outcome, AcceptOutcome::CarriedOver);
    assert_eq!(weight(&registry), Some(3));
    let held = registry.object(&team_key()).expect("the team is known");
    assert_eq!(held.version, version(1, 690).carried());
    // A node that holds only the older content takes the carried one from its peers.
    let mut restarted = ConfigRegistry::default();
    restarted.accept(team(version(1, 690), 2, 50));
    assert_eq!(restarted.accept(held.clone()), AcceptOutcome::InForce);
    assert_eq!(weight(&restarted), Some(3));
}

/// Guards against ignoring what was published after a restore, at a lower revision.
#[test]
fn accept_newer_publication_of_a_later_era_replaces_the_known_one() {
    let mut registry = ConfigRegistry::default();
    registry.accept(team(version(0, 700), 3, 100));
    let outcome = registry.accept(team(version(1, 691), 5, 101));
    assert_eq!(outcome, AcceptOutcome::InForce);
    assert_eq!(weight(&registry), Some(5));
}

/// Guards against a write of unknown time that is ignored, so that nodes never agree again.
#[test]
fn accept_unordered_content_of_a_later_era_follows_the_store() {
    let mut registry = ConfigRegistry::default();
    registry.accept(team(version(0, 700), 3, 100));
    let stored = StoredObject {
        write_id: "no-publication".to_owned(),
        ..team(version(1, 690), 2, 50)
    };
    assert_eq!(registry.accept(stored), AcceptOutcome::InForce);
    assert_eq!(weight(&registry), Some(2));
}
