//! Which nodes watch the platform's store, so that the others need not.
//!
//! Load pattern: hundreds of nodes and a store whose rate of calls grows more slowly than the fleet.
//! Every change wakes every watch, so that each change costs one call a node.
//!
//! Without it: the calls grow with the nodes times the changes.
//!
//! The rules: the first few nodes in an order that all know watch, and pass the news on. A node that
//! can't reach the store says so, and the next one in the order takes its place. That it answers is
//! no news of its own: headers of gossip say how long ago it did. A node that has heard of no answer for a
//! while watches itself, since it may be cut off from its peers while its own path to the store is
//! whole.

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
    /// How long a node's word that it can't reach the store keeps it out of the order.
    #[serde(rename = "lost_for")]
    pub store_loss_timeout: TimeSpan,
}

/// The pause between two calls of a whole group to a store that answers nobody.
const GROUP_RETRY_PAUSE: TimeSpan = TimeSpan::from_millis(100);

/// Gets the pause before a node asks again that is not among the first of `nodes`, where the store answers
/// none of them. `random`, 0 to 1, spreads them.
///
/// All together ask as often whatever their number: one of many that is answered is enough.
#[must_use]
pub fn group_retry_pause(nodes: usize, random: f64) -> TimeSpan {
    GROUP_RETRY_PAUSE.mul_f64(nodes as f64 * (0.5 + random))
}

impl Default for WatchOptions {
    fn default() -> Self {
        Self {
            watchers: 3,
            stale_after: TimeSpan::from_millis(5_500),
            store_loss_timeout: TimeSpan::from_secs(5),
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
    pub reported_at: TimePoint,
}

/// A `WatchPlan` is what a node knows when it decides whether it watches.
#[derive(Clone, Copy, Debug)]
pub struct WatchPlan<'a> {
    /// The node.
    pub own: &'a NodeId,
    /// The other live nodes.
    pub others: &'a [NodeId],
    /// The nodes' own words on their way to the store.
    pub contacts: &'a [StoreContact],
    /// The time since the store answered another node; none where nobody said so.
    pub answered_age: Option<TimeSpan>,
}

impl WatchPlan<'_> {
    /// Returns true where the node should watch.
    #[must_use]
    pub fn should_watch(&self, options: &WatchOptions, now: TimePoint) -> bool {
        if !self.hears_from_store(options, now) {
            return true;
        }
        if self.has_lost_store(self.own, options, now) {
            return false;
        }
        let reaching = self.others.iter();
        let reaching = reaching.filter(|node| !self.has_lost_store(node, options, now));
        let others: Vec<NodeId> = reaching.cloned().collect();
        is_among_first(self.own, &others, options.watchers)
    }

    /// Returns true where another node was answered by the store not long ago.
    fn hears_from_store(&self, options: &WatchOptions, now: TimePoint) -> bool {
        let has_answered = self
            .answered_age
            .is_some_and(|age| age < options.stale_after);
        let is_fresh = |contact: &StoreContact| {
            contact.is_reached
                && contact.node != *self.own
                && now.since(contact.reported_at) < options.stale_after
        };
        has_answered || self.contacts.iter().any(is_fresh)
    }

    /// Returns true where the node has said not long ago that the store does not answer it.
    fn has_lost_store(&self, node: &NodeId, options: &WatchOptions, now: TimePoint) -> bool {
        self.contacts.iter().any(|contact| {
            contact.node == *node
                && !contact.is_reached
                && now.since(contact.reported_at) < options.store_loss_timeout
        })
    }
}

/// Returns true where the node is among the first `count` in the order.
#[must_use]
pub fn is_among_first(own: &NodeId, nodes: &[NodeId], count: usize) -> bool {
    let own_place = order_of(own);
    let before = nodes.iter().filter(|node| order_of(node) < own_place);
    before.count() < count
}

fn order_of(node: &NodeId) -> (u64, &NodeId) {
    (hashing::hash_name(node.as_str()), node)
}
