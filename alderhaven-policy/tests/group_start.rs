//! How long nodes that start wait for their peers.

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::group_start::GroupStart;

/// The nodes of a group that starts for the first time.
const NODES: usize = 76;

/// What a node needs to join and to be told all by a peer that knows it.
const TOLD_AFTER: TimeSpan = TimeSpan::from_millis(900);

/// Three nodes of 76 are known to all by address. Before, each of the others knew of none at its start,
/// counted itself among the first, and listed the whole store: hundreds of calls within a second.
#[test]
fn chance_lets_few_of_a_first_start_ask_the_store() {
    let starts = (0..NODES).map(|node| match node {
        0..3 => GroupStart::FirstKnown,
        _ => GroupStart::First,
    });
    let asks = starts.filter(|start| start.chance(true, false) < TOLD_AFTER);
    assert_eq!(asks.count(), 3);
}

/// All hosts lose power and come back with callers who wait: who is ahead asks at once.
#[test]
fn chance_of_a_later_start_is_short() {
    let waits = GroupStart::Again.chance(true, false);
    assert!(waits <= TimeSpan::from_millis(20), "{waits}");
    assert!(GroupStart::Again.chance(false, false) > waits);
}

/// The store does not answer the nodes that went first: the others must not wait for them.
#[test]
fn chance_is_short_where_the_store_has_failed_others() {
    for start in [GroupStart::Again, GroupStart::FirstKnown, GroupStart::First] {
        assert!(start.chance(false, true) <= TimeSpan::from_millis(20));
    }
}
