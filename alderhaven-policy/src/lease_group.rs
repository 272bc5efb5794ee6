//! The live fronts in the order in which they list the configuration for all.

use std::collections::BTreeSet;

use alderhaven_core::ids::NodeId;
use alderhaven_core::time::TimePoint;

use crate::group_front::GroupFront;
use crate::group_place::GroupPlace;
use crate::query_receiver::QueryReceiver;
use crate::store_watch_plan::{self, StoreContact, WatchOptions};

/// The live fronts, this one included: first those that reach the store as far as known, in the order of
/// the watch plan, then the others.
#[derive(Clone, Debug)]
pub struct LeaseGroup {
    order: Vec<GroupFront>,
    place: GroupPlace,
}

impl LeaseGroup {
    /// Orders the fronts by what is known now. `now` is a time of the clock of `contacts`.
    #[must_use]
    pub fn new(
        own: &GroupFront,
        others: Vec<GroupFront>,
        contacts: &[StoreContact],
        now: TimePoint,
    ) -> Self {
        let options = WatchOptions::default();
        let lost = contacts
            .iter()
            .filter(|contact| contact.is_lost(&options, now));
        let lost: BTreeSet<&NodeId> = lost.map(|contact| &contact.node).collect();
        let mut order = others;
        order.push(own.clone());
        order.sort_by_cached_key(|front| {
            let (hash, node) = store_watch_plan::order_of(&front.node);
            (lost.contains(node), hash, node.clone())
        });
        let own_place = order.iter().position(|front| front.node == own.node);
        let domain_first = order.iter().position(|front| front.domain == own.domain);
        let place = GroupPlace {
            own: own_place.unwrap_or_default(),
            domain_first: domain_first.unwrap_or_default(),
            nodes: order.len(),
        };
        Self { order, place }
    }

    /// Returns the place of this front.
    #[must_use]
    pub const fn place(&self) -> GroupPlace {
        self.place
    }

    /// Returns the front that a query goes to; `None` if there is no other front. `random`, from 0 to 1,
    /// chooses among several.
    #[must_use]
    pub fn find_receiver(&self, receiver: QueryReceiver, random: f64) -> Option<&NodeId> {
        let front = match receiver {
            QueryReceiver::Place(place) => self.order.get(place),
            QueryReceiver::OwnDomain => self.find_near(random).or_else(|| self.find_any(random)),
            QueryReceiver::Any => self.find_any(random),
        };
        front.map(|front| &front.node)
    }

    fn find_near(&self, random: f64) -> Option<&GroupFront> {
        let own = self.order.get(self.place.own)?;
        let is_near = |front: &&GroupFront| front.domain == own.domain && front.node != own.node;
        let count = self.order.iter().filter(is_near).count();
        let mut near = self.order.iter().filter(is_near);
        near.nth(draw_below(count, random))
    }

    fn find_any(&self, random: f64) -> Option<&GroupFront> {
        let others = self.order.len().saturating_sub(1);
        let other = draw_below(others, random);
        let is_before = other < self.place.own;
        self.order.get(if is_before { other } else { other + 1 })
    }
}

/// Returns a number below `count` by a random number from 0 to 1.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is from 0 to a number of nodes"
)]
fn draw_below(count: usize, random: f64) -> usize {
    ((count as f64 * random) as usize).min(count.saturating_sub(1))
}
