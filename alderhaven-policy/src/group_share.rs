//! The part of what all nodes share that one node may use.
//!
//! Load pattern: a group of hosts of very different sizes shares a budget and the connections of a
//! target. Callers are sent to the large ones, and the small ones carry next to nothing.
//!
//! Without it: with equal parts the nodes that carry the load have a sixtieth each of what is meant for
//! it, and the rest is unused.
//!
//! Each node's part is by its processor time against that of the largest group that was known. A node
//! that is cut off sees fewer others and must not take their parts over: they use them elsewhere. So
//! the sum of all parts is one at most, whatever each node knows, once it has seen the others.
//!
//! Repeats follow the load: nearly all of them are divided among the large hosts alone.

use serde::Serialize;

use crate::membership::member_record::CpuCapacity;

/// The capacity of a node that says none: it is taken for a usual one.
const DEFAULT_CAPACITY: CpuCapacity = CpuCapacity(250);

/// The part of the largest host from which on a host counts as large.
const LARGE_HOST_RATIO: f64 = 0.5;

/// The part of the repeats that is divided among large hosts.
const LARGE_HOST_REPEAT_SHARE: f64 = 0.8;

/// A `GroupShare` says how a node stands in its group.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct GroupShare {
    #[serde(rename = "own")]
    own_capacity: f64,
    #[serde(rename = "largest")]
    largest_alive: f64,
    #[serde(rename = "all")]
    total_capacity: f64,
    /// The largest host that was ever known. A node that no longer sees it must not take over what nodes on
    /// such hosts use elsewhere.
    largest_known: f64,
    /// The hosts that are large against it.
    #[serde(rename = "all_large")]
    large_host_capacity: f64,
}

impl GroupShare {
    /// Returns the share of a node that knows no other.
    #[must_use]
    pub fn alone(own: CpuCapacity) -> Self {
        let own = capacity_of(own);
        Self {
            own_capacity: own,
            largest_alive: own,
            total_capacity: own,
            largest_known: own,
            large_host_capacity: own,
        }
    }

    /// Notes the nodes that are alive, this one included; returns true where the share changes.
    pub fn update(&mut self, nodes: impl IntoIterator<Item = CpuCapacity>) -> bool {
        let sizes: Vec<f64> = nodes.into_iter().map(capacity_of).collect();
        let all: f64 = sizes.iter().sum();
        let largest = sizes.iter().copied().fold(self.own_capacity, f64::max);
        let mut all_large = self.large_host_capacity;
        if largest > self.largest_known {
            self.largest_known = largest;
            // Hosts that counted as large before may not do so now.
            all_large = 0.0;
        }
        let large = sizes.iter().filter(|size| self.counts_as_large(**size));
        all_large = all_large.max(large.sum());
        let is_changed = all > self.total_capacity
            || (all_large - self.large_host_capacity).abs() > f64::EPSILON
            || (largest - self.largest_alive).abs() > f64::EPSILON;
        self.total_capacity = self.total_capacity.max(all);
        self.large_host_capacity = all_large;
        self.largest_alive = largest;
        is_changed
    }

    /// Gets the node's part of the repeats that all share, above 0 and up to 1.
    #[must_use]
    pub fn repeat_share(&self) -> f64 {
        let all_small = self.total_capacity - self.large_host_capacity;
        let part = match (self.counts_as_large(self.own_capacity), all_small > 0.0) {
            (true, true) => LARGE_HOST_REPEAT_SHARE * self.own_capacity / self.large_host_capacity,
            (true, false) => self.own_capacity / self.large_host_capacity,
            (false, true) => (1.0 - LARGE_HOST_REPEAT_SHARE) * self.own_capacity / all_small,
            (false, false) => self.own_capacity / self.total_capacity,
        };
        part.min(1.0)
    }

    fn counts_as_large(&self, size: f64) -> bool {
        size >= self.largest_known * LARGE_HOST_RATIO
    }

    /// Gets the node's part of what all share, above 0 and up to 1.
    fn capacity_share(&self) -> f64 {
        (self.own_capacity / self.total_capacity).min(1.0)
    }

    /// Returns true where the node is one of those that carry the load.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.own_capacity >= self.largest_alive * LARGE_HOST_RATIO
    }

    /// Returns true where a node of this capacity is one of those that carry the load.
    #[must_use]
    pub fn is_large_host(&self, capacity: CpuCapacity) -> bool {
        capacity_of(capacity) >= self.largest_alive * LARGE_HOST_RATIO
    }

    /// Gets the size of a node against the largest one that is alive.
    #[must_use]
    pub fn relative_size(&self, capacity: CpuCapacity) -> f64 {
        capacity_of(capacity) / self.largest_alive.max(1.0)
    }

    /// Gets the connections that the node may open of the `most` that a target accepts, where all
    /// nodes together may use one of `parts` parts of them.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a small count is a small positive number"
    )]
    pub fn connection_limit(&self, most: usize, parts: f64) -> usize {
        ((most as f64 * self.capacity_share() / parts).ceil() as usize).max(1)
    }
}

fn capacity_of(capacity: CpuCapacity) -> f64 {
    let capacity = if capacity.0 == 0 {
        DEFAULT_CAPACITY
    } else {
        capacity
    };
    f64::from(capacity.0)
}
