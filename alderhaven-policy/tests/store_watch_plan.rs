//! Tests of the choice of nodes that watch the platform's store.

use std::collections::BTreeSet;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::group_front::GroupFront;
use alderhaven_policy::store_watch_plan;
use alderhaven_policy::store_watch_plan::{StoreContact, WatchOptions, WatchPlan, is_among_first};
use alderhaven_policy::watch_timing::WatchTiming;

#[path = "common/watch_fronts.rs"]
mod watch_fronts;

use watch_fronts::fronts_and_directories;

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

/// Returns fronts on hosts of their own in three failure domains.
fn nodes(count: usize) -> Vec<GroupFront> {
    let front = |number: usize| GroupFront {
        node: format!("front-{number}")
            .parse()
            .expect("a valid node name"),
        host: format!("host-{number}").parse().expect("a valid host name"),
        domain: format!("domain-{}", number % 3)
            .parse()
            .expect("a valid failure domain"),
    };
    (0..count).map(front).collect()
}

fn others_of(own: &GroupFront, nodes: &[GroupFront]) -> Vec<GroupFront> {
    nodes.iter().filter(|node| *node != own).cloned().collect()
}

fn contact(front: &GroupFront, is_reached: bool, reported_at: TimePoint) -> StoreContact {
    StoreContact {
        node: front.node.clone(),
        is_reached,
        reported_at,
    }
}

/// Returns the nodes that watch if all have the same information.
fn watchers(nodes: &[GroupFront], contacts: &[StoreContact], now: TimePoint) -> Vec<GroupFront> {
    let watches = |own: &&GroupFront| {
        let others = others_of(own, nodes);
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

/// Guards against changes that nobody hears of while nodes that lost the store call it again: their
/// replacements must watch on until the calls have shown something.
#[test]
fn replaced_watchers_call_again_beside_their_replacements() {
    let nodes = nodes(8);
    // With two reports each node knows of an answer to another one.
    let healthy = [&nodes[0], &nodes[1]].map(|front| contact(front, true, at(0)));
    let first = watchers(&nodes, &healthy, at(0));
    let lost = first.iter().map(|node| contact(node, false, at(0)));
    let others = nodes.iter().filter(|node| !first.contains(node));
    let contacts = |reported_at| -> Vec<StoreContact> {
        let reached = others.clone().map(|node| contact(node, true, reported_at));
        lost.clone().chain(reached).collect()
    };
    let waiting = watchers(&nodes, &contacts(at(4_500)), at(4_900));
    assert_eq!(waiting.len(), 3);
    assert!(waiting.iter().all(|node| !first.contains(node)));
    let calling = watchers(&nodes, &contacts(at(6_500)), at(7_000));
    assert_eq!(calling.len(), 6);
    assert!(
        waiting
            .iter()
            .chain(&first)
            .all(|node| calling.contains(node))
    );
    // A report that is not renewed lapses.
    assert_eq!(watchers(&nodes, &contacts(at(10_000)), at(10_500)), first);
}

/// Returns the number of nodes that watch if the store's latest known answer has this age.
fn watcher_count(nodes: &[GroupFront], options: &WatchOptions, age: Option<TimeSpan>) -> usize {
    let watches = |own: &&GroupFront| {
        let plan = WatchPlan {
            own,
            others: &others_of(own, nodes),
            contacts: &[],
            answered_age: age,
        };
        plan.should_watch(options, at(60_000))
    };
    nodes.iter().filter(watches).count()
}

/// Guards against further watchers while gossip headers show that the store answers.
#[test]
fn no_further_watcher_while_the_store_answers_others() {
    let nodes = nodes(65);
    for bound in [2_000, 3_000, 5_000] {
        let options = WatchOptions {
            timing: WatchTiming::new(TimeSpan::from_millis(bound)),
            ..WatchOptions::default()
        };
        let age = TimeSpan::from_millis(bound * 65 / 100);
        assert_eq!(watcher_count(&nodes, &options, Some(age)), 3);
        assert_eq!(watcher_count(&nodes, &options, None), 65);
    }
}

/// Guards against a configuration that is late on nodes that no longer learn of the store's answers: all
/// of them must watch while there is still time to list the store.
#[test]
fn all_nodes_watch_before_the_bound_once_the_store_answers_nobody() {
    for (count, bound) in [(8, 2_000), (65, 3_000), (580, 5_000)] {
        let nodes = nodes(count);
        let options = WatchOptions {
            timing: WatchTiming::new(TimeSpan::from_millis(bound)),
            ..WatchOptions::default()
        };
        let age = TimeSpan::from_millis(bound * 90 / 100);
        assert_eq!(watcher_count(&nodes, &options, Some(age)), count);
    }
}

/// Guards against all nodes of a large group listing the store at the same moment.
#[test]
fn nodes_take_over_few_at_first() {
    let nodes = nodes(580);
    let options = WatchOptions::default();
    let stale = options.timing.stale_after();
    assert!(watcher_count(&nodes, &options, Some(stale)) <= 6);
    let steps = options.timing.takeover_step().mul_f64(3.0);
    assert!(watcher_count(&nodes, &options, Some(stale + steps)) <= 30);
}

/// Guards against all nodes of a starting group asking the store at once.
#[test]
fn starting_group_has_few_first_nodes() {
    let nodes = nodes(65);
    let first = nodes
        .iter()
        .filter(|own| is_among_first(&own.node, &others_of(own, &nodes), 3));
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

/// Guards against leaving targets and configurations that nobody hears of while hosts are cut off: a host
/// takes its front and its directory along, and a failure domain all its hosts.
#[test]
fn any_lost_hosts_or_domain_leave_a_watcher() {
    for (domains, hosts_per_domain) in [(2, 4), (3, 3), (4, 2), (7, 28)] {
        for tolerated in [2, 3, 4] {
            let nodes = fronts_and_directories(domains, hosts_per_domain);
            let contacts = [
                contact(&nodes[0], true, at(0)),
                contact(&nodes[1], true, at(0)),
            ];
            let options = WatchOptions {
                watchers: store_watch_plan::watcher_count(f64::from(tolerated), 1),
                ..WatchOptions::default()
            };
            let watches = |own: &&GroupFront| {
                let plan = WatchPlan {
                    own,
                    others: &others_of(own, &nodes),
                    contacts: &contacts,
                    answered_age: Some(TimeSpan::ZERO),
                };
                plan.should_watch(&options, at(0))
            };
            let chosen: Vec<&GroupFront> = nodes.iter().filter(watches).collect();
            let hosts: BTreeSet<_> = chosen.iter().map(|front| &front.host).collect();
            let failure_domains: BTreeSet<_> = chosen.iter().map(|front| &front.domain).collect();
            let names: Vec<_> = chosen.iter().map(|front| front.node.as_str()).collect();
            let tolerated = usize::try_from(tolerated).expect("a small number");
            assert!(
                hosts.len() > tolerated,
                "{tolerated} hosts lost of {names:?}"
            );
            assert!(failure_domains.len() > 1, "a domain lost of {names:?}");
        }
    }
}

/// Guards against a number of watchers that grows with a share of a large group.
#[test]
fn watcher_count_is_bounded() {
    assert_eq!(store_watch_plan::watcher_count(0.0, 0), 3);
    assert_eq!(store_watch_plan::watcher_count(2.0, 0), 3);
    assert_eq!(store_watch_plan::watcher_count(3.0, 1), 4);
    assert_eq!(store_watch_plan::watcher_count(40.0, 1), 5);
    assert_eq!(store_watch_plan::watcher_count(0.1, 0), 5);
    assert_eq!(store_watch_plan::watcher_count(-1.0, usize::MAX), 5);
}
