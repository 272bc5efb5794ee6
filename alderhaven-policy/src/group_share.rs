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

use serde::Serialize;

use crate::membership::member_record::CpuCapacity;

/// The capacity of a node that says none: it is taken for a usual one.
const DEFAULT_CAPACITY: CpuCapacity = CpuCapacity(250);

/// The part of the largest host from which on a host counts as large.
const LARGE_PART: f64 = 0.5;

/// A `GroupShare` says how a node stands in its group.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct GroupShare {
    own: f64,
    largest: f64,
    all: f64,
}

impl GroupShare {
    /// Returns the share of a node that knows no other.
    #[must_use]
    pub fn alone(own: CpuCapacity) -> Self {
        let own = size_of(own);
        Self {
            own,
            largest: own,
            all: own,
        }
    }

    /// Notes the nodes that are alive, this one included; returns true where the share changes.
    pub fn note(&mut self, nodes: impl IntoIterator<Item = CpuCapacity>) -> bool {
        let (mut all, mut largest) = (0.0, self.own);
        for size in nodes.into_iter().map(size_of) {
            all += size;
            largest = size.max(largest);
        }
        let is_changed = all > self.all || (largest - self.largest).abs() > f64::EPSILON;
        self.all = self.all.max(all);
        self.largest = largest;
        is_changed
    }

    /// Gets the node's part of what all share, above 0 and up to 1.
    #[must_use]
    pub fn part(&self) -> f64 {
        (self.own / self.all).min(1.0)
    }

    /// Returns true where the node is one of those that carry the load.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.own >= self.largest * LARGE_PART
    }

    /// Returns true where a node of this capacity is one of those that carry the load.
    #[must_use]
    pub fn is_large_host(&self, capacity: CpuCapacity) -> bool {
        size_of(capacity) >= self.largest * LARGE_PART
    }

    /// Gets the size of a node against the largest one that is alive.
    #[must_use]
    pub fn size(&self, capacity: CpuCapacity) -> f64 {
        size_of(capacity) / self.largest.max(1.0)
    }

    /// Gets the connections that the node may open of the `most` that a target accepts, where all
    /// nodes together may use one of `parts` parts of them.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a small count is a small positive number"
    )]
    pub fn connections(&self, most: usize, parts: f64) -> usize {
        ((most as f64 * self.part() / parts).ceil() as usize).max(1)
    }
}

fn size_of(capacity: CpuCapacity) -> f64 {
    let capacity = if capacity.0 == 0 {
        DEFAULT_CAPACITY
    } else {
        capacity
    };
    f64::from(capacity.0)
}
