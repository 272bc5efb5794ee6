//! Admission control of an entry: a query runs now, waits, or is refused on arrival.
//!
//! Whole queries are shed before their fan-out, so that overload doesn't leave every query with
//! some shards missing. [`crate::service_capacity::ServiceCapacity`] bounds the attempts in flight
//! for each service. Waiting queries are served by class, then fairly by team and key
//! ([`crate::fair_queue`]). A query is refused if its estimated wait exceeds its share of the
//! remaining time or if it can't be answered by its deadline. Teams and keys above their fair share
//! also get a later [`AdmitTicket::order_at`], so that relays serve the others first.

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

/// Settings of an entry's admission control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionOptions {
    /// Settings of the adaptive limit on the attempts in flight.
    pub capacity: ServiceCapacityOptions,
    /// Largest estimated wait of an urgent query, as a share of the time until its deadline.
    pub wait_share: f64,
    /// Largest estimated wait of an ordinary or bulk query, as a share of the time until its
    /// deadline. Urgent queries that arrive later may overtake it and prolong the wait.
    pub lower_wait_share: f64,
    /// Share of the time until its deadline after which a waiting query is refused.
    #[serde(rename = "give_up_share")]
    pub queue_timeout_share: f64,
    /// Largest estimated wait, whatever the deadline; waiting queries time out after at most twice
    /// this. A caller that would wait longer is better served by a refusal.
    pub max_wait: TimeSpan,
    /// Shortest time that a refused caller is asked to wait before it retries, before jitter.
    pub min_retry_after: TimeSpan,
    /// Largest delay that is added to [`AdmitTicket::order_at`] for a team or key above its fair
    /// share. It must exceed the wait in the relays' queues that the adaptive limit allows.
    #[serde(rename = "max_order_lag")]
    pub max_order_penalty: TimeSpan,
    /// Largest number of waiting queries of one service; it bounds memory only.
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

/// Admits, queues or refuses the queries that arrive at one entry.
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
    /// Creates a gate without any services or teams; `seed` makes the jitter reproducible.
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

    /// Sets the number of entries that share the capacity of services and the rates of teams.
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

    /// Sets a service's number of shards and the total number of slots of its targets.
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

    /// Sets the published limits and the weight of a team.
    pub fn set_team(&mut self, team: &TeamPolicy, now: TimePoint) {
        let entries = self.entries;
        self.quotas
            .entry(team.name.clone())
            .or_default()
            .set_policy(team, entries, now);
    }

    /// Decides on an arriving query.
    ///
    /// A ticket that is returned here or by [`Self::next_ready`] must be passed to
    /// [`Self::record_finished`] when the query ends.
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

    /// Returns the next waiting query that can be admitted or has timed out.
    ///
    /// Call it until it returns `None` whenever a query ends and at [`Self::next_expiry`].
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

    /// Returns the next time at which a waiting query times out.
    #[must_use]
    pub fn next_expiry(&self) -> Option<TimePoint> {
        self.services
            .values()
            .filter_map(|admission| admission.queue.next_expiry())
            .min()
    }

    /// Records that one attempt of a query has ended, with any outcome.
    ///
    /// Its capacity is released for other queries while this query still waits for its other
    /// shards.
    pub fn record_reply(&mut self, ticket: &mut AdmitTicket) {
        if ticket.replied >= ticket.request.fan_out {
            return;
        }
        ticket.replied += 1;
        if let Some(admission) = self.services.get_mut(&ticket.request.service) {
            admission.capacity.record_replies(1);
        }
    }

    /// Releases the ticket of a query that has ended and updates the limit from its report.
    pub fn record_finished(&mut self, ticket: &AdmitTicket, report: QueryReport, now: TimePoint) {
        let request = &ticket.request;
        if let Some(quota) = self.quotas.get_mut(&request.team) {
            quota.release();
        }
        if let Some(admission) = self.services.get_mut(&request.service) {
            admission.record_finished(ticket, report, now);
        }
    }

    /// Removes a waiting query whose caller has disconnected; returns false if it isn't waiting.
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

    /// Returns the current load of a service, or `None` if it is unknown.
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

    /// Adds up to 100% of jitter to the retry time, so that callers who were refused together don't
    /// retry together.
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
        // The timeout is longer than the accepted estimate. A query that waits for much longer than
        // estimated is refused while its caller still has time to go elsewhere.
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
