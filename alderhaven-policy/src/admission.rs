//! Admission at an entry: which queries run now, which wait, and which are refused at once.
//!
//! Load pattern: more queries arrive than the service carries; a burst; one team or one key that
//! offers many times its share.
//!
//! Without it (everything is sent): each shard's queue drops other queries, so under twice the
//! load hardly any query is whole; callers wait until their deadline to hear that they got nothing;
//! a team that floods takes the service from the others.
//!
//! The rules:
//! - Whole queries are shed, before the fan-out. What is in flight per service is bounded by
//!   [`crate::service_capacity::ServiceCapacity`], which is found from what ended queries report.
//! - Waiting queries go by class, then fairly by team weight, then by key ([`crate::fair_queue`]).
//! - A query whose estimated wait exceeds its class's share of its time, or whose wait and latency
//!   together exceed its time, is refused on arrival, with when to come back, spread by jitter so
//!   that refused callers don't return together. One that waits for far longer than was estimated
//!   is refused at half of its time.
//! - One key may have no more in flight than one shard carries: the shards of its queries are
//!   always the same ones.
//! - A team or key above its share is given a later `order` ([`AdmitTicket::order_at`]), so that
//!   the relays too prefer the others.
//!
//! Grounds for the figures: an urgent query is refused last, so it may wait for a third of its time
//! (370 ms: 130) and still have its attempts and hedges. Lower classes may wait for an eighth (44
//! ms), since urgent ones that arrive meanwhile go before them: at a quarter, one in ten was refused
//! only after its wait in the overload test, at an eighth one in a thousand. Beyond 2 s a caller is
//! better served by a refusal. An order lag of 100 ms exceeds the wait that the capacity lets stand
//! in the relays.

use std::collections::HashMap;

use alderhaven_core::class::QueryClass;
use alderhaven_core::ids::{ServiceName, TeamId};
use alderhaven_core::team::TeamPolicy;
use alderhaven_core::time::{TimePoint, TimeSpan};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::admit_decision::{
    AdmitDecision, AdmitRequest, AdmitTicket, ReadyQuery, Refusal, RefusalReason,
};
use crate::fair_queue::WaitingQuery;
use crate::policy_kind::PolicyKind;
use crate::service_admission::{ServiceAdmission, ServiceLoad, WaitEstimate};
use crate::service_capacity::{QueryReport, ServiceCapacityOptions, ServiceSize};
use crate::team_quota::TeamQuota;

/// An `AdmissionOptions` holds the settings of an entry's admission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionOptions {
    /// How the number of queries in flight is found.
    pub capacity: ServiceCapacityOptions,
    /// The share of an urgent query's time that it may wait for its admission.
    pub wait_share: f64,
    /// The same for queries of lower classes, whose wait higher ones may prolong.
    pub lower_wait_share: f64,
    /// The share of its time after which a waiting query is given up on.
    #[serde(rename = "give_up_share")]
    pub queue_timeout_share: f64,
    /// The longest wait for admission.
    pub max_wait: TimeSpan,
    /// The least time after which a refused caller is asked to come back.
    pub min_retry_after: TimeSpan,
    /// The greatest lag of the order of a team or key above its share.
    #[serde(rename = "max_order_lag")]
    pub max_order_penalty: TimeSpan,
    /// The most queries that wait, a bound on memory only.
    pub max_waiting: usize,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            capacity: ServiceCapacityOptions::default(),
            wait_share: 0.55,
            lower_wait_share: 0.12,
            queue_timeout_share: 0.65,
            max_wait: TimeSpan::from_secs(2),
            min_retry_after: TimeSpan::from_millis(50),
            max_order_penalty: TimeSpan::from_millis(100),
            max_waiting: 4096,
        }
    }
}

/// An `AdmissionGate` decides on the queries of one entry.
#[derive(Debug)]
pub struct AdmissionGate {
    options: AdmissionOptions,
    policy: PolicyKind,
    rng: StdRng,
    entries: u32,
    quotas: HashMap<TeamId, TeamQuota>,
    services: HashMap<ServiceName, ServiceAdmission>,
    refused: Vec<ReadyQuery>,
}

impl AdmissionGate {
    /// Returns a gate; `seed` makes the jitter of its refusals repeatable.
    #[must_use]
    pub fn new(policy: PolicyKind, options: AdmissionOptions, seed: u64) -> Self {
        Self {
            options,
            policy,
            rng: StdRng::seed_from_u64(seed),
            entries: 1,
            quotas: HashMap::new(),
            services: HashMap::new(),
            refused: Vec::new(),
        }
    }

    /// Takes over how many entries share the services.
    pub fn set_entries(&mut self, entries: u32, now: TimePoint) {
        self.entries = entries.max(1);
        for quota in self.quotas.values_mut() {
            quota.set_entries(self.entries, now);
        }
        let entries = self.entries;
        for admission in self.services.values_mut() {
            let size = admission.capacity.size();
            admission.capacity.set_size(ServiceSize { entries, ..size });
        }
    }

    /// Takes over a service's number of shards and the slots of all its targets.
    pub fn set_service(&mut self, service: &ServiceName, shards: u32, slots: u32) {
        let size = ServiceSize {
            shards,
            slots,
            entries: self.entries,
        };
        self.services
            .entry(service.clone())
            .or_insert_with(|| ServiceAdmission::new(self.options.capacity.clone(), size))
            .capacity
            .set_size(size);
    }

    /// Takes over what is published for a team.
    pub fn set_team(&mut self, team: &TeamPolicy, now: TimePoint) {
        let entries = self.entries;
        self.quotas
            .entry(team.name.clone())
            .or_default()
            .set_policy(team, entries, now);
    }

    /// Decides on a query that arrives.
    pub fn offer(&mut self, request: AdmitRequest, now: TimePoint) -> AdmitDecision {
        let quota = self.quotas.entry(request.team.clone()).or_default();
        if let Err(refusal) = quota.acquire(now) {
            return AdmitDecision::Refuse(self.with_jitter(refusal));
        }
        let weight = quota.weight();
        let service = request.service.clone();
        let admission = self.services.entry(service.clone()).or_insert_with(|| {
            let size = ServiceSize {
                shards: request.fan_out,
                slots: request.fan_out,
                entries: self.entries,
            };
            ServiceAdmission::new(self.options.capacity.clone(), size)
        });
        if self.policy == PolicyKind::Baseline {
            return AdmitDecision::Admit(admission.admit(request, weight, TimeSpan::ZERO, now));
        }
        admission
            .offered_cost
            .add(&request.class, 1, f64::from(request.fan_out), now);
        let estimate = admission.estimate(&request, weight, now);
        let wait_check = self.options.check_estimate(&request, estimate, now);
        let may_start = admission.may_start(&request, weight, now);
        if may_start && (wait_check.is_ok() || admission.capacity.in_flight() == 0) {
            admission.record_admitted(&request, weight, now);
            let max_penalty = self.options.max_order_penalty;
            return AdmitDecision::Admit(admission.admit(request, weight, max_penalty, now));
        }
        let wait_check = if admission.queue.len() >= self.options.max_waiting {
            Err(RefusalReason::Overloaded)
        } else {
            wait_check
        };
        if let Err(reason) = wait_check {
            if let Some(quota) = self.quotas.get_mut(&request.team) {
                quota.release_refused();
            }
            let retry_after = estimate.wait;
            return AdmitDecision::Refuse(self.with_jitter(Refusal {
                reason,
                retry_after,
            }));
        }
        let query = self.options.waiting_query(&request, weight, estimate, now);
        admission.queue.push(query);
        admission.waiting_requests.insert(request.id, request);
        AdmitDecision::Queue
    }

    /// Gets the next query that waited and can be decided now; call it until it returns none,
    /// after each end of a query and at [`Self::next_give_up`].
    pub fn next_ready(&mut self, now: TimePoint) -> Option<ReadyQuery> {
        self.refuse_expired(now);
        if let Some(refused) = self.refused.pop() {
            return Some(refused);
        }
        for admission in self.services.values_mut() {
            if let Some((request, class)) = admission.pop(now) {
                let weight = self.quotas.get(&request.team).map_or(1, TeamQuota::weight);
                let max_penalty = self.options.max_order_penalty;
                let ticket = AdmitTicket {
                    class,
                    ..admission.admit(request, weight, max_penalty, now)
                };
                return Some(ReadyQuery::Admit(ticket));
            }
        }
        None
    }

    /// Gets the next time at which a waiting query is given up on.
    #[must_use]
    pub fn next_expiry(&self) -> Option<TimePoint> {
        self.services
            .values()
            .filter_map(|admission| admission.queue.next_expiry())
            .min()
    }

    /// Notes that one attempt of a query ended, whatever its outcome: the room that it took is free
    /// for another query, although this one still waits for its slowest shard.
    pub fn record_reply(&mut self, ticket: &mut AdmitTicket) {
        if ticket.replied >= ticket.request.fan_out {
            return;
        }
        ticket.replied += 1;
        if let Some(admission) = self.services.get_mut(&ticket.request.service) {
            admission.capacity.record_replies(1);
        }
    }

    /// Takes back the ticket of a query that ended, with what it says of the load.
    pub fn record_finished(&mut self, ticket: &AdmitTicket, report: QueryReport, now: TimePoint) {
        let request = &ticket.request;
        if let Some(quota) = self.quotas.get_mut(&request.team) {
            quota.release();
        }
        if let Some(admission) = self.services.get_mut(&request.service) {
            admission.record_finished(ticket, report, now);
        }
    }

    /// Takes out a waiting query whose caller has gone; returns false where it does not wait.
    pub fn cancel(&mut self, service: &ServiceName, id: u64) -> bool {
        let Some(admission) = self.services.get_mut(service) else {
            return false;
        };
        let Some(query) = admission.queue.cancel(id) else {
            return false;
        };
        admission.waiting_requests.remove(&id);
        if let Some(quota) = self.quotas.get_mut(&query.team) {
            quota.release();
        }
        true
    }

    /// Gets the load of a service as the gate sees it.
    #[must_use]
    pub fn service_load(&self, service: &ServiceName) -> Option<ServiceLoad> {
        let admission = self.services.get(service)?;
        Some(ServiceLoad {
            limit: admission.capacity.limit(),
            in_flight: admission.capacity.in_flight(),
            waiting: admission.queue.len(),
        })
    }

    fn refuse_expired(&mut self, now: TimePoint) {
        let mut expired = Vec::new();
        for admission in self.services.values_mut() {
            for query in admission.queue.take_expired(now) {
                admission.waiting_requests.remove(&query.id);
                expired.push(query);
            }
        }
        for query in expired {
            if let Some(quota) = self.quotas.get_mut(&query.team) {
                quota.release();
            }
            let refusal = self.with_jitter(Refusal {
                reason: RefusalReason::Overloaded,
                retry_after: now.since(query.arrived_at),
            });
            let id = query.id;
            self.refused.push(ReadyQuery::Refuse { id, refusal });
        }
    }

    /// Spreads the time to come back over its double, so that callers who were refused together
    /// don't return together.
    fn with_jitter(&mut self, refusal: Refusal) -> Refusal {
        let base = refusal.retry_after.max(self.options.min_retry_after);
        let factor = 1.0 + self.rng.random_range(0.0..1.0);
        Refusal {
            retry_after: base.mul_f64(factor),
            ..refusal
        }
    }
}

impl AdmissionOptions {
    fn waiting_query(
        &self,
        request: &AdmitRequest,
        weight: u32,
        estimate: WaitEstimate,
        now: TimePoint,
    ) -> WaitingQuery {
        // Some times the wait that was accepted: a query that others hold back for longer than was
        // estimated is told so while it can still go elsewhere.
        let timeout = now
            .until(request.deadline)
            .mul_f64(self.queue_timeout_share)
            .min(self.max_wait.mul_f64(2.0));
        let expires_at = (now + timeout).min(request.deadline - estimate.latency);
        WaitingQuery {
            id: request.id,
            class: request.class,
            team: request.team.clone(),
            weight,
            key: request.key,
            cost: request.fan_out,
            arrived_at: now,
            expires_at: expires_at.max(now),
        }
    }

    fn longest_wait(&self, request: &AdmitRequest, now: TimePoint) -> TimeSpan {
        let share = match request.class {
            QueryClass::Urgent => self.wait_share,
            QueryClass::Ordinary | QueryClass::Bulk => self.lower_wait_share,
        };
        now.until(request.deadline)
            .mul_f64(share)
            .min(self.max_wait)
    }

    fn check_estimate(
        &self,
        request: &AdmitRequest,
        estimate: WaitEstimate,
        now: TimePoint,
    ) -> Result<(), RefusalReason> {
        if estimate.wait > self.longest_wait(request, now) {
            return Err(RefusalReason::Overloaded);
        }
        if now + estimate.wait + estimate.latency > request.deadline {
            return Err(RefusalReason::Deadline);
        }
        Ok(())
    }
}
