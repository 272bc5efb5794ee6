//! The part of an entry's admission that belongs to one service: estimates and counts.

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

/// The number of ended queries over which a template's latency is followed.
const LATENCY_WINDOW: u32 = 64;
/// The least share of the service that is reckoned for a class below others that fill it.
const MIN_CLASS_SHARE: f64 = 1.0 / AGED_ADMISSION_INTERVAL as f64;

/// The least part of the estimated rate that is reckoned where less was admitted: when a burst
/// begins, little was admitted because little was asked for.
const MIN_RATE_SHARE: f64 = 0.3;

/// The share of the service below which the classes above don't matter.
const NEGLIGIBLE_SHARE: f64 = 0.02;

/// A `ServiceLane` is the part of the gate that belongs to one service.
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

/// A `TemplateLatency` is the mean of a template's latency and of its distance from the mean.
#[derive(Clone, Copy, Debug, Default)]
struct TemplateLatency {
    mean: RunningMean,
    deviation: RunningMean,
}

/// A `WaitEstimate` is what a query would meet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitEstimate {
    pub(crate) wait: TimeSpan,
    pub(crate) latency: TimeSpan,
}

/// A `ServiceLoad` is the load of one service as an entry sees it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ServiceLoad {
    /// The limit in queries per shard.
    pub limit: f64,
    /// The attempts of the queries in flight.
    pub in_flight: u64,
    /// The number of waiting queries.
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

    /// Estimates the wait for admission and the latency after it.
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
        // A class that gets turns by aging alone would wait for them in the relays' queues.
        let starts_now = self.queue.is_empty() && self.may_start(request, weight, now);
        if starts_now && aging_wait == 0.0 {
            let wait = TimeSpan::ZERO;
            return WaitEstimate { wait, latency };
        }
        let wait_for_higher = self.queue.cost_above(class) as f64 / rate;
        let own_cost = f64::from(request.fan_out);
        let cost_to_own_turn =
            self.queue.cost_before(class, team, key, request.fan_out) as f64 + own_cost;
        // The due part is the least; what other teams leave over shows in what was admitted.
        let wait =
            wait_for_higher + cost_to_own_turn / self.team_rate(class, team, weight, rate, now);
        let wait = (aging_wait + wait).max(self.key_wait(request));
        let wait = TimeSpan::from_secs(1).mul_f64(wait);
        WaitEstimate { wait, latency }
    }

    /// Estimates the attempts per second that the service ends for a team of a class that gets
    /// `left`.
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
            // It lives on what others leave over, and that shows in what was admitted.
            return usage.min(class_rate);
        }
        // Below its due, it shares with the waiting teams that have used about as little.
        let competing_weight = self.queue.competing_weight(class, team, weight, now);
        (class_rate * f64::from(weight) / competing_weight).max(fair_rate)
    }

    /// Estimates the attempts per second that the service ends for a class, and the wait in seconds
    /// before its first turn.
    fn class_rate(&self, class: QueryClass, now: TimePoint) -> (f64, f64) {
        let total_rate = self.capacity.completion_rate();
        let higher_rate: f64 = QueryClass::ALL[..usize::from(class.rank())]
            .iter()
            .map(|higher| self.offered_cost.per_second(higher, now))
            .sum();
        let remaining_share = 1.0 - higher_rate / total_rate;
        // A class that higher ones leave nothing gets turns by aging alone.
        if remaining_share < MIN_CLASS_SHARE {
            return (total_rate * MIN_CLASS_SHARE, AGING_THRESHOLD.as_secs_f64());
        }
        let remaining_rate = total_rate * remaining_share;
        if self.queue.cost_in(class) == 0 || higher_rate < total_rate * NEGLIGIBLE_SHARE {
            return (remaining_rate, 0.0);
        }
        // A difference of two estimates is uncertain: while the class has a backlog, what was admitted
        // of it says what it really gets.
        let admitted = self.admitted_cost.per_second(&class, now);
        (
            admitted.clamp(remaining_rate * MIN_RATE_SHARE, remaining_rate),
            0.0,
        )
    }

    /// Estimates the wait that the bound of the key causes, in seconds.
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

    pub(crate) fn may_start(&self, request: &AdmitRequest, weight: u32, now: TimePoint) -> bool {
        let is_preferred = self.is_preferred(request.class, &request.team, weight, now);
        self.capacity.fits(request.fan_out, is_preferred) && self.key_has_capacity(request.key)
    }

    /// Returns true for the queries that the relays let go first.
    fn is_preferred(&self, class: QueryClass, team: &TeamId, weight: u32, now: TimePoint) -> bool {
        class == QueryClass::Urgent || self.team_share.is_below_fair_share(team, weight, now)
    }

    fn key_has_capacity(&self, key: u64) -> bool {
        let in_flight = self.keys_in_flight.get(&key).copied().unwrap_or(0);
        f64::from(in_flight) + 0.5 <= self.capacity.limit()
    }

    /// Notes a query that is admitted without waiting.
    pub(crate) fn record_admitted(&mut self, request: &AdmitRequest, weight: u32, now: TimePoint) {
        let (class, team) = (request.class, &request.team);
        self.queue
            .record_admitted(class, team, weight, request.key, request.fan_out, now);
    }

    /// Takes the next waiting query that may start.
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

    /// Gets how far the query's team or key is above its share, from 0 to 1.
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

    /// Gets the latency that most queries stay below.
    fn likely_latency(&self) -> TimeSpan {
        self.mean.get().unwrap_or_default() + self.deviation.get().unwrap_or_default()
    }
}
