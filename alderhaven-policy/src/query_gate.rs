//! Admission control of a front for the queries over one set of shards.
//!
//! Whole queries are admitted, queued or refused before any attempt is sent, so that a refused
//! query certainly didn't run. [`ConcurrencyLimit`] bounds the queries in flight. Some more wait in
//! the order of their ranks; a worse rank goes first while its served share is below a fixed part
//! of the best rank's. A query that would wait for too long is refused on arrival, and a waiting
//! one is refused when a better rank displaces it. The retry time grows with the share of refused
//! queries.

use alderhaven_core::time::{TimePoint, TimeSpan};
use smallvec::SmallVec;

use crate::concurrency_limit::{ConcurrencyLimit, QuerySignal};
use crate::query_rank::QueryRank;
use crate::rate_meter::RateMeter;
use crate::running_mean::RunningMean;

/// Longest wait for admission, as a share of the latency target.
const MAX_WAIT_SHARE: f64 = 0.2;

/// Number of finished queries that the mean run time covers.
const RUN_TIME_WINDOW: u32 = 24;

/// Time constant of the rates at which queries of a rank are offered and admitted.
const RANK_RATE_TIME_CONSTANT: TimeSpan = TimeSpan::from_millis(1_500);

/// Smallest served share of a worse rank, relative to that of the best rank.
const MIN_SERVED_SHARE_RATIO: f64 = 0.5;

/// Share of the limit that late queries may use, so that they don't keep out queries that can be in
/// time.
const LATE_LIMIT_SHARE: f64 = 0.75;

/// Retry time if few queries are refused.
const MIN_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(30);

/// Longest retry time.
const MAX_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(2);

/// A query that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateQuery {
    /// Query id, unique within the gate.
    pub id: u64,
    /// Rank of the query; the smallest is served first.
    pub rank: QueryRank,
    /// Hash of the name of the query's team; 0 without a team.
    pub team: u64,
    /// Latency target of the query's route.
    pub latency_target: TimeSpan,
    /// True if the answer will be late anyway, because the caller had waited before.
    pub is_late: bool,
}

/// Answer to a query that was not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateRefusal {
    /// Why the gate refused the query.
    pub reason: GateReason,
    /// Time after which the caller should retry, without jitter.
    pub retry_after: TimeSpan,
}

/// Reason for which the gate refused a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateReason {
    /// The limit is reached, and the wait would be too long.
    NoRoom,
    /// A query of a better rank took its place in the queue.
    Outranked,
    /// It waited for the longest time allowed.
    WaitOver,
}

/// Decision on an arriving query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GateDecision {
    /// Run the query now.
    Admit,
    /// The query waits until [`QueryGate::next_ready`] returns it.
    Wait {
        /// Time at which the caller of the gate must cancel the query if it still waits.
        until: TimePoint,
        /// The waiting query that this one displaced, if any; refuse it.
        outranked: Option<u64>,
    },
    /// Refuse the query.
    Refuse(GateRefusal),
}

/// Queries in flight and waiting of one front over one set of shards.
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
    rank: QueryRank,
    offered: RateMeter,
    admitted: RateMeter,
}

impl QueryGate {
    /// Decides on an arriving query.
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

    /// Admits the next waiting query if the limit allows; call it until it returns `None` whenever
    /// a query ends.
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

    /// Removes a waiting query that timed out or whose caller disconnected, and returns its
    /// refusal.
    pub fn cancel(&mut self, id: u64, now: TimePoint) -> GateRefusal {
        self.waiting.retain(|waiting| waiting.query.id != id);
        self.refusal(GateReason::WaitOver, now)
    }

    /// Returns the refusal of a query that was displaced.
    #[must_use]
    pub fn outranked_refusal(&self, now: TimePoint) -> GateRefusal {
        self.refusal(GateReason::Outranked, now)
    }

    /// Releases an admitted query that ended after `run_time` and adjusts the limit.
    pub fn record_finished(&mut self, run_time: TimeSpan, signal: QuerySignal) {
        self.limit.record_finished(signal, self.in_flight);
        self.run_time.add(run_time, RUN_TIME_WINDOW);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Releases an admitted query that was not sent because its caller had disconnected.
    pub const fn release_unused(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns true if no query is in flight or waiting.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.waiting.is_empty()
    }

    fn fits(&self, query: &GateQuery) -> bool {
        let share = if query.is_late { LATE_LIMIT_SHARE } else { 1.0 };
        self.limit.fits(self.in_flight, share)
    }

    fn admit(&mut self, rank: QueryRank, now: TimePoint) {
        self.in_flight += 1;
        self.rank_rates(rank).admitted.add(1.0, now);
    }

    /// Returns the number of waiting queries that go before this one.
    fn queue_position(&self, arrival: &WaitingQuery, now: TimePoint) -> usize {
        let arrival_key = self.order_key(arrival, now);
        let before = self.waiting.iter();
        before
            .filter(|waiting| self.order_key(waiting, now) <= arrival_key)
            .count()
    }

    /// Removes the last waiting query if an arrival before it has made its wait too long.
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

    /// Returns the sort key of waiting queries: late ones last, underserved ranks first, then by
    /// rank and arrival.
    fn order_key(
        &self,
        waiting: &WaitingQuery,
        now: TimePoint,
    ) -> (bool, bool, QueryRank, TimePoint) {
        let GateQuery { rank, is_late, .. } = waiting.query;
        (
            is_late,
            !self.is_underserved(rank, now),
            rank,
            waiting.arrived_at,
        )
    }

    /// Returns true if a worse rank is served less than its part of the best rank's served share.
    fn is_underserved(&self, rank: QueryRank, now: TimePoint) -> bool {
        let best = self.ranks.iter().min_by_key(|rates| rates.rank);
        let own = self.ranks.iter().find(|rates| rates.rank == rank);
        match (best, own) {
            (Some(best), Some(own)) if best.rank != rank => {
                own.served_share(now) < best.served_share(now) * MIN_SERVED_SHARE_RATIO
            }
            _ => false,
        }
    }

    /// Estimates the wait of a query with `ahead` others before it, by Little's law.
    fn expected_wait(&self, query: &GateQuery, ahead: usize) -> TimeSpan {
        // Until the first query has finished, assume that a query takes its whole target.
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

    fn rank_rates(&mut self, rank: QueryRank) -> &mut RankRates {
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
    /// Returns the admitted share of the rank's recent queries, or 1 if there were none.
    fn served_share(&self, now: TimePoint) -> f64 {
        let offered = self.offered.per_second(now);
        if offered <= 0.0 {
            return 1.0;
        }
        self.admitted.per_second(now) / offered
    }
}
