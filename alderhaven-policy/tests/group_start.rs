//! How long nodes that start wait for their peers.

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::group_start;
use alderhaven_policy::group_start::GroupStart;
use alderhaven_policy::start_view::StartView;

/// The nodes of a group that starts for the first time.
const NODES: usize = 76;

/// What a node knows that has met others, whether it is among the first of them.
const fn knowing_peers(is_first: bool, has_failed: bool) -> StartView {
    StartView {
        knows_peers: true,
        is_among_first: is_first,
        has_peer_lost_store: has_failed,
    }
}

/// What a node knows that has met nobody yet.
const KNOWING_NOBODY: StartView = StartView {
    knows_peers: false,
    is_among_first: true,
    has_peer_lost_store: false,
};

/// What a node needs to join and to be told all by a peer that knows it.
const PEER_ANSWER_TIME: TimeSpan = TimeSpan::from_millis(900);

/// Three nodes of 76 are known to all by address. Before, each of the others knew of none at its start,
/// counted itself among the first, and listed the whole store: hundreds of calls within a second.
#[test]
fn chance_lets_few_of_a_first_start_ask_the_store() {
    let starts = (0..NODES).map(|node| match node {
        0..3 => GroupStart::SeedFirstStart,
        _ => GroupStart::FirstStart,
    });
    let asks = starts.filter(|start| start.peer_wait(KNOWING_NOBODY) < PEER_ANSWER_TIME);
    assert_eq!(asks.count(), 3);
}

/// All hosts lose power and come back with callers who wait: who is ahead asks at once.
#[test]
fn chance_of_a_later_start_is_short() {
    let waits = GroupStart::Restart.peer_wait(knowing_peers(true, false));
    assert!(waits <= TimeSpan::from_millis(20), "{waits}");
    assert!(GroupStart::Restart.peer_wait(knowing_peers(false, false)) > waits);
}

/// The store does not answer the nodes that went first: the others must not wait for them.
#[test]
fn chance_is_short_where_the_store_has_failed_others() {
    for start in [
        GroupStart::Restart,
        GroupStart::SeedFirstStart,
        GroupStart::FirstStart,
    ] {
        assert!(start.peer_wait(knowing_peers(false, true)) <= TimeSpan::from_millis(20));
    }
}

/// Guards against a store that is down while a whole group starts again and is asked hundreds of times a
/// second, which is paid for and keeps it busy when it is back.
#[test]
fn retries_of_a_group_do_not_grow_with_it() {
    let outage = TimeSpan::from_secs(4);
    let calls = |is_ahead: bool, random: f64| {
        outage.as_micros() / group_start::retry_pause(is_ahead, random).as_micros() + 1
    };
    let all: u64 = (0..63_u32)
        .map(|node| calls(node < 3, f64::from(node) / 63.0))
        .sum();
    let as_first: u64 = (0..63).map(|_| calls(true, 0.0)).sum();
    assert!(all < as_first / 5, "{all} of {as_first}");
    assert_eq!(calls(true, 0.9), 41, "the first ask as often as before");
}

/// Guards against a group that starts again as a whole and of which each node lists the whole store,
/// because none has met another one yet.
#[test]
fn chance_lets_few_of_a_group_that_starts_again_ask_the_store() {
    let told_after = TimeSpan::from_millis(150);
    let starts = (0..NODES).map(|node| match node {
        0..3 => GroupStart::SeedRestart,
        _ => GroupStart::Restart,
    });
    let asks = starts.filter(|start| start.peer_wait(KNOWING_NOBODY) < told_after);
    assert_eq!(asks.count(), 3);
    // Those that all know by address may be gone: callers of the others wait.
    assert!(GroupStart::Restart.peer_wait(KNOWING_NOBODY) <= TimeSpan::from_millis(250));
}
