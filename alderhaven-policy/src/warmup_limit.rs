//! Limit on the requests that a node sends to a target that is warming up.
//!
//! A cold target tolerates a few requests per second and may crash above that, so the nodes must
//! not all send it their usual share. The nodes on large hosts are ranked for each target by a hash
//! that all of them compute alike, and the first two send to it, half of the tolerated rate each.
//! The other nodes use warm replicas. At most half of the bound is used, so that two parts of a
//! group with different views of who is alive stay within it together.

use std::collections::VecDeque;

use alderhaven_core::ids::NodeId;
use alderhaven_core::quantities::RatePerSecond;
use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::hashing;
use crate::warmup_bound::WarmupBound;

/// The number of nodes that send to a cold target; with two, one may fail.
const SENDERS_PER_TARGET: usize = 2;

/// The window in which requests are counted.
const RATE_WINDOW: TimeSpan = TimeSpan::from_secs(1);

/// The longest warm-up that is accepted from a target.
const MAX_WARMUP: TimeSpan = TimeSpan::from_secs(120);

/// Returns how many requests node `own` may send in any second to a cold target that tolerates `rate`.
/// `nodes` are those on large hosts, whether `own` is among them or not.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a rate is positive, and the cast saturates"
)]
pub fn allowance(
    own: &NodeId,
    nodes: &[NodeId],
    target: &str,
    rate: RatePerSecond,
    bound: WarmupBound,
) -> usize {
    let max_rate = rate.per_second() * bound.overshoot + bound.slack;
    let total = rate.per_second().min(max_rate / 2.0) as usize;
    let Some(rank) = rank_of(own, nodes, target) else {
        return 0;
    };
    if rank >= SENDERS_PER_TARGET {
        return 0;
    }
    let senders = SENDERS_PER_TARGET.min(nodes.len());
    // The first node takes the remainder.
    total / senders + usize::from(rank < total % senders)
}

/// Returns the rank of a node among those that may send to the target, or `None` if it is not one
/// of them.
fn rank_of(own: &NodeId, nodes: &[NodeId], target: &str) -> Option<usize> {
    let target_hash = hashing::hash_name(target);
    let order = |node: &NodeId| hashing::mix_hashes(target_hash, hashing::hash_name(node.as_str()));
    let own_order = nodes.iter().find(|node| *node == own).map(order)?;
    Some(nodes.iter().filter(|node| order(node) < own_order).count())
}

/// Limits what a node sends to one target while that target is cold.
#[derive(Clone, Debug, Default)]
pub struct WarmupLimit {
    cold_until: TimePoint,
    allowance: Option<usize>,
    sent: VecDeque<TimePoint>,
}

impl WarmupLimit {
    /// Sets the number of requests that may be sent in any second while the target is cold; `None`
    /// means no limit.
    pub const fn set_allowance(&mut self, allowance: Option<usize>) {
        self.allowance = allowance;
    }

    /// Records the target's report that it stays cold for `left`; it replaces any earlier report.
    pub fn record_cold(&mut self, left: TimeSpan, now: TimePoint) {
        self.cold_until = now + left.min(MAX_WARMUP);
    }

    /// Assumes that the target stays cold for `left`, without shortening an earlier report.
    pub fn presume_cold(&mut self, left: TimeSpan, now: TimePoint) {
        self.cold_until = self.cold_until.max(now + left.min(MAX_WARMUP));
    }

    /// Returns `true` if one more request may be sent now.
    #[must_use]
    pub fn allows_request(&self, now: TimePoint) -> bool {
        let Some(allowance) = self.allowance else {
            return true;
        };
        if now >= self.cold_until {
            return true;
        }
        let recent = self
            .sent
            .iter()
            .filter(|sent| now.since(**sent) < RATE_WINDOW);
        recent.count() < allowance
    }

    /// Records a request that is sent now.
    pub fn record_sent(&mut self, now: TimePoint) {
        if self.allowance.is_none() {
            return;
        }
        while self
            .sent
            .front()
            .is_some_and(|sent| now.since(*sent) >= RATE_WINDOW)
        {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
