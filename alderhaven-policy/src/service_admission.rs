//! Admission state of one service: its capacity, its waiting queries and its wait estimates.
//!
//! A key may have no more queries in flight than one shard can run, because all queries of a key
//! run on the same shards.

use std::collections::HashMap;

use alderhaven_core::class::QueryClass;
use alderhaven_core::ids::{TeamId, TemplateName};
use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::Serialize;

use crate::admit_decision::{AdmitRequest, AdmitTicket};
use crate::fair_queue::{AGED_ADMISSION_INTERVAL, AGING_THRESHOLD, FairQueue, WaitingQuery};
use crate::running_mean::RunningMean;
use crate::service_capacity::{QueryReport, ServiceCapacity, ServiceCapacityOptions, ServiceSize};
use crate::share_meter::ShareMeter;

/// Number of finished queries that a template's latency estimate covers.
const LATENCY_WINDOW: u32 = 64;
/// Smallest share of the service that is estimated for a class when higher classes fill it.
const MIN_CLASS_SHARE: f64 = 1.0 / AGED_ADMISSION_INTERVAL as f64;

/// Smallest share of the estimated rate to assume if fewer queries were admitted: at the start of a
/// burst few were admitted because few had arrived.
const MIN_RATE_SHARE: f64 = 0.3;

/// Share of the service's rate below which higher classes are ignored.
const NEGLIGIBLE_SHARE: f64 = 0.02;

/// Admission state of one service at an entry.
#[derive(Debug)]
pub(crate) struct ServiceAdmission {
    pub(crate) capacity: ServiceCapacity,
    pub(crate) queue: FairQueue,
    pub(crate) waiting_requests: HashMap<u64, AdmitRequest>,
    keys_in_flight: HashMap<u64, u32>,
    team_share: ShareMeter<TeamId>,
    key_share: ShareMeter<u64>,
    pub(crate) offered_cost: ShareMeter<QueryClass>,
    admitted_cost: ShareMeter<QueryClass>,
    latencies: HashMap<TemplateName, TemplateLatency>,
}

/// Mean latency of a template and its mean absolute deviation.
#[derive(Clone, Copy, Debug, Default)]
struct TemplateLatency {
    mean: RunningMean,
    deviation: RunningMean,
}

/// Estimated wait for admission and latency after it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitEstimate {
    pub(crate) wait: TimeSpan,
    pub(crate) latency: TimeSpan,
}

/// Load of one service as this entry sees it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ServiceLoad {
    /// Limit on the attempts in flight per shard.
    pub limit: f64,
    /// Number of attempts that have not ended.
    pub in_flight: u64,
    /// Number of queries that wait for admission.
    pub waiting: usize,
}

impl ServiceAdmission {
    pub(crate) fn new(options: ServiceCapacityOptions, size: ServiceSize) -> Self {
        Self {
            capacity: ServiceCapacity::new(options, size),
            queue: FairQueue::default(),
            waiting_requests: HashMap::new(),
            keys_in_flight: HashMap::new(),
            team_share: ShareMeter::default(),
            key_share: ShareMeter::default(),
            offered_cost: ShareMeter::default(),
            admitted_cost: ShareMeter::default(),
            latencies: HashMap::new(),
        }
    }

    /// Estimates the wait for admission and the latency of a query that arrives now.
    pub(crate) fn estimate(
        &self,
        request: &AdmitRequest,
        weight: u32,
        now: TimePoint,
    ) -> WaitEstimate {
        let latency = self
            .latencies
            .get(&request.template)
            .map_or(TimeSpan::ZERO, TemplateLatency::likely_latency);
        let (class, team, key) = (request.class, &request.team, request.key);
        let (rate, aging_wait) = self.class_rate(class, now);
        // A class that runs by aging alone would wait in the relays' queues even if admitted now.
        let starts_now = self.queue.is_empty() && self.may_start(request, weight, now);
        if starts_now && aging_wait == 0.0 {
            let wait = TimeSpan::ZERO;
            return WaitEstimate { wait, latency };
        }
        let wait_for_higher = self.queue.cost_above(class) as f64 / rate;
        let own_cost = f64::from(request.fan_out);
        let cost_to_own_turn =
            self.queue.cost_before(class, team, key, request.fan_out) as f64 + own_cost;
        // The fair share is the lower bound; unused shares of other teams show in the admitted
        // rate.
        let wait =
            wait_for_higher + cost_to_own_turn / self.team_rate(class, team, weight, rate, now);
        let wait = (aging_wait + wait).max(self.key_wait(request));
        let wait = TimeSpan::from_secs(1).mul_f64(wait);
        WaitEstimate { wait, latency }
    }

    /// Estimates the attempts per second that complete for a team in a class with this rate.
    fn team_rate(
        &self,
        class: QueryClass,
        team: &TeamId,
        weight: u32,
        class_rate: f64,
        now: TimePoint,
    ) -> f64 {
        let fair_rate = class_rate * self.team_share.fair_share(team, weight, now);
        let usage = self.queue.usage_per_second(class, team, now);
        if usage > fair_rate {
            // The team uses capacity that others leave, and its admitted rate shows how much.
            return usage.min(class_rate);
        }
        // Below its fair share, the team competes with waiting teams of similar usage.
        let competing_weight = self.queue.competing_weight(class, team, weight, now);
        (class_rate * f64::from(weight) / competing_weight).max(fair_rate)
    }

    /// Estimates the attempts per second that complete for a class, and the wait in seconds before
    /// its first turn.
    fn class_rate(&self, class: QueryClass, now: TimePoint) -> (f64, f64) {
        let total_rate = self.capacity.completion_rate();
        let higher_rate: f64 = QueryClass::ALL[..usize::from(class.rank())]
            .iter()
            .map(|higher| self.offered_cost.per_second(higher, now))
            .sum();
        let remaining_share = 1.0 - higher_rate / total_rate;
        // Aging alone gives turns to a class that higher classes leave no capacity for.
        if remaining_share < MIN_CLASS_SHARE {
            return (total_rate * MIN_CLASS_SHARE, AGING_THRESHOLD.as_secs_f64());
        }
        let remaining_rate = total_rate * remaining_share;
        if self.queue.cost_in(class) == 0 || higher_rate < total_rate * NEGLIGIBLE_SHARE {
            return (remaining_rate, 0.0);
        }
        // The remaining rate is a difference of two estimates. While the class has a backlog, its
        // admitted rate is more reliable.
        let admitted = self.admitted_cost.per_second(&class, now);
        (
            admitted.clamp(remaining_rate * MIN_RATE_SHARE, remaining_rate),
            0.0,
        )
    }

    /// Estimates the wait in seconds that the limit on the query's key causes.
    fn key_wait(&self, request: &AdmitRequest) -> f64 {
        if self.key_has_capacity(request.key) {
            return 0.0;
        }
        let waiting = self
            .queue
            .waiting_of_key(request.class, &request.team, request.key);
        let turns = (waiting + 1) as f64 / self.capacity.limit();
        turns * self.capacity.mean_latency().as_secs_f64()
    }

    /// Returns true if both the service and the key have capacity for the query.
    pub(crate) fn may_start(&self, request: &AdmitRequest, weight: u32, now: TimePoint) -> bool {
        let is_preferred = self.is_preferred(request.class, &request.team, weight, now);
        self.capacity.fits(request.fan_out, is_preferred) && self.key_has_capacity(request.key)
    }

    /// Returns true for queries that the relays serve first, which may use the headroom.
    fn is_preferred(&self, class: QueryClass, team: &TeamId, weight: u32, now: TimePoint) -> bool {
        class == QueryClass::Urgent || self.team_share.is_below_fair_share(team, weight, now)
    }

    fn key_has_capacity(&self, key: u64) -> bool {
        let in_flight = self.keys_in_flight.get(&key).copied().unwrap_or(0);
        f64::from(in_flight) + 0.5 <= self.capacity.limit()
    }

    /// Charges a query that is admitted without waiting to its team and key.
    pub(crate) fn record_admitted(&mut self, request: &AdmitRequest, weight: u32, now: TimePoint) {
        let (class, team) = (request.class, &request.team);
        self.queue
            .record_admitted(class, team, weight, request.key, request.fan_out, now);
    }

    /// Removes and returns the next waiting query that may start, with its effective class.
    pub(crate) fn pop(&mut self, now: TimePoint) -> Option<(AdmitRequest, QueryClass)> {
        if self.queue.is_empty() {
            return None;
        }
        let may_run = |query: &WaitingQuery| {
            let is_preferred = self.is_preferred(query.class, &query.team, query.weight, now);
            self.capacity.fits(query.cost, is_preferred) && self.key_has_capacity(query.key)
        };
        let picked = self.queue.pick(now, may_run)?;
        let (query, class) = self.queue.take(&picked, now)?;
        let request = self.waiting_requests.remove(&query.id)?;
        Some((request, class))
    }

    /// Counts a query as started and issues its ticket.
    pub(crate) fn admit(
        &mut self,
        request: AdmitRequest,
        weight: u32,
        max_penalty: TimeSpan,
        now: TimePoint,
    ) -> AdmitTicket {
        let cost = f64::from(request.fan_out);
        self.capacity.record_started(request.fan_out);
        *self.keys_in_flight.entry(request.key).or_default() += 1;
        self.team_share.add(&request.team, weight, cost, now);
        self.admitted_cost.add(&request.class, 1, cost, now);
        self.key_share.add(&request.key, 1, cost, now);
        AdmitTicket {
            class: request.class,
            order_at: now + max_penalty.mul_f64(self.excess(&request, now)),
            request,
            admitted_at: now,
            replied: 0,
        }
    }

    /// Updates the capacity, the key's count and the template's latency from a query that has
    /// ended.
    pub(crate) fn record_finished(
        &mut self,
        ticket: &AdmitTicket,
        report: QueryReport,
        now: TimePoint,
    ) {
        let request = &ticket.request;
        let latency = now.since(ticket.admitted_at);
        let unreplied = request.fan_out.saturating_sub(ticket.replied);
        let has_backlog = !self.queue.is_empty();
        self.capacity
            .record_finished(request.fan_out, unreplied, latency, report, has_backlog);
        if let Some(count) = self.keys_in_flight.get_mut(&request.key) {
            *count -= 1;
            if *count == 0 {
                self.keys_in_flight.remove(&request.key);
            }
        }
        if let Some(latencies) = self.latencies.get_mut(&request.template) {
            latencies.add(latency);
        } else {
            let mut latencies = TemplateLatency::default();
            latencies.add(latency);
            self.latencies.insert(request.template.clone(), latencies);
        }
    }

    /// Returns how far the query's team or key is above its fair share, from 0 to 1.
    fn excess(&self, request: &AdmitRequest, now: TimePoint) -> f64 {
        let by_team = self.team_share.excess(&request.team, now);
        let by_key = self.key_share.excess(&request.key, now);
        by_team.max(by_key)
    }
}

impl TemplateLatency {
    fn add(&mut self, latency: TimeSpan) {
        let mean = self.mean.get().unwrap_or(latency);
        let deviation = if latency > mean {
            latency.saturating_sub(mean)
        } else {
            mean.saturating_sub(latency)
        };
        self.mean.add(latency, LATENCY_WINDOW);
        self.deviation.add(deviation, LATENCY_WINDOW);
    }

    /// Returns a latency that most queries of the template don't exceed.
    fn likely_latency(&self) -> TimeSpan {
        self.mean.get().unwrap_or_default() + self.deviation.get().unwrap_or_default()
    }
}
