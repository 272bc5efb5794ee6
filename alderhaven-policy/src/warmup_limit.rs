//! How much a node sends to a target that is warming up.
//!
//! Load pattern: a target starts, or a failure domain returns, amid the traffic of many nodes. A cold
//! target tolerates a few requests a second and crashes well above that.
//!
//! Without it: every node sends the returned target its share at once, and it crashes again.
//!
//! The rules: the nodes on large hosts order themselves for each target by a hash that all compute
//! alike, and the first two send to it, each half of what it tolerates. The others use warm replicas.
//! Half of the bound at most is used, so that two nodes which disagree on who is alive keep it too.

use std::collections::VecDeque;

use alderhaven_core::ids::NodeId;
use alderhaven_core::quantities::RatePerSecond;
use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::hashing;
use crate::warmup_bound::WarmupBound;

/// The nodes that send to a cold target: one may be lost.
const SENDERS_PER_TARGET: usize = 2;

/// The window in which requests are counted.
const RATE_WINDOW: TimeSpan = TimeSpan::from_secs(1);

/// The longest warm-up that is believed.
const MAX_WARMUP: TimeSpan = TimeSpan::from_secs(120);

/// Gets the requests in any second that node `own` may send to a cold target which tolerates `rate`;
/// `nodes` are those on large hosts, `own` among them or not.
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
    let most = rate.per_second() * bound.overshoot + bound.slack;
    let all = rate.per_second().min(most / 2.0) as usize;
    let Some(place) = rank_of(own, nodes, target) else {
        return 0;
    };
    if place >= SENDERS_PER_TARGET {
        return 0;
    }
    let senders = SENDERS_PER_TARGET.min(nodes.len());
    // The first takes what can't be halved.
    all / senders + usize::from(place < all % senders)
}

/// Gets the place of a node in the order of those that send to the target; none where it is not among them.
fn rank_of(own: &NodeId, nodes: &[NodeId], target: &str) -> Option<usize> {
    let target_hash = hashing::hash_name(target);
    let order = |node: &NodeId| hashing::mix_hashes(target_hash, hashing::hash_name(node.as_str()));
    let own_order = nodes.iter().find(|node| *node == own).map(order)?;
    Some(nodes.iter().filter(|node| order(node) < own_order).count())
}

/// A `WarmupLimit` holds back what a node sends to one target while that is cold.
#[derive(Clone, Debug, Default)]
pub struct WarmupLimit {
    cold_until: TimePoint,
    allowance: Option<usize>,
    sent: VecDeque<TimePoint>,
}

impl WarmupLimit {
    /// Sets the requests in any second that the node may send while the target is cold; none where it
    /// tolerates any number.
    pub const fn set_allowance(&mut self, allowance: Option<usize>) {
        self.allowance = allowance;
    }

    /// Notes that the target says it is cold for `left`.
    pub fn record_cold(&mut self, left: TimeSpan, now: TimePoint) {
        self.cold_until = now + left.min(MAX_WARMUP);
    }

    /// Notes that the target may be cold for `left`, whatever it said before.
    pub fn presume_cold(&mut self, left: TimeSpan, now: TimePoint) {
        self.cold_until = self.cold_until.max(now + left.min(MAX_WARMUP));
    }

    /// Returns true where one more request may be sent now.
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

    /// Notes a request that is sent.
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
