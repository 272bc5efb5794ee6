//! Choice of the few nodes that watch the platform's store on behalf of all.
//!
//! Every change wakes every watch, so the number of watches must not grow with the group. The first
//! nodes in an order that all nodes compute alike watch, and pass changes on. They stand on different
//! hosts and as far as possible in different failure domains, since the processes of a host lose the
//! store together. A node that can't
//! reach the store reports it, and the next one in the order takes its place. Gossip headers carry
//! the time since the store last answered any node. Once no node of a failure domain has learned of an
//! answer for a while, its first nodes watch by themselves, and soon all of them: the domain or a
//! single node may be cut off from the others but not from the store.

use alderhaven_core::ids::NodeId;
use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::group_front::GroupFront;
use crate::hashing;
use crate::watch_timing::WatchTiming;

/// Settings of the choice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WatchOptions {
    /// The number of nodes that watch. All but one of their hosts may fail at the same time without a
    /// gap.
    pub watchers: usize,
    /// The times of the calls that watch.
    pub timing: WatchTiming,
    /// How long a node that can't reach the store waits before it calls again. Other nodes hold its report
    /// for longer, so that its replacement watches until the call has shown something.
    #[serde(rename = "lost_for")]
    pub store_loss_timeout: TimeSpan,
}

/// The smallest number of nodes that watch.
pub const MIN_WATCHERS: usize = 3;

/// The largest number of nodes that watch, since each change wakes all of them. Where more hosts fail
/// together, the bounded waits of watches and of the other nodes remain.
const MAX_WATCHERS: usize = 5;

/// The number of waits of a node that lost the store for which others hold its report. The node renews
/// it after each wait.
const REPORT_HOLD_FACTOR: f64 = 2.0;

/// Returns the number of nodes that watch, so that one of them remains if `hosts` fail together or
/// `domains`. A number of hosts below 1 is their share of all.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is bounded first, and a negative one counts as 0"
)]
pub fn watcher_count(hosts: f64, domains: usize) -> usize {
    let hosts = match hosts {
        share if share > 0.0 && share < 1.0 => MAX_WATCHERS,
        hosts => hosts.ceil().min(MAX_WATCHERS as f64) as usize,
    };
    let failed = hosts.max(domains);
    failed.saturating_add(1).clamp(MIN_WATCHERS, MAX_WATCHERS)
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
            watchers: MIN_WATCHERS,
            timing: WatchTiming::new(TimeSpan::from_secs(3)),
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
        let hold_time = options.store_loss_timeout.mul_f64(REPORT_HOLD_FACTOR);
        !self.is_reached && now.since(self.reported_at) < hold_time
    }

    /// Returns `true` if the node reported so and has not called again yet.
    #[must_use]
    pub fn is_waiting(&self, options: &WatchOptions, now: TimePoint) -> bool {
        !self.is_reached && now.since(self.reported_at) < options.store_loss_timeout
    }
}

/// The information from which a node decides whether it watches.
#[derive(Clone, Copy, Debug)]
pub struct WatchPlan<'a> {
    /// The deciding node.
    pub own: &'a GroupFront,
    /// The other live nodes.
    pub others: &'a [GroupFront],
    /// The latest reports of the nodes on whether they reach the store.
    pub contacts: &'a [StoreContact],
    /// The time since the store answered another node, or `None` if that was never reported.
    pub answered_age: Option<TimeSpan>,
}

impl WatchPlan<'_> {
    /// Returns `true` if the node should watch.
    #[must_use]
    pub fn should_watch(&self, options: &WatchOptions, now: TimePoint) -> bool {
        let Some(age) = self.answer_age(now) else {
            return true;
        };
        self.is_assigned(options, now) || self.takes_over(age, options, now)
    }

    /// Returns the time since the store answered another node, as far as known.
    #[must_use]
    pub fn answer_age(&self, now: TimePoint) -> Option<TimeSpan> {
        let is_other = |contact: &&StoreContact| contact.node != self.own.node;
        let reached = self.contacts.iter().filter(is_other);
        let reached = reached.filter(|contact| contact.is_reached);
        let reported = reached.map(|contact| now.since(contact.reported_at));
        reported.chain(self.answered_age).min()
    }

    /// Returns `true` if the node is one of the few that watch for all.
    fn is_assigned(&self, options: &WatchOptions, now: TimePoint) -> bool {
        let mut contacts = self.contacts.iter();
        let is_waiting = |contact: &StoreContact| {
            contact.node == self.own.node && contact.is_waiting(options, now)
        };
        if contacts.any(is_waiting) {
            return false;
        }
        let reaching = self.others.iter();
        let reaching = reaching.filter(|front| !self.has_lost_store(front, options, now));
        let watchers = choose_watchers(reaching.chain([self.own]), options.watchers);
        watchers.contains(&self.own)
    }

    /// Returns `true` if the node watches by itself, because the store's latest known answer is too
    /// old. The number of such nodes in a failure domain doubles with each step.
    fn takes_over(&self, age: TimeSpan, options: &WatchOptions, now: TimePoint) -> bool {
        let stale_after = options.timing.stale_after();
        if age < stale_after {
            return false;
        }
        let overdue = age.saturating_sub(stale_after).as_micros();
        let steps = overdue / options.timing.takeover_step().as_micros().max(1);
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        let count = 1_usize.checked_shl(steps).unwrap_or(usize::MAX);
        let rank = |front: &GroupFront| {
            let is_lost = self.has_lost_store(front, options, now);
            let (hash, node) = order_of(&front.node);
            (is_lost, hash, node.clone())
        };
        let own_rank = rank(self.own);
        let near = self.others.iter();
        let near = near.filter(|front| front.domain == self.own.domain);
        near.filter(|front| rank(front) < own_rank).count() < count
    }

    /// Returns `true` if the node reported recently that the store does not answer it.
    fn has_lost_store(&self, front: &GroupFront, options: &WatchOptions, now: TimePoint) -> bool {
        let mut contacts = self.contacts.iter();
        contacts.any(|contact| contact.node == front.node && contact.is_lost(options, now))
    }
}

/// Chooses up to `count` fronts that fail together as little as possible: on different hosts first,
/// then in different failure domains, then by the order.
fn choose_watchers<'a>(
    fronts: impl Iterator<Item = &'a GroupFront>,
    count: usize,
) -> SmallVec<[&'a GroupFront; MAX_WATCHERS]> {
    let mut rest: Vec<((u64, &NodeId), &GroupFront)> =
        fronts.map(|front| (order_of(&front.node), front)).collect();
    let mut chosen: SmallVec<[&GroupFront; MAX_WATCHERS]> = SmallVec::new();
    while chosen.len() < count {
        let place = |(order, front): &((u64, &'a NodeId), &'a GroupFront)| {
            let on_host = chosen.iter().filter(|other| other.host == front.host);
            let in_domain = chosen.iter().filter(|other| other.domain == front.domain);
            (on_host.count(), in_domain.count(), *order)
        };
        let next = (0..rest.len()).min_by_key(|index| place(&rest[*index]));
        let Some(next) = next else {
            break;
        };
        chosen.push(rest.swap_remove(next).1);
    }
    chosen
}

/// Returns `true` if the node is among the first `count` in the order.
#[must_use]
pub fn is_among_first(own: &NodeId, others: &[GroupFront], count: usize) -> bool {
    let own_order = order_of(own);
    let before = others.iter();
    let before = before.filter(|front| order_of(&front.node) < own_order);
    before.count() < count
}

pub(crate) fn order_of(node: &NodeId) -> (u64, &NodeId) {
    (hashing::hash_name(node.as_str()), node)
}
