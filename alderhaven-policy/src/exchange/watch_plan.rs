//! Selection of the nodes that watch the store for each kind of object.
//!
//! Each watch counts as an open call of the store. With a fixed number of watchers per kind, the
//! load on the store does not grow with the number of nodes. The watchers are chosen by rendezvous
//! hashing.

use alderhaven_core::config_object::ObjectKind;
use alderhaven_core::ids::NodeId;
use alderhaven_core::time::TimeSpan;
use rand::{Rng, RngExt};

use crate::hashing;

/// Number of nodes that watch each kind. Changes arrive without delay while one of them runs.
pub const WATCHERS_PER_KIND: usize = 3;

/// Mean time between two listings by a node that does not watch; bounds the delay of changes that
/// the exchange has lost. 580 nodes make 2 calls per second, 0.1% of the store's read rate.
pub const POLL_PERIOD: TimeSpan = TimeSpan::from_secs(300);

/// Returns true if `node` watches a kind; `nodes` are all participants, itself included.
///
/// Nodes with different views of the participants may select a few watchers more or fewer.
#[must_use]
pub fn is_watcher(node: &NodeId, kind: ObjectKind, nodes: &[NodeId]) -> bool {
    let kind_hash = hashing::hash_name(kind.as_str());
    let score = |node: &NodeId| hashing::mix_hashes(kind_hash, hashing::hash_name(node.as_str()));
    let own_score = score(node);
    let higher_ranked = nodes.iter().filter(|other| score(other) > own_score);
    higher_ranked.count() < WATCHERS_PER_KIND
}

/// Returns the time until the next listing, randomized so that nodes do not list at the same time.
pub fn next_poll_delay(rng: &mut impl Rng) -> TimeSpan {
    POLL_PERIOD.mul_f64(rng.random_range(0.5..1.5))
}
