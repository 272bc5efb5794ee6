//! One node's share of the limits that a group of nodes divides among itself.
//!
//! Shares are proportional to processor capacity, since larger hosts get more of the callers. Each node
//! divides by the largest total it has ever seen: a node that is cut off sees fewer others and must not
//! take over their shares while they still use them. Once a node has seen all others, the sum of all
//! shares is at most one. Most repeats (retries and hedges) are divided among the large hosts alone.

use serde::Serialize;

use crate::membership::member_record::CpuCapacity;

/// The capacity assumed for a node that reports none.
const DEFAULT_CAPACITY: CpuCapacity = CpuCapacity(250);

/// The size relative to the largest host from which a host counts as large.
const LARGE_HOST_RATIO: f64 = 0.5;

/// The share of all repeats that is divided among the large hosts.
const LARGE_HOST_REPEAT_SHARE: f64 = 0.8;

/// The capacity of a node in relation to its group.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct GroupShare {
    #[serde(rename = "own")]
    own_capacity: f64,
    #[serde(rename = "largest")]
    largest_alive: f64,
    #[serde(rename = "all")]
    total_capacity: f64,
    /// The capacity of the largest host ever seen. A node that no longer sees it must not take over
    /// the share of the nodes on such hosts.
    largest_known: f64,
    /// The largest total capacity seen of the hosts that count as large.
    #[serde(rename = "all_large")]
    large_host_capacity: f64,
}

impl GroupShare {
    /// Creates the share of a node that knows no other node.
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

    /// Updates the share from the nodes alive, this one included. Returns `true` if the share changes.
    pub fn update(&mut self, nodes: impl IntoIterator<Item = CpuCapacity>) -> bool {
        let capacities: Vec<f64> = nodes.into_iter().map(capacity_of).collect();
        let total: f64 = capacities.iter().sum();
        let largest = capacities.iter().copied().fold(self.own_capacity, f64::max);
        let mut large_total = self.large_host_capacity;
        if largest > self.largest_known {
            self.largest_known = largest;
            // Hosts that counted as large before may no longer do so.
            large_total = 0.0;
        }
        let large = capacities
            .iter()
            .filter(|capacity| self.counts_as_large(**capacity));
        large_total = large_total.max(large.sum());
        let is_changed = total > self.total_capacity
            || (large_total - self.large_host_capacity).abs() > f64::EPSILON
            || (largest - self.largest_alive).abs() > f64::EPSILON;
        self.total_capacity = self.total_capacity.max(total);
        self.large_host_capacity = large_total;
        self.largest_alive = largest;
        is_changed
    }

    /// Returns the node's share of the group's repeats, above 0 and up to 1.
    #[must_use]
    pub fn repeat_share(&self) -> f64 {
        let small_total = self.total_capacity - self.large_host_capacity;
        let share = match (self.counts_as_large(self.own_capacity), small_total > 0.0) {
            (true, true) => LARGE_HOST_REPEAT_SHARE * self.own_capacity / self.large_host_capacity,
            (true, false) => self.own_capacity / self.large_host_capacity,
            (false, true) => (1.0 - LARGE_HOST_REPEAT_SHARE) * self.own_capacity / small_total,
            (false, false) => self.own_capacity / self.total_capacity,
        };
        share.min(1.0)
    }

    fn counts_as_large(&self, capacity: f64) -> bool {
        capacity >= self.largest_known * LARGE_HOST_RATIO
    }

    /// Returns the node's share of the group's capacity, above 0 and up to 1.
    fn capacity_share(&self) -> f64 {
        (self.own_capacity / self.total_capacity).min(1.0)
    }

    /// Returns `true` if this node's host is large compared with the largest one alive.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.own_capacity >= self.largest_alive * LARGE_HOST_RATIO
    }

    /// Returns `true` if a host of this capacity is large compared with the largest one alive.
    #[must_use]
    pub fn is_large_host(&self, capacity: CpuCapacity) -> bool {
        capacity_of(capacity) >= self.largest_alive * LARGE_HOST_RATIO
    }

    /// Returns a capacity relative to that of the largest host alive.
    #[must_use]
    pub fn relative_size(&self, capacity: CpuCapacity) -> f64 {
        capacity_of(capacity) / self.largest_alive.max(1.0)
    }

    /// Returns how many connections the node may open to a target that accepts `max_connections`,
    /// if all nodes together may use one of `parts` equal parts of them. The result is at least 1.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a small count is a small positive number"
    )]
    pub fn connection_limit(&self, max_connections: usize, parts: f64) -> usize {
        ((max_connections as f64 * self.capacity_share() / parts).ceil() as usize).max(1)
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
