//! Which queries over the same services a front sends now, which wait and which it refuses at once.
//! A request to one service is a query over one.
//!
//! Load pattern: more queries arrive than their targets carry, for seconds; a burst; urgent queries
//! among others.
//!
//! Without it: everything is sent. A query over many shards then lacks some of them, one to a single
//! service waits in a target's queue until it is late, and callers hear of it when their time is over.
//!
//! The rules:
//! - whole queries are decided on, before any part is sent, so that "not run" is true;
//! - as many are in flight as [`ConcurrencyLimit`] allows; some more wait for a moment, in the order of their
//!   ranks, and go as soon as there is room;
//! - who would wait for longer than a part of the latency target is refused on arrival, and who has to
//!   make way for a better rank is refused at that moment: a caller that hears at once can go elsewhere
//!   or come back;
//! - a lower rank keeps a part of what the best rank is served, so that no kind of query is shut out;
//! - a caller is told to come back after a time that grows with how many are refused, spread so that
//!   those who were refused together don't return together.

use alderhaven_core::time::{TimePoint, TimeSpan};
use smallvec::SmallVec;

use crate::concurrency_limit::{ConcurrencyLimit, QuerySignal};
use crate::rate_meter::RateMeter;
use crate::running_mean::RunningMean;

/// The part of the latency target that a query may wait for room.
const MAX_WAIT_SHARE: f64 = 0.2;

/// The ended queries that the mean stay covers.
const RUN_TIME_WINDOW: u32 = 24;

/// Over how long the shares of ranks are counted.
const RANK_RATE_TIME_CONSTANT: TimeSpan = TimeSpan::from_millis(1_500);

/// The least part of the best rank's served share that a lower rank is served.
const MIN_SERVED_SHARE_RATIO: f64 = 0.5;

/// The part of the room that late queries may use, so that they do not keep out those in time.
const LATE_LIMIT_SHARE: f64 = 0.75;

/// The time to come back where little is refused.
const MIN_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(30);

/// The longest time to come back.
const MAX_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(2);

/// A `GateQuery` is a query that asks for its turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateQuery {
    /// Its number, unique within the gate.
    pub id: u64,
    /// Its rank among routes; 0 goes first.
    pub rank: u32,
    /// The latency target of its route.
    pub latency_target: TimeSpan,
    /// Whether its answer will be late whatever is done, because its caller has waited before.
    pub is_late: bool,
}

/// A `GateRefusal` is the answer to a query that was not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateRefusal {
    /// Why.
    pub reason: GateReason,
    /// When its caller should come back, before it is spread.
    pub retry_after: TimeSpan,
}

/// A `GateReason` is why a query was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateReason {
    /// There is no room, and the wait for it would be too long.
    NoRoom,
    /// A query of a better rank took its place.
    Outranked,
    /// It waited for as long as is worth it.
    WaitOver,
}

/// A `GateDecision` says what becomes of a query on its arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GateDecision {
    /// It goes now.
    Admit,
    /// It waits.
    Wait {
        /// Until when at the longest.
        until: TimePoint,
        /// The query that makes way for it, if any; it is refused.
        outranked: Option<u64>,
    },
    /// It is refused.
    Refuse(GateRefusal),
}

/// A `QueryGate` decides on the queries of one front over one set of shards.
#[derive(Clone, Debug, Default)]
pub struct QueryGate {
    limit: ConcurrencyLimit,
    in_flight: usize,
    run_time: RunningMean,
    waiting: Vec<WaitingQuery>,
    ranks: SmallVec<[RankRates; 4]>,
}

#[derive(Clone, Copy, Debug)]
struct WaitingQuery {
    query: GateQuery,
    arrived_at: TimePoint,
}

#[derive(Clone, Copy, Debug)]
struct RankRates {
    rank: u32,
    offered: RateMeter,
    admitted: RateMeter,
}

impl QueryGate {
    /// Decides on a query that arrives.
    pub fn offer(&mut self, query: GateQuery, now: TimePoint) -> GateDecision {
        self.rank_rates(query.rank).offered.add(1.0, now);
        if self.waiting.is_empty() && self.fits(&query) {
            self.admit(query.rank, now);
            return GateDecision::Admit;
        }
        let max_wait = query.latency_target.mul_f64(MAX_WAIT_SHARE);
        let arrival = WaitingQuery {
            query,
            arrived_at: now,
        };
        let position = self.queue_position(&arrival, now);
        if self.expected_wait(&query, position) > max_wait {
            return GateDecision::Refuse(self.refusal(GateReason::NoRoom, now));
        }
        self.waiting.insert(position, arrival);
        GateDecision::Wait {
            until: now + max_wait,
            outranked: self.displace_last(now),
        }
    }

    /// Gets the next waiting query that goes now; call it until there is none, after each end.
    pub fn next_ready(&mut self, now: TimePoint) -> Option<u64> {
        let first = (0..self.waiting.len())
            .min_by_key(|position| self.order_key(&self.waiting[*position], now))?;
        if !self.fits(&self.waiting[first].query) {
            return None;
        }
        let WaitingQuery { query, .. } = self.waiting.remove(first);
        self.admit(query.rank, now);
        Some(query.id)
    }

    /// Takes out a waiting query, because its wait is over or its caller has gone.
    pub fn cancel(&mut self, id: u64, now: TimePoint) -> GateRefusal {
        self.waiting.retain(|waiting| waiting.query.id != id);
        self.refusal(GateReason::WaitOver, now)
    }

    /// Gets the answer to a query that had to make way.
    #[must_use]
    pub fn outranked_refusal(&self, now: TimePoint) -> GateRefusal {
        self.refusal(GateReason::Outranked, now)
    }

    /// Notes the end of a query that stayed for `stay`.
    pub fn record_finished(&mut self, run_time: TimeSpan, signal: QuerySignal) {
        self.limit.record_finished(signal, self.in_flight);
        self.run_time.add(run_time, RUN_TIME_WINDOW);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes back the turn of a query that was not sent, because its caller left at that moment.
    pub const fn release_unused(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns true where nothing is in flight and nothing waits.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.waiting.is_empty()
    }

    fn fits(&self, query: &GateQuery) -> bool {
        let share = if query.is_late { LATE_LIMIT_SHARE } else { 1.0 };
        self.limit.fits(self.in_flight, share)
    }

    fn admit(&mut self, rank: u32, now: TimePoint) {
        self.in_flight += 1;
        self.rank_rates(rank).admitted.add(1.0, now);
    }

    /// Gets the place of a newcomer among those that wait.
    fn queue_position(&self, arrival: &WaitingQuery, now: TimePoint) -> usize {
        let arrival_key = self.order_key(arrival, now);
        let before = self.waiting.iter();
        before
            .filter(|waiting| self.order_key(waiting, now) <= arrival_key)
            .count()
    }

    /// Takes out the last in line where its wait has become too long by a newcomer before it.
    fn displace_last(&mut self, now: TimePoint) -> Option<u64> {
        let last_position = self.waiting.len() - 1;
        let last = self.waiting[last_position];
        let remaining_wait = last
            .query
            .latency_target
            .mul_f64(MAX_WAIT_SHARE)
            .saturating_sub(now.since(last.arrived_at));
        if last_position == 0 || self.expected_wait(&last.query, last_position) <= remaining_wait {
            return None;
        }
        self.waiting.pop();
        Some(last.query.id)
    }

    /// Gets the order in which queries go: those that can be in time first, then ranks that are behind
    /// their part, then by rank, then by arrival.
    fn order_key(&self, waiting: &WaitingQuery, now: TimePoint) -> (bool, bool, u32, TimePoint) {
        let GateQuery { rank, is_late, .. } = waiting.query;
        (
            is_late,
            !self.is_underserved(rank, now),
            rank,
            waiting.arrived_at,
        )
    }

    /// Returns true where a rank is served less than its part of what the best rank is.
    fn is_underserved(&self, rank: u32, now: TimePoint) -> bool {
        let best = self.ranks.iter().min_by_key(|rates| rates.rank);
        let own = self.ranks.iter().find(|rates| rates.rank == rank);
        match (best, own) {
            (Some(best), Some(own)) if best.rank != rank => {
                own.served_share(now) < best.served_share(now) * MIN_SERVED_SHARE_RATIO
            }
            _ => false,
        }
    }

    /// Estimates the wait of a query with `before` others before it, by Little's law.
    fn expected_wait(&self, query: &GateQuery, ahead: usize) -> TimeSpan {
        // Before the first query has ended it may take all its time.
        let run_time = self.run_time.get().unwrap_or(query.latency_target);
        run_time.mul_f64((ahead + 1) as f64 / self.limit.get())
    }

    fn refusal(&self, reason: GateReason, now: TimePoint) -> GateRefusal {
        let rate = |meter: fn(&RankRates) -> &RateMeter| -> f64 {
            self.ranks
                .iter()
                .map(|rates| meter(rates).per_second(now))
                .sum()
        };
        let offered = rate(|rates| &rates.offered);
        let admitted = rate(|rates| &rates.admitted).max(1.0);
        let excess = (offered / admitted).max(1.0);
        GateRefusal {
            reason,
            retry_after: MIN_RETRY_AFTER.mul_f64(excess).min(MAX_RETRY_AFTER),
        }
    }

    fn rank_rates(&mut self, rank: u32) -> &mut RankRates {
        let index = self.ranks.iter().position(|rates| rates.rank == rank);
        let index = index.unwrap_or_else(|| {
            self.ranks.push(RankRates {
                rank,
                offered: RateMeter::new(RANK_RATE_TIME_CONSTANT),
                admitted: RateMeter::new(RANK_RATE_TIME_CONSTANT),
            });
            self.ranks.len() - 1
        });
        &mut self.ranks[index]
    }
}

impl RankRates {
    /// Gets the part of its queries that were admitted of late, 1 where none came.
    fn served_share(&self, now: TimePoint) -> f64 {
        let offered = self.offered.per_second(now);
        if offered <= 0.0 {
            return 1.0;
        }
        self.admitted.per_second(now) / offered
    }
}
