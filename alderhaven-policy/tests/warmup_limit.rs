//! Tests of the load that a cold target gets from many uncoordinated nodes.

use alderhaven_core::ids::NodeId;
use alderhaven_core::quantities::RatePerSecond;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::warmup_bound::WarmupBound;
use alderhaven_policy::warmup_limit::{self, WarmupLimit};
use proptest::prelude::*;

const BOUND: WarmupBound = WarmupBound {
    overshoot: 1.5,
    slack: 5.0,
};

fn nodes(count: usize) -> Vec<NodeId> {
    let name = |number| format!("front-{number}").parse().expect("a node's name");
    (0..count).map(name).collect()
}

fn rate(per_second: f64) -> RatePerSecond {
    RatePerSecond::new(per_second).expect("a rate")
}

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

fn allowances(seen: &[NodeId], target: &str, per_second: f64) -> usize {
    seen.iter()
        .map(|node| warmup_limit::allowance(node, seen, target, rate(per_second), BOUND))
        .sum()
}

/// Guards against a cold target being overloaded by many nodes that each send a little.
#[test]
fn allowance_of_all_nodes_is_what_the_target_tolerates() {
    for count in [1, 2, 8, 63, 580] {
        assert_eq!(allowances(&nodes(count), "i-1", 7.0), 7, "{count} nodes");
    }
}

/// Guards against nodes outside the ranking, such as those on small hosts, sending to a cold target.
#[test]
fn allowance_of_other_nodes_is_none() {
    let unranked: NodeId = "unranked".parse().expect("a node's name");
    let none = warmup_limit::allowance(&unranked, &nodes(8), "i-1", rate(7.0), BOUND);
    assert_eq!(none, 0);
}

/// Guards against one node warming up all targets that return together.
#[test]
fn allowance_spreads_targets_over_nodes() {
    let nodes = nodes(8);
    let senders = |target: &str| {
        let is_sender =
            |node: &&NodeId| warmup_limit::allowance(node, &nodes, target, rate(8.0), BOUND) > 0;
        nodes.iter().filter(is_sender).cloned().collect::<Vec<_>>()
    };
    let mut used: Vec<NodeId> = (0..40)
        .flat_map(|number| senders(&format!("i-{number}")))
        .collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 8);
}

proptest! {
    /// Guards against two parts of a group with different views together exceeding a target's bound.
    #[test]
    fn allowance_with_different_views_keeps_the_bound(
        per_second in 0.5_f64..60.0,
        split in 1_usize..62,
        target in "[a-z]{1,8}",
    ) {
        let all = nodes(63);
        let (left, right) = all.split_at(split);
        let sent = allowances(left, &target, per_second) + allowances(right, &target, per_second);
        prop_assert!(sent as f64 <= per_second * BOUND.overshoot + BOUND.slack);
    }

    /// In any second no more requests are sent than allowed.
    #[test]
    fn limit_holds_in_any_second(gaps in prop::collection::vec(0_u64..400, 1..200)) {
        let mut limit = WarmupLimit::default();
        limit.set_allowance(Some(3));
        limit.record_cold(TimeSpan::from_secs(60), at(0));
        let mut now = 0;
        let mut sent: Vec<u64> = Vec::new();
        for gap in gaps {
            now += gap;
            if now < 60_000 && limit.allows_request(at(now)) {
                limit.record_sent(at(now));
                sent.push(now);
            }
        }
        for from in &sent {
            let within = sent.iter().filter(|point| (*from..from + 1_000).contains(point));
            prop_assert!(within.count() <= 3);
        }
    }
}

/// The limit applies only to a cold target that declares what it tolerates.
#[test]
fn limit_ends_with_the_warmup() {
    let mut limit = WarmupLimit::default();
    limit.record_cold(TimeSpan::from_secs(3), at(0));
    assert!(
        limit.allows_request(at(0)),
        "there is no limit without an allowance"
    );
    limit.set_allowance(Some(0));
    assert!(!limit.allows_request(at(2_999)));
    assert!(limit.allows_request(at(3_000)));
}

/// Guards against overloading targets of a returning domain before they report that they are cold.
#[test]
fn limit_presumes_cold_until_the_target_reports() {
    let mut limit = WarmupLimit::default();
    limit.set_allowance(Some(0));
    limit.presume_cold(TimeSpan::from_secs(3), at(0));
    assert!(!limit.allows_request(at(100)));
    limit.record_cold(TimeSpan::ZERO, at(200));
    assert!(limit.allows_request(at(200)));
}
