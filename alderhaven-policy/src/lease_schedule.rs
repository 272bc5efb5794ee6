//! When a front lists the store or queries another front for a proof, and which front.

use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::group_place::GroupPlace;
use crate::lease_timing::LeaseTiming;
use crate::proof_ages::ProofAges;
use crate::query_receiver::QueryReceiver;
use crate::store_watch_plan;

/// Times of the latest calls and queries of one front.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSchedule {
    timing: LeaseTiming,
    list_sent_at: Option<TimePoint>,
    /// When a front that is not the first lists the store; `None` while its proof is young.
    list_due_at: Option<TimePoint>,
    query_sent_at: Option<TimePoint>,
    /// Drawn for each query, from 0 to 1.
    renew_random: f64,
    /// The number of queries that were sent because the proof became too old.
    urgent_queries: u32,
}

impl LeaseSchedule {
    /// Creates the schedule of a process that has sent nothing.
    #[must_use]
    pub const fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            list_sent_at: None,
            list_due_at: None,
            query_sent_at: None,
            renew_random: 0.5,
            urgent_queries: 0,
        }
    }

    /// Returns true if every path is to be used, because the proof becomes too old.
    #[must_use]
    pub fn is_urgent(&self, ages: ProofAges) -> bool {
        let urgent_age = self.timing.urgent_age();
        ages.confirmed.is_none_or(|age| age >= urgent_age)
    }

    /// Returns true if the store is to be listed now, and records the list.
    pub fn takes_list(
        &mut self,
        place: GroupPlace,
        ages: ProofAges,
        now: TimePoint,
        random: f64,
    ) -> bool {
        if !place.is_first() && !self.is_urgent(ages) {
            self.list_due_at = None;
            return false;
        }
        if now < self.list_due(place, now, random) {
            return false;
        }
        self.list_sent_at = Some(now);
        self.list_due_at = Some(now + self.list_pause(place, random));
        true
    }

    /// Returns the front to query now, and records the query. `is_repeated` tells that the latest query was
    /// not answered.
    pub fn takes_query(
        &mut self,
        place: GroupPlace,
        ages: ProofAges,
        now: TimePoint,
        random: f64,
        is_repeated: bool,
    ) -> Option<QueryReceiver> {
        if now < self.query_due(place, ages, now)? {
            return None;
        }
        self.query_sent_at = Some(now);
        self.renew_random = random;
        let is_urgent = self.is_urgent(ages);
        if !is_urgent && !is_repeated {
            return place.queried_place().map(QueryReceiver::Place);
        }
        if !is_urgent {
            return Some(QueryReceiver::Any);
        }
        self.urgent_queries = self.urgent_queries.wrapping_add(1);
        // Where the domain is cut off from the others, few of all answer, and its first front lists the
        // store; where the store refuses that front, any other may have a proof.
        match self.urgent_queries % 3 {
            1 if place.domain_first != place.own => Some(QueryReceiver::Place(place.domain_first)),
            2 => Some(QueryReceiver::OwnDomain),
            _ => Some(QueryReceiver::Any),
        }
    }

    /// Returns when the next list or query is due.
    #[must_use]
    pub fn next_due(&self, place: GroupPlace, ages: ProofAges, now: TimePoint) -> TimePoint {
        let urgent_at = after_age(ages.confirmed, self.timing.urgent_age(), now);
        let list_due = if place.is_first() {
            self.list_sent_at
                .map_or(now, |sent| sent + self.timing.list_interval())
        } else if self.is_urgent(ages) {
            self.list_due_at.unwrap_or(now)
        } else {
            urgent_at
        };
        let query_due = self.query_due(place, ages, now);
        query_due.map_or(list_due, |due| due.min(list_due))
    }

    /// Returns when the store is to be listed by a front that lists it at all. Fronts whose proofs
    /// become old together spread their first calls, so that the rate of all does not grow with
    /// the group.
    fn list_due(&mut self, place: GroupPlace, now: TimePoint, random: f64) -> TimePoint {
        let last_due = self
            .list_sent_at
            .map_or(now, |sent| sent + self.timing.list_interval());
        if place.is_frequent_lister() {
            return last_due;
        }
        let first_pause = self.list_pause(place, 0.5).mul_f64(random);
        let due = *self.list_due_at.get_or_insert(now + first_pause);
        due.max(last_due)
    }

    fn list_pause(&self, place: GroupPlace, random: f64) -> TimeSpan {
        let interval = self.timing.list_interval();
        if place.is_frequent_lister() {
            interval
        } else {
            store_watch_plan::group_retry_pause(place.nodes, random).max(interval)
        }
    }

    /// Returns when the next query is due; `None` if the front queries nobody.
    fn query_due(&self, place: GroupPlace, ages: ProofAges, now: TimePoint) -> Option<TimePoint> {
        let is_urgent = self.is_urgent(ages);
        let is_alone = place.nodes < 2;
        if is_alone || (place.is_first() && !is_urgent) {
            return None;
        }
        let renew_age = self.timing.renew_age(place.hops(), self.renew_random);
        let wanted_at = if is_urgent {
            now
        } else {
            after_age(ages.latest, renew_age, now)
        };
        let free_at = self
            .query_sent_at
            .map_or(now, |sent| sent + self.timing.query_timeout());
        Some(wanted_at.max(free_at))
    }
}

/// Returns when a proof of `age` reaches `limit`; now, if it has, or there is none.
fn after_age(age: Option<TimeSpan>, limit: TimeSpan, now: TimePoint) -> TimePoint {
    age.map_or(now, |age| now + limit.saturating_sub(age))
}
