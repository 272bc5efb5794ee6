//! Tests of the choice of nodes that watch the platform's store.

use alderhaven_core::ids::NodeId;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::store_watch_plan;
use alderhaven_policy::store_watch_plan::{StoreContact, WatchOptions, WatchPlan, is_among_first};

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

fn nodes(count: usize) -> Vec<NodeId> {
    let names = (0..count).map(|number| format!("front-{number}"));
    names.filter_map(|name| name.parse().ok()).collect()
}

fn contact(node: &NodeId, is_reached: bool, reported_at: TimePoint) -> StoreContact {
    StoreContact {
        node: node.clone(),
        is_reached,
        reported_at,
    }
}

/// Returns the nodes that watch if all have the same information.
fn watchers(nodes: &[NodeId], contacts: &[StoreContact], now: TimePoint) -> Vec<NodeId> {
    let watches = |own: &&NodeId| {
        let others: Vec<NodeId> = nodes.iter().filter(|node| node != own).cloned().collect();
        let plan = WatchPlan {
            own,
            others: &others,
            contacts,
            answered_age: None,
        };
        plan.should_watch(&WatchOptions::default(), now)
    };
    nodes.iter().filter(watches).cloned().collect()
}

/// Guards against a number of watches that grows with the group.
#[test]
fn large_group_has_three_watchers() {
    let nodes = nodes(65);
    let contacts: Vec<_> = nodes[..2]
        .iter()
        .map(|node| contact(node, true, at(0)))
        .collect();
    assert_eq!(watchers(&nodes, &contacts, at(100)).len(), 3);
}

/// Guards against no node getting changes because the store refuses all watchers.
#[test]
fn watchers_that_the_store_refuses_are_replaced() {
    let nodes = nodes(8);
    let healthy = contact(&nodes[0], true, at(0));
    let first = watchers(&nodes, std::slice::from_ref(&healthy), at(0));
    let mut contacts: Vec<_> = first
        .iter()
        .map(|node| contact(node, false, at(10)))
        .collect();
    let still_reached = nodes.iter().find(|node| !first.contains(node)).cloned();
    contacts.extend(still_reached.iter().map(|node| contact(node, true, at(10))));
    let second = watchers(&nodes, &contacts, at(20));
    assert_eq!(second.len(), 3);
    assert!(second.iter().all(|node| !first.contains(node)));
}

/// Guards against a node that is cut off from its peers keeping an old configuration.
#[test]
fn node_without_reports_watches_by_itself() {
    let nodes = nodes(65);
    let contacts: Vec<_> = nodes[..3]
        .iter()
        .map(|node| contact(node, true, at(0)))
        .collect();
    assert_eq!(watchers(&nodes, &contacts, at(6_000)).len(), 65);
}

#[test]
fn starting_group_watches_without_reports() {
    let nodes = nodes(3);
    assert_eq!(watchers(&nodes, &[], at(0)).len(), 3);
}

#[test]
fn node_that_lost_the_store_is_chosen_again_later() {
    let nodes = nodes(8);
    let healthy = contact(&nodes[0], true, at(0));
    let first = watchers(&nodes, std::slice::from_ref(&healthy), at(0));
    let lost = first.iter().map(|node| contact(node, false, at(0)));
    let others = nodes.iter().filter(|node| !first.contains(node));
    let contacts: Vec<_> = lost
        .chain(others.map(|node| contact(node, true, at(6_500))))
        .collect();
    assert_eq!(watchers(&nodes, &contacts, at(7_000)), first);
}

/// Guards against further watchers while gossip headers show that the store answers, and against none
/// once they no longer do.
#[test]
fn no_further_watcher_while_the_store_answers_others() {
    let nodes = nodes(65);
    let watches = |own: &NodeId, answered: Option<TimeSpan>| {
        let others: Vec<NodeId> = nodes.iter().filter(|node| *node != own).cloned().collect();
        let plan = WatchPlan {
            own,
            others: &others,
            contacts: &[],
            answered_age: answered,
        };
        plan.should_watch(&WatchOptions::default(), at(60_000))
    };
    let count = |answered| nodes.iter().filter(|own| watches(own, answered)).count();
    assert_eq!(count(Some(TimeSpan::from_millis(5_400))), 3);
    assert_eq!(count(Some(TimeSpan::from_millis(5_500))), 65);
    assert_eq!(count(None), 65);
}

/// Guards against all nodes of a starting group asking the store at once.
#[test]
fn starting_group_has_few_first_nodes() {
    let nodes = nodes(65);
    let first = nodes.iter().filter(|own| {
        let others: Vec<NodeId> = nodes.iter().filter(|node| node != own).cloned().collect();
        is_among_first(own, &others, 3)
    });
    assert_eq!(first.count(), 3);
}

/// Guards against the group's call rate to a store that is down growing with the number of nodes.
#[test]
fn group_retry_pause_grows_with_the_group() {
    for nodes in [8_u32, 63, 580] {
        let count = usize::try_from(nodes).expect("a small number");
        let calls: f64 = (0..nodes)
            .map(|node| f64::from(node) / f64::from(nodes))
            .map(|random| 1.0 / store_watch_plan::group_retry_pause(count, random).as_secs_f64())
            .sum();
        assert!(
            (8.0..14.0).contains(&calls),
            "{calls} calls a second of {nodes} nodes"
        );
    }
}
