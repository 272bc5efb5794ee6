//! Tests of which targets get no new work.

use std::collections::BTreeSet;

use alderhaven_core::ids::{StoreEra, TargetId};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::leaving_targets::{LeavingOptions, LeavingTargets};
use alderhaven_policy::restored_store::RESTORE_GRACE;

fn names(list: &[&str]) -> BTreeSet<String> {
    list.iter().map(ToString::to_string).collect()
}

fn at_second(count: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_secs(count)
}

/// Guards against a host list that lags behind a target's own reply: the node would send new work
/// that is lost when the target stops.
#[test]
fn leaving_reply_outlives_lagging_list() {
    let target: TargetId = "desk-0-0".parse().expect("a name");
    let mut targets = LeavingTargets::new(LeavingOptions::default());
    targets.set_listed(StoreVersion::of_revision(1), names(&[]), at_second(0));
    targets.record_reply(&target, at_second(1));
    targets.set_listed(StoreVersion::of_revision(1), names(&[]), at_second(2));
    assert_eq!(targets.names(), names(&["desk-0-0"]));
    targets.set_listed(
        StoreVersion::of_revision(2),
        names(&["desk-0-0"]),
        at_second(5),
    );
    targets.set_listed(
        StoreVersion::of_revision(2),
        names(&["desk-0-0"]),
        at_second(40),
    );
    assert_eq!(targets.names(), names(&["desk-0-0"]));
    targets.set_listed(StoreVersion::of_revision(3), names(&[]), at_second(41));
    assert_eq!(targets.names(), names(&[]));
}

/// Guards against a lagging copy of the host list bringing a leaving target back.
#[test]
fn leaving_list_does_not_go_back() {
    let mut targets = LeavingTargets::new(LeavingOptions::default());
    targets.set_listed(
        StoreVersion::of_revision(7),
        names(&["desk-0-0"]),
        at_second(1),
    );
    targets.set_listed(StoreVersion::of_revision(6), names(&[]), at_second(2));
    assert_eq!(targets.names(), names(&["desk-0-0"]));
}

#[test]
fn leaving_drain_holds_until_withdrawn() {
    let mut targets = LeavingTargets::new(LeavingOptions::default());
    targets.set_drained(names(&["desk-1-1"]));
    targets.set_listed(StoreVersion::of_revision(1), names(&[]), at_second(100));
    assert_eq!(targets.names(), names(&["desk-1-1"]));
    targets.set_drained(names(&[]));
    assert_eq!(targets.names(), names(&[]));
}

/// Guards against a host list that came back from an older copy: it must neither bring a leaving target
/// back nor be ignored for its lower revision.
#[test]
fn leaving_list_of_a_later_era_is_followed() {
    let version = |era, revision| StoreVersion::of_revision(revision).in_era(StoreEra(era));
    let mut targets = LeavingTargets::new(LeavingOptions::default());
    targets.set_listed(version(0, 70), names(&["desk-0-0"]), at_second(1));
    targets.set_listed(version(1, 6), names(&["desk-1-1"]), at_second(2));
    assert_eq!(targets.names(), names(&["desk-0-0", "desk-1-1"]));
    let grace_end = at_second(2) + RESTORE_GRACE;
    targets.set_listed(version(1, 7), names(&[]), grace_end);
    assert_eq!(targets.names(), names(&[]));
    targets.set_listed(version(0, 71), names(&["desk-0-0"]), grace_end);
    assert_eq!(targets.names(), names(&[]));
}
