//! Tests of which targets get no new work.

use std::collections::BTreeSet;

use alderhaven_core::ids::TargetId;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::leaving_targets::{LeavingOptions, LeavingTargets};

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
    targets.set_listed(1, names(&[]), at_second(0));
    targets.record_reply(&target, at_second(1));
    targets.set_listed(1, names(&[]), at_second(2));
    assert_eq!(targets.names(), names(&["desk-0-0"]));
    targets.set_listed(2, names(&["desk-0-0"]), at_second(5));
    targets.set_listed(2, names(&["desk-0-0"]), at_second(40));
    assert_eq!(targets.names(), names(&["desk-0-0"]));
    targets.set_listed(3, names(&[]), at_second(41));
    assert_eq!(targets.names(), names(&[]));
}

/// Guards against a lagging copy of the host list bringing a leaving target back.
#[test]
fn leaving_list_does_not_go_back() {
    let mut targets = LeavingTargets::new(LeavingOptions::default());
    targets.set_listed(7, names(&["desk-0-0"]), at_second(1));
    targets.set_listed(6, names(&[]), at_second(2));
    assert_eq!(targets.names(), names(&["desk-0-0"]));
}

#[test]
fn leaving_drain_holds_until_withdrawn() {
    let mut targets = LeavingTargets::new(LeavingOptions::default());
    targets.set_drained(names(&["desk-1-1"]));
    targets.set_listed(1, names(&[]), at_second(100));
    assert_eq!(targets.names(), names(&["desk-1-1"]));
    targets.set_drained(names(&[]));
    assert_eq!(targets.names(), names(&[]));
}
