//! Admission control of an entry's queries: admit now, queue, or refuse at once. [`AdmissionGate`]
//! makes the decisions; this module lets callers wait for them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::ids::ServiceName;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimePoint;
use alderhaven_policy::admission::{AdmissionGate, AdmissionOptions};
use alderhaven_policy::admit_decision::{
    AdmitDecision, AdmitRequest, AdmitTicket, ReadyQuery, Refusal, RefusalReason,
};
use alderhaven_policy::config_registry::ConfigView;
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::service_admission::ServiceLoad;
use alderhaven_policy::service_capacity::QueryReport;
use tokio::sync::{Notify, oneshot};
use tokio::time;

use crate::admission_permit::AdmissionPermit;
use crate::query_plan::QueryPlan;

type AdmissionResult = Result<AdmitTicket, Refusal>;

/// Admission control shared by all queries of one entry.
#[derive(Debug)]
pub struct AdmissionController {
    clock: ProcessClock,
    next_id: AtomicU64,
    state: Mutex<ControllerState>,
    /// Wakes the expiry task, since the next expiry may have moved forward.
    query_queued: Notify,
}

#[derive(Debug)]
struct ControllerState {
    gate: AdmissionGate,
    waiters: HashMap<u64, oneshot::Sender<AdmissionResult>>,
}

/// A query in the queue. Dropping it removes the query, for example when its caller disconnects.
struct QueuedQuery<'a> {
    controller: &'a AdmissionController,
    request: AdmitRequest,
    result: oneshot::Receiver<AdmissionResult>,
}

impl AdmissionController {
    /// Creates a controller that knows no services or teams yet; see [`Self::apply`].
    #[must_use]
    pub fn new(policy: PolicyKind, options: AdmissionOptions, clock: ProcessClock) -> Self {
        Self {
            clock,
            next_id: AtomicU64::new(1),
            state: Mutex::new(ControllerState {
                gate: AdmissionGate::new(policy, options, rand::random()),
                waiters: HashMap::new(),
            }),
            query_queued: Notify::new(),
        }
    }

    /// Applies the shard counts and slots of the services and the team policies of a configuration.
    pub fn apply(&self, view: &ConfigView) {
        let now = self.clock.now();
        let mut state = self.lock();
        for manifest in view.manifests.values() {
            let shards = u32::try_from(manifest.shards.len()).unwrap_or(u32::MAX);
            let slots = manifest
                .shards
                .iter()
                .flat_map(|entry| &entry.replicas)
                .map(|replica| replica.slots)
                .sum();
            state.gate.set_service(&manifest.service, shards, slots);
        }
        for team in view.teams.values() {
            state.gate.set_team(team, now);
        }
    }

    /// Sets the number of entries among which the capacity of the services is divided.
    pub fn set_entries(&self, entries: u32) {
        let now = self.clock.now();
        self.lock().gate.set_entries(entries, now);
    }

    /// Admits or refuses a query, after waiting in the queue if necessary.
    ///
    /// # Errors
    /// The refusal, with the time after which a retry makes sense. Nothing ran in that case.
    pub async fn admit(self: &Arc<Self>, plan: &QueryPlan) -> Result<AdmissionPermit, Refusal> {
        let request = self.build_request(plan);
        let now = self.clock.now();
        // The waiter is registered under the same lock, so that another thread can't decide on the
        // query before there is a receiver.
        let receiver = {
            let mut state = self.lock();
            match state.gate.offer(request.clone(), now) {
                AdmitDecision::Admit(ticket) => {
                    return Ok(AdmissionPermit::new(Arc::clone(self), ticket));
                }
                AdmitDecision::Refuse(refusal) => return Err(refusal),
                AdmitDecision::Queue => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.insert(request.id, sender);
                    receiver
                }
            }
        };
        let ticket = self.wait_for_result(request, receiver).await?;
        Ok(AdmissionPermit::new(Arc::clone(self), ticket))
    }

    /// Returns the current load of every service in `view` that the gate knows, for the state dump.
    #[must_use]
    pub fn loads(&self, view: &ConfigView) -> Vec<(String, ServiceLoad)> {
        let state = self.lock();
        view.manifests
            .keys()
            .filter_map(|service| Some((service.to_string(), state.gate.service_load(service)?)))
            .collect()
    }

    /// Returns true if queries are queued for admission to the service.
    #[must_use]
    pub fn is_overloaded(&self, service: &ServiceName) -> bool {
        self.lock()
            .gate
            .service_load(service)
            .is_some_and(|load| load.waiting > 0)
    }

    /// Returns the clock on which ticket times are measured.
    #[must_use]
    pub const fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// Expires queued queries that have waited for too long, until the process ends.
    pub async fn expire_queries_forever(self: Arc<Self>) {
        loop {
            let next = {
                let mut state = self.lock();
                state.decide_ready(self.clock.now());
                state.gate.next_expiry()
            };
            match next {
                Some(point) => {
                    let wake = time::Instant::from_std(self.clock.instant(point));
                    tokio::select! {
                        () = time::sleep_until(wake) => {}
                        () = self.query_queued.notified() => {}
                    }
                }
                None => self.query_queued.notified().await,
            }
        }
    }

    /// Applies a change to the gate, then decides on the queued queries that it affects.
    pub(crate) fn update_gate(&self, change: impl FnOnce(&mut AdmissionGate, TimePoint)) {
        let now = self.clock.now();
        let mut state = self.lock();
        change(&mut state.gate, now);
        state.decide_ready(now);
    }

    fn lock(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn build_request(&self, plan: &QueryPlan) -> AdmitRequest {
        AdmitRequest {
            id: self.next_id.fetch_add(1, Ordering::Relaxed),
            team: plan.team.name.clone(),
            service: plan.template.service.clone(),
            template: plan.template.name.clone(),
            class: plan.template.class,
            fan_out: u32::try_from(plan.shard_positions.len()).unwrap_or(u32::MAX),
            key: plan.fingerprint().leading_u64(),
            deadline: self.clock.time_point(plan.expires_at()),
        }
    }

    async fn wait_for_result(
        &self,
        request: AdmitRequest,
        result: oneshot::Receiver<AdmissionResult>,
    ) -> AdmissionResult {
        let mut query = QueuedQuery {
            controller: self,
            request,
            result,
        };
        self.query_queued.notify_one();
        let result = (&mut query.result).await;
        // The sender is dropped without a result only if the waiter was removed.
        result.unwrap_or_else(|_| Err(query.dropped_refusal()))
    }
}

impl ControllerState {
    /// Delivers the decisions that are due. A ticket whose caller is gone is returned to the gate.
    fn decide_ready(&mut self, now: TimePoint) {
        let mut undelivered = Vec::new();
        while let Some(ready) = self.gate.next_ready(now) {
            let (id, result) = match ready {
                ReadyQuery::Admit(ticket) => (ticket.request.id, Ok(ticket)),
                ReadyQuery::Refuse { id, refusal } => (id, Err(refusal)),
            };
            let result = match self.waiters.remove(&id) {
                Some(waiter) => waiter.send(result),
                None => Err(result),
            };
            if let Err(Ok(ticket)) = result {
                undelivered.push(ticket);
            }
        }
        for ticket in undelivered {
            self.gate
                .record_finished(&ticket, QueryReport::default(), now);
        }
    }
}

impl QueuedQuery<'_> {
    fn dropped_refusal(&self) -> Refusal {
        Refusal {
            reason: RefusalReason::Overloaded,
            retry_after: self.controller.clock.now().until(self.request.deadline),
        }
    }
}

impl Drop for QueuedQuery<'_> {
    fn drop(&mut self) {
        let now = self.controller.clock.now();
        let mut state = self.controller.lock();
        state.waiters.remove(&self.request.id);
        state.gate.cancel(&self.request.service, self.request.id);
        // The ticket may have been sent while the caller disconnected.
        if let Ok(Ok(ticket)) = self.result.try_recv() {
            state
                .gate
                .record_finished(&ticket, QueryReport::default(), now);
            state.decide_ready(now);
        }
    }
}
