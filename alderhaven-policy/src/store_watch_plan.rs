//! Choice of the few nodes that watch the platform's store on behalf of all.
//!
//! Every change wakes every watch, so the number of watches must not grow with the group. The first
//! nodes in an order that all nodes compute alike watch, and pass changes on. A node that can't
//! reach the store reports it, and the next one in the order takes its place. Gossip headers carry
//! the time since the store last answered any node. A node that has not learned of an answer for a
//! while watches by itself, since it may be cut off from its peers but not from the store.

use alderhaven_core::ids::NodeId;
use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::hashing;

/// Settings of the choice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WatchOptions {
    /// The number of nodes that watch; all but one may fail at the same time without a gap.
    pub watchers: usize,
    /// The age of the latest known answer of the store after which a node watches by itself. It
    /// covers the longest wait of a watch and the propagation of its result, with a reserve.
    pub stale_after: TimeSpan,
    /// How long a node's report that it can't reach the store keeps it from being chosen.
    #[serde(rename = "lost_for")]
    pub store_loss_timeout: TimeSpan,
}

/// The mean pause between two calls of a whole group to a store that answers no node.
const GROUP_RETRY_PAUSE: TimeSpan = TimeSpan::from_millis(100);

/// Returns the pause before a node that is not among the first of `nodes` asks again, while the store
/// answers none of them. `random`, from 0 to 1, spreads the nodes.
///
/// The pause grows with the number of nodes, so that the group's call rate does not.
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

/// A node's latest report of whether it reaches the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreContact {
    /// The reporting node.
    pub node: NodeId,
    /// Whether the store answered the node.
    pub is_reached: bool,
    /// When the report was received.
    pub reported_at: TimePoint,
}

impl StoreContact {
    /// Returns `true` if the node reported recently that the store does not answer it.
    #[must_use]
    pub fn is_lost(&self, options: &WatchOptions, now: TimePoint) -> bool {
        !self.is_reached && now.since(self.reported_at) < options.store_loss_timeout
    }
}

/// The information from which a node decides whether it watches.
#[derive(Clone, Copy, Debug)]
pub struct WatchPlan<'a> {
    /// The deciding node.
    pub own: &'a NodeId,
    /// The other live nodes.
    pub others: &'a [NodeId],
    /// The latest reports of the nodes on whether they reach the store.
    pub contacts: &'a [StoreContact],
    /// The time since the store answered another node, or `None` if that was never reported.
    pub answered_age: Option<TimeSpan>,
}

impl WatchPlan<'_> {
    /// Returns `true` if the node should watch.
    #[must_use]
    pub fn should_watch(&self, options: &WatchOptions, now: TimePoint) -> bool {
        if !self.has_recent_store_answer(options, now) {
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

    /// Returns `true` if the store answered another node recently.
    fn has_recent_store_answer(&self, options: &WatchOptions, now: TimePoint) -> bool {
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

    /// Returns `true` if the node reported recently that the store does not answer it.
    fn has_lost_store(&self, node: &NodeId, options: &WatchOptions, now: TimePoint) -> bool {
        let mut contacts = self.contacts.iter();
        contacts.any(|contact| contact.node == *node && contact.is_lost(options, now))
    }
}

/// Returns `true` if the node is among the first `count` in the order.
#[must_use]
pub fn is_among_first(own: &NodeId, nodes: &[NodeId], count: usize) -> bool {
    let own_order = order_of(own);
    let before = nodes.iter().filter(|node| order_of(node) < own_order);
    before.count() < count
}

pub(crate) fn order_of(node: &NodeId) -> (u64, &NodeId) {
    (hashing::hash_name(node.as_str()), node)
}
