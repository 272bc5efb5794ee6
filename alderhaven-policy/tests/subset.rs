//! Tests of the assignment of relays to targets.

use std::collections::{BTreeMap, BTreeSet};

use alderhaven_core::ids::{NodeId, TargetId};
use alderhaven_policy::subset::{
    RelayCandidate, RelaySubsets, SubsetOptions, SubsetTarget, VIEW_MARGIN,
};
use proptest::prelude::{ProptestConfig, any, prop_assert, proptest};
use proptest::test_runner::RngSeed;

fn relays(count: usize, domains: usize) -> Vec<RelayCandidate> {
    (0..count)
        .map(|index| RelayCandidate {
            node: format!("relay-{index}").parse().expect("a valid id"),
            domain: format!("domain-{}", index % domains)
                .parse()
                .expect("a valid id"),
        })
        .collect()
}

fn targets(count: usize, connections: u32) -> Vec<SubsetTarget> {
    (0..count)
        .map(|index| SubsetTarget {
            target: target(index),
            max_connections: connections,
        })
        .collect()
}

fn target(index: usize) -> TargetId {
    format!("target-{index}").parse().expect("a valid id")
}

fn choose(targets: &[SubsetTarget], relays: &[RelayCandidate]) -> RelaySubsets {
    RelaySubsets::choose(targets, relays, &SubsetOptions::default())
}

#[test]
fn choose_spreads_load_and_domains() {
    let relays = relays(40, 7);
    let targets = targets(470, 25);
    let subsets = choose(&targets, &relays);
    for index in 0..470 {
        let chosen = subsets.relays_of(&target(index));
        assert_eq!(chosen.len(), 3);
        let domains: BTreeSet<_> = relays
            .iter()
            .filter(|relay| chosen.contains(&relay.node))
            .map(|relay| &relay.domain)
            .collect();
        assert!(
            domains.len() >= 2,
            "a target needs relays in at least two failure domains"
        );
    }
    let mean = 470.0 / 40.0;
    for relay in &relays {
        let firsts = subsets
            .targets_of(&relay.node)
            .filter(|(_, rank)| *rank == 0)
            .count();
        assert!(
            firsts as f64 <= 1.4 * mean,
            "{} is the primary of {firsts} targets",
            relay.node
        );
    }
}

#[test]
fn choose_keeps_most_assignments_when_a_relay_leaves() {
    // Targets that the removed relay was not assigned to must keep their relays; otherwise every
    // restart would open new connections everywhere.
    let all = relays(40, 7);
    let targets = targets(470, 25);
    let before = choose(&targets, &all);
    let mut moved = 0;
    for removed in &all {
        let left: Vec<_> = all
            .iter()
            .filter(|relay| *relay != removed)
            .cloned()
            .collect();
        let after = choose(&targets, &left);
        let is_moved = |index: &usize| {
            let target = target(*index);
            before.relays_of(&target).first() != after.relays_of(&target).first()
                && before.relays_of(&target).first() != Some(&removed.node)
        };
        moved += (0..470).filter(is_moved).count();
    }
    let share = moved as f64 / (470.0 * 40.0);
    assert!(
        share < 0.03,
        "{share} of all targets change their primary relay without need"
    );
}

#[test]
fn choose_with_few_relays() {
    let targets = targets(5, 25);
    assert!(choose(&targets, &[]).relays_of(&target(0)).is_empty());
    assert_eq!(
        choose(&targets, &relays(2, 1)).relays_of(&target(0)).len(),
        2
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x0073_7562),
        cases: ProptestConfig::default().cases / 4,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Nodes whose views differ by up to `VIEW_MARGIN` relays together stay within a target's limit.
    #[test]
    fn connection_share_of_stays_within_the_limit(
        missing in proptest::collection::vec((0..20_usize, any::<bool>()), 12),
        connections in 4_u32..120,
    ) {
        let all = relays(20, 4);
        let targets = targets(30, connections);
        // The views differ only in these relays.
        let uncertain = [missing[0].0, missing[1].0];
        assert!(uncertain.len() <= VIEW_MARGIN);
        let mut opened: BTreeMap<TargetId, BTreeMap<NodeId, u32>> = BTreeMap::new();
        for pair in missing.windows(2) {
            let lacks = |index: usize| {
                (index == uncertain[0] && pair[0].1) || (index == uncertain[1] && pair[1].1)
            };
            let view: Vec<_> = all
                .iter()
                .enumerate()
                .filter(|(index, _)| !lacks(*index))
                .map(|(_, relay)| relay.clone())
                .collect();
            let subsets = choose(&targets, &view);
            for target in &targets {
                for relay in &view {
                    let share = subsets.connection_share_of(&target.target, &relay.node);
                    let held = opened.entry(target.target.clone()).or_default();
                    let most = held.entry(relay.node.clone()).or_default();
                    *most = share.max(*most);
                }
                for relay in subsets.relays_of(&target.target) {
                    prop_assert!(subsets.connection_share_of(&target.target, relay) > 0);
                }
            }
        }
        for held in opened.values() {
            prop_assert!(held.values().sum::<u32>() <= connections);
        }
    }
}
