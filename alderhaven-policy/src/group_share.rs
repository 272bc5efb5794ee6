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
const LARGE_PART: f64 = 0.5;

/// The part of the repeats that is divided among large hosts.
const LARGE_REPEATS: f64 = 0.8;

/// A `GroupShare` says how a node stands in its group.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct GroupShare {
    own: f64,
    largest: f64,
    all: f64,
    /// The largest host that was ever known. A node that no longer sees it must not take over what nodes on
    /// such hosts use elsewhere.
    largest_known: f64,
    /// The hosts that are large against it.
    all_large: f64,
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
            largest_known: own,
            all_large: own,
        }
    }

    /// Notes the nodes that are alive, this one included; returns true where the share changes.
    pub fn note(&mut self, nodes: impl IntoIterator<Item = CpuCapacity>) -> bool {
        let sizes: Vec<f64> = nodes.into_iter().map(size_of).collect();
        let all: f64 = sizes.iter().sum();
        let largest = sizes.iter().copied().fold(self.own, f64::max);
        let mut all_large = self.all_large;
        if largest > self.largest_known {
            self.largest_known = largest;
            // Hosts that counted as large before may not do so now.
            all_large = 0.0;
        }
        let large = sizes.iter().filter(|size| self.is_carrier(**size));
        all_large = all_large.max(large.sum());
        let is_changed = all > self.all
            || (all_large - self.all_large).abs() > f64::EPSILON
            || (largest - self.largest).abs() > f64::EPSILON;
        self.all = self.all.max(all);
        self.all_large = all_large;
        self.largest = largest;
        is_changed
    }

    /// Gets the node's part of the repeats that all share, above 0 and up to 1.
    #[must_use]
    pub fn repeat_part(&self) -> f64 {
        let all_small = self.all - self.all_large;
        let part = match (self.is_carrier(self.own), all_small > 0.0) {
            (true, true) => LARGE_REPEATS * self.own / self.all_large,
            (true, false) => self.own / self.all_large,
            (false, true) => (1.0 - LARGE_REPEATS) * self.own / all_small,
            (false, false) => self.own / self.all,
        };
        part.min(1.0)
    }

    fn is_carrier(&self, size: f64) -> bool {
        size >= self.largest_known * LARGE_PART
    }

    /// Gets the node's part of what all share, above 0 and up to 1.
    fn part(&self) -> f64 {
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
