//! Admission control of a front for the queries over one set of shards.
//!
//! Whole queries are admitted, queued or refused before any attempt is sent, so that a refused
//! query certainly didn't run. [`ConcurrencyLimit`] bounds the queries in flight. Some more wait in
//! the order of their ranks; a worse rank goes first while its served share is below a fixed part
//! of the best rank's. A query that would wait for too long is refused on arrival, and a waiting
//! one is refused when a better rank displaces it. While capacity is short, worse ranks leave room for
//! the queries of better ranks that are about to arrive, since an urgent query with a short latency
//! target can't wait for a long one to end. The retry time grows with the share of refused queries.

use std::cmp::Ordering;

use alderhaven_core::time::{TimePoint, TimeSpan};
use smallvec::SmallVec;

use crate::concurrency_limit::{ConcurrencyLimit, QuerySignal};
use crate::query_rank::QueryRank;
use crate::rate_meter::RateMeter;
use crate::running_mean::RunningMean;
use crate::share_meter::ShareMeter;

/// Longest wait for admission, as a share of the latency target.
const MAX_WAIT_SHARE: f64 = 0.2;

/// Number of finished queries that the mean run time covers.
const RUN_TIME_WINDOW: u32 = 24;

/// Time constant of the rates at which queries of a rank are offered and admitted.
const RANK_RATE_TIME_CONSTANT: TimeSpan = TimeSpan::from_millis(1_500);

/// Smallest served share of a worse rank, relative to that of the best rank. Callers of a worse rank
/// are served for most of their queries, and the preference of the best rank stays visible.
const MIN_SERVED_SHARE_RATIO: f64 = 0.7;

/// Share of the limit that late queries may use, so that they don't keep out queries that can be in
/// time.
const LATE_LIMIT_SHARE: f64 = 0.3;

/// Time for which capacity counts as short after a query had to wait or was refused. Refused callers
/// return within this time.
const SHORTAGE_TIME: TimeSpan = TimeSpan::from_millis(500);

/// Largest share of the limit that worse ranks leave to better ones.
const MAX_HEADROOM_SHARE: f64 = 0.5;

/// Room for better ranks, as a multiple of the expected number of their queries in flight and its
/// standard deviation. Arrivals at one front are few and irregular, so that the expected number
/// alone is often exceeded.
const HEADROOM_FACTOR: f64 = 2.0;

/// Weight of a team within its rank.
const TEAM_WEIGHT: u32 = 1;

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
    /// Expected work of the query at each target.
    pub work: TimeSpan,
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
    kinds: SmallVec<[KindState; 4]>,
    team_usage: ShareMeter<u64>,
    short_until: TimePoint,
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

/// Queries of one rank and latency target.
#[derive(Clone, Copy, Debug)]
struct KindState {
    rank: QueryRank,
    latency_target: TimeSpan,
    offered: RateMeter,
    in_flight: usize,
    run_time: RunningMean,
}

/// Sort key of waiting queries; the least goes first.
#[derive(Clone, Copy, Debug)]
struct OrderKey {
    is_late: bool,
    is_served_enough: bool,
    rank: QueryRank,
    team_usage: f64,
    arrived_at: TimePoint,
}

impl QueryGate {
    /// Decides on an arriving query.
    pub fn offer(&mut self, query: GateQuery, now: TimePoint) -> GateDecision {
        self.rank_rates(query.rank).offered.add(1.0, now);
        self.kind_state(&query).offered.add(1.0, now);
        let arrival = WaitingQuery {
            query,
            arrived_at: now,
        };
        // Others may wait for lack of room while this query has some: late ones and worse ranks.
        let position = self.queue_position(&arrival, now);
        if position == 0 && self.fits(&query, now) {
            self.admit(&query, now);
            return GateDecision::Admit;
        }
        self.short_until = now + SHORTAGE_TIME;
        let max_wait = query.latency_target.mul_f64(MAX_WAIT_SHARE);
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
        let first = (0..self.waiting.len()).min_by(|left, right| {
            let key = |position: usize| self.order_key(&self.waiting[position], now);
            key(*left).total_cmp(&key(*right))
        })?;
        if !self.fits(&self.waiting[first].query, now) {
            return None;
        }
        let WaitingQuery { query, .. } = self.waiting.remove(first);
        self.admit(&query, now);
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
    pub fn record_finished(&mut self, query: &GateQuery, run_time: TimeSpan, signal: QuerySignal) {
        self.limit.record_finished(signal, self.in_flight);
        self.run_time.add(run_time, RUN_TIME_WINDOW);
        let kind = self.kind_state(query);
        kind.run_time.add(run_time, RUN_TIME_WINDOW);
        self.release_unused(query);
    }

    /// Releases an admitted query that was not sent because its caller had disconnected.
    pub fn release_unused(&mut self, query: &GateQuery) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let kind = self.kind_state(query);
        kind.in_flight = kind.in_flight.saturating_sub(1);
    }

    /// Returns the current limit on queries in flight.
    #[must_use]
    pub const fn limit(&self) -> f64 {
        self.limit.get()
    }

    /// Returns the number of waiting queries.
    #[must_use]
    pub const fn queue_length(&self) -> usize {
        self.waiting.len()
    }

    /// Returns true if no query is in flight or waiting.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.waiting.is_empty()
    }

    fn fits(&self, query: &GateQuery, now: TimePoint) -> bool {
        let share = if query.is_late { LATE_LIMIT_SHARE } else { 1.0 };
        let load = self.in_flight as f64 + self.headroom_for_better(query.rank, now);
        load < self.limit.get() * share
    }

    /// Returns true if queries have recently waited or been refused.
    fn is_short(&self, now: TimePoint) -> bool {
        now < self.short_until
    }

    /// Returns the part of the limit that queries of this rank leave to better ranks, in queries.
    fn headroom_for_better(&self, rank: QueryRank, now: TimePoint) -> f64 {
        if !self.is_short(now) || self.is_underserved(rank, now) {
            return 0.0;
        }
        let better = self.kinds.iter().filter(|kind| kind.rank < rank);
        let headroom: f64 = better.map(|kind| kind.unused_headroom(now)).sum();
        headroom.min(self.limit.get() * MAX_HEADROOM_SHARE)
    }

    fn admit(&mut self, query: &GateQuery, now: TimePoint) {
        self.in_flight += 1;
        self.rank_rates(query.rank).admitted.add(1.0, now);
        self.kind_state(query).in_flight += 1;
        let cost = query.work.as_secs_f64();
        self.team_usage.add(&query.team, TEAM_WEIGHT, cost, now);
    }

    /// Returns the number of waiting queries that go before this one.
    fn queue_position(&self, arrival: &WaitingQuery, now: TimePoint) -> usize {
        let arrival_key = self.order_key(arrival, now);
        let before = self.waiting.iter();
        before
            .filter(|waiting| self.order_key(waiting, now).total_cmp(&arrival_key).is_le())
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

    /// Returns the sort key of a waiting query: late ones last, underserved ranks first, then by
    /// rank, recent use of the team and arrival.
    fn order_key(&self, waiting: &WaitingQuery, now: TimePoint) -> OrderKey {
        let GateQuery {
            rank,
            team,
            is_late,
            ..
        } = waiting.query;
        OrderKey {
            is_late,
            is_served_enough: !self.is_underserved(rank, now),
            rank,
            team_usage: self.team_usage.per_second(&team, now),
            arrived_at: waiting.arrived_at,
        }
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

    fn kind_state(&mut self, query: &GateQuery) -> &mut KindState {
        let index = self.kinds.iter().position(|kind| kind.is_of(query));
        let index = index.unwrap_or_else(|| {
            self.kinds.push(KindState {
                rank: query.rank,
                latency_target: query.latency_target,
                offered: RateMeter::new(RANK_RATE_TIME_CONSTANT),
                in_flight: 0,
                run_time: RunningMean::default(),
            });
            self.kinds.len() - 1
        });
        &mut self.kinds[index]
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

impl KindState {
    fn is_of(&self, query: &GateQuery) -> bool {
        self.rank == query.rank && self.latency_target == query.latency_target
    }

    /// Returns the room that this kind needs beyond its queries in flight, by Little's law.
    fn unused_headroom(&self, now: TimePoint) -> f64 {
        let run_time = self.run_time.get().unwrap_or_default();
        let expected = self.offered.per_second(now) * run_time.as_secs_f64();
        let needed = HEADROOM_FACTOR * (expected + expected.sqrt());
        (needed - self.in_flight as f64).max(0.0)
    }
}

impl OrderKey {
    fn total_cmp(&self, other: &Self) -> Ordering {
        self.is_late
            .cmp(&other.is_late)
            .then(self.is_served_enough.cmp(&other.is_served_enough))
            .then(self.rank.cmp(&other.rank))
            .then(self.team_usage.total_cmp(&other.team_usage))
            .then(self.arrived_at.cmp(&other.arrived_at))
    }
}
