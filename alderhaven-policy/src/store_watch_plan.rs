//! Which nodes watch the platform's store, so that the others need not.
//!
//! Load pattern: hundreds of nodes and a store whose rate of calls grows more slowly than the fleet.
//! Every change wakes every watch, so that each change costs one call a node.
//!
//! Without it: 65 nodes with their own watches make some 14,000 calls in a minute.
//!
//! The rules: the first few nodes in an order that all know watch, and pass the news on. A node that
//! can't reach the store says so, and the next one in the order takes its place. A node that has
//! heard of no contact with the store for a while watches itself, since it may be cut off from its
//! peers while its own path to the store is whole.

use alderhaven_core::ids::NodeId;
use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::hashing;

/// A `WatchOptions` holds the settings of the plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WatchOptions {
    /// How many nodes watch. Two of three may be lost in the same moment without a gap.
    pub watchers: usize,
    /// The age of the latest contact after which a node watches itself: the longest that a watch
    /// waits and the time that its news takes, with as much again for one that is late.
    pub stale_after: TimeSpan,
    /// The time within which no second node says that it reaches the store. A word costs some hundred
    /// bytes for each node of the group; two of them fit into the age at which others watch themselves.
    pub tell_period: TimeSpan,
    /// How long a node's word that it can't reach the store keeps it out of the order.
    pub lost_for: TimeSpan,
}

impl Default for WatchOptions {
    fn default() -> Self {
        Self {
            watchers: 3,
            stale_after: TimeSpan::from_millis(5_500),
            tell_period: TimeSpan::from_millis(1_500),
            lost_for: TimeSpan::from_secs(5),
        }
    }
}

/// A `StoreContact` is the latest that is known of a node's path to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreContact {
    /// The node.
    pub node: NodeId,
    /// Whether the store answered it.
    pub is_reached: bool,
    /// When this was heard.
    pub heard_at: TimePoint,
}

/// Returns true where the node `own` should watch; `nodes` are the live nodes, without `own`.
#[must_use]
pub fn should_watch(
    own: &NodeId,
    nodes: &[NodeId],
    contacts: &[StoreContact],
    options: &WatchOptions,
    now: TimePoint,
) -> bool {
    let is_fresh = contacts.iter().any(|contact| {
        contact.is_reached
            && contact.node != *own
            && now.since(contact.heard_at) < options.stale_after
    });
    if !is_fresh {
        return true;
    }
    let is_lost = |node: &NodeId| {
        contacts.iter().any(|contact| {
            contact.node == *node
                && !contact.is_reached
                && now.since(contact.heard_at) < options.lost_for
        })
    };
    if is_lost(own) {
        return false;
    }
    let others: Vec<NodeId> = nodes
        .iter()
        .filter(|node| !is_lost(node))
        .cloned()
        .collect();
    is_among_first(own, &others, options.watchers)
}

/// Returns true where the node is among the first `count` in the order.
#[must_use]
pub fn is_among_first(own: &NodeId, nodes: &[NodeId], count: usize) -> bool {
    let own_place = order_of(own);
    let before = nodes.iter().filter(|node| order_of(node) < own_place);
    before.count() < count
}

/// Returns true where a node that reaches the store should say so: each word goes to all nodes, so that
/// one of any node is enough for a while.
#[must_use]
pub fn should_tell(contacts: &[StoreContact], options: &WatchOptions, now: TimePoint) -> bool {
    let is_recent = |contact: &StoreContact| {
        contact.is_reached && now.since(contact.heard_at) < options.tell_period
    };
    !contacts.iter().any(is_recent)
}

fn order_of(node: &NodeId) -> (u64, &NodeId) {
    (hashing::hash_name(node.as_str()), node)
}
