//! Tests of how long starting nodes wait for their peers.

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::group_start;
use alderhaven_policy::group_start::GroupStart;
use alderhaven_policy::start_view::StartView;

/// The number of nodes in a group that starts for the first time.
const NODES: usize = 76;

/// Returns the view of a node that knows peers; `is_among_first` says whether it comes first in the
/// order.
const fn view_with_peers(is_among_first: bool, has_peer_lost_store: bool) -> StartView {
    StartView {
        knows_peers: true,
        is_among_first,
        has_peer_lost_store,
    }
}

/// The view of a node that knows no other node yet.
const VIEW_WITHOUT_PEERS: StartView = StartView {
    knows_peers: false,
    is_among_first: true,
    has_peer_lost_store: false,
};

/// The time that a node needs to join and receive the configuration from a peer.
const PEER_ANSWER_TIME: TimeSpan = TimeSpan::from_millis(900);

/// Guards against every node of a group that starts for the first time listing the whole store.
#[test]
fn peer_wait_lets_few_of_a_first_start_list_the_store() {
    let starts = (0..NODES).map(|node| match node {
        0..3 => GroupStart::SeedFirstStart,
        _ => GroupStart::FirstStart,
    });
    let listing = starts.filter(|start| start.peer_wait(VIEW_WITHOUT_PEERS) < PEER_ANSWER_TIME);
    assert_eq!(listing.count(), 3);
}

/// Guards against callers waiting when a group restarts: the first nodes list the store at once.
#[test]
fn peer_wait_of_a_restart_is_short() {
    let wait = GroupStart::Restart.peer_wait(view_with_peers(true, false));
    assert!(wait <= TimeSpan::from_millis(20), "{wait}");
    assert!(GroupStart::Restart.peer_wait(view_with_peers(false, false)) > wait);
}

/// Guards against waiting for nodes that the store does not answer.
#[test]
fn peer_wait_is_short_if_the_store_does_not_answer_peers() {
    for start in [
        GroupStart::Restart,
        GroupStart::SeedFirstStart,
        GroupStart::FirstStart,
    ] {
        assert!(start.peer_wait(view_with_peers(false, true)) <= TimeSpan::from_millis(20));
    }
}

/// Guards against a restarting group overloading a store that is down with retries.
#[test]
fn retry_rate_of_a_group_does_not_grow_with_it() {
    let outage = TimeSpan::from_secs(4);
    let calls = |lists_store_first: bool, random: f64| {
        outage.as_micros() / group_start::retry_pause(lists_store_first, random).as_micros() + 1
    };
    let all: u64 = (0..63_u32)
        .map(|node| calls(node < 3, f64::from(node) / 63.0))
        .sum();
    let as_first: u64 = (0..63).map(|_| calls(true, 0.0)).sum();
    assert!(
        all < as_first / 5,
        "{all} calls, against {as_first} if all retried like the first nodes"
    );
    assert_eq!(calls(true, 0.9), 41, "a first node retries every 100 ms");
}

/// Guards against every node of a restarting group listing the whole store because it knows no peer
/// yet.
#[test]
fn peer_wait_lets_few_of_a_restarting_group_list_the_store() {
    let peer_answer_time = TimeSpan::from_millis(150);
    let starts = (0..NODES).map(|node| match node {
        0..3 => GroupStart::SeedRestart,
        _ => GroupStart::Restart,
    });
    let listing = starts.filter(|start| start.peer_wait(VIEW_WITHOUT_PEERS) < peer_answer_time);
    assert_eq!(listing.count(), 3);
    // The seed nodes may be gone, so the others must not wait long while their callers do.
    assert!(GroupStart::Restart.peer_wait(VIEW_WITHOUT_PEERS) <= TimeSpan::from_millis(250));
}
