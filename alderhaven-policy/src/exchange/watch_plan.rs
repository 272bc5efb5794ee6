//! Which nodes watch the store for which kind.
//!
//! Load pattern: the store counts a waiting watch as a call and its rates grow more slowly than the
//! fleet. If all 580 nodes watched four kinds, over 2,000 calls would wait at any time. With a few
//! watchers a kind the number does not depend on the size.

use alderhaven_core::config_object::ObjectKind;
use alderhaven_core::ids::NodeId;
use alderhaven_core::time::TimeSpan;
use rand::{Rng, RngExt};

use crate::hashing;

/// How many nodes watch a kind: the loss of two at once delays no news.
pub const WATCHERS_PER_KIND: usize = 3;

/// The time between two listings by a node that does not watch, against whatever else is lost; at
/// 580 nodes this makes 2 calls a second, 0.1 in 100 of the store's reads.
pub const POLL_PERIOD: TimeSpan = TimeSpan::from_secs(300);

/// Returns true where a node watches a kind, given all nodes that take part (itself included).
///
/// Nodes that disagree on who takes part differ by a watcher more or less, which does no harm.
#[must_use]
pub fn is_watcher(node: &NodeId, kind: ObjectKind, nodes: &[NodeId]) -> bool {
    let kind_hash = hashing::hash_name(kind.as_str());
    let score = |node: &NodeId| hashing::mix_hashes(kind_hash, hashing::hash_name(node.as_str()));
    let own_score = score(node);
    let higher_ranked = nodes.iter().filter(|other| score(other) > own_score);
    higher_ranked.count() < WATCHERS_PER_KIND
}

/// Gets the time until the next listing, spread so that nodes do not list together.
pub fn next_poll_delay(rng: &mut impl Rng) -> TimeSpan {
    POLL_PERIOD.mul_f64(rng.random_range(0.5..1.5))
}
