//! Tests of the selection of nodes that watch the store.

use alderhaven_core::config_object::ObjectKind;
use alderhaven_core::ids::NodeId;
use alderhaven_policy::exchange::watch_plan::{self, WATCHERS_PER_KIND};

fn nodes(count: usize) -> Vec<NodeId> {
    (0..count)
        .map(|index| format!("node-{index}").parse().expect("the id is valid"))
        .collect()
}

#[test]
fn is_watcher_selects_a_fixed_number_in_any_group() {
    for count in [1, 3, 8, 580] {
        let nodes = nodes(count);
        for kind in ObjectKind::CONFIGURATION {
            let watchers = nodes
                .iter()
                .filter(|node| watch_plan::is_watcher(node, kind, &nodes));
            assert_eq!(watchers.count(), WATCHERS_PER_KIND.min(count));
        }
    }
}

#[test]
fn is_watcher_replaces_only_the_removed_watcher() {
    let all = nodes(20);
    let watches =
        |node: &NodeId, nodes: &[NodeId]| watch_plan::is_watcher(node, ObjectKind::Template, nodes);
    let removed = all
        .iter()
        .find(|node| watches(node, &all))
        .expect("at least one node watches the kind")
        .clone();
    let remaining: Vec<_> = all
        .iter()
        .filter(|node| **node != removed)
        .cloned()
        .collect();
    for node in remaining.iter().filter(|node| watches(node, &all)) {
        assert!(
            watches(node, &remaining),
            "{node} no longer watches although another watcher was removed"
        );
    }
}
