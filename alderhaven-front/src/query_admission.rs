//! Admits queries: callers wait here for the decision of a [`QueryGate`]. There is one gate for
//! each set of services.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::caller_delay::CallerDelay;
use alderhaven_policy::concurrency_limit::QuerySignal;
use alderhaven_policy::query_gate::{GateDecision, GateQuery, GateRefusal, QueryGate};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::admission_permit::AdmissionPermit;
use crate::caller_identity::CallerIdentity;
use crate::front_context;
use crate::route_rule::RouteRule;
use crate::shard_set_id::ShardSetId;

/// Number of gates above which idle ones are removed. Each change of a route's services adds a
/// gate.
const MAX_GATES: usize = 64;

/// Admission control of one front.
#[derive(Debug)]
pub struct QueryAdmission {
    clock: ProcessClock,
    next_id: AtomicU64,
    gates: Mutex<HashMap<ShardSetId, GateState>>,
}

/// Limits and queues of all gates of a front.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct AdmissionStatus {
    /// Sum of the limits on queries in flight.
    pub limit: f64,
    /// Number of waiting queries.
    pub waiting: usize,
}

type GateResult = Result<(), GateRefusal>;

#[derive(Debug, Default)]
struct GateState {
    gate: QueryGate,
    waiters: HashMap<u64, Waiter>,
}

/// A waiting query and the channel that delivers the decision.
#[derive(Debug)]
struct Waiter {
    query: GateQuery,
    sender: oneshot::Sender<GateResult>,
}

impl QueryAdmission {
    /// Creates an admission without gates. They are added as queries arrive.
    #[must_use]
    pub fn new(clock: ProcessClock) -> Self {
        Self {
            clock,
            next_id: AtomicU64::new(1),
            gates: Mutex::default(),
        }
    }

    /// Admits or refuses a query of a route over these services, and waits in the queue if
    /// necessary. `work` is the expected work at each target.
    ///
    /// # Errors
    /// The refusal of the gate. Nothing has been sent in that case.
    pub async fn admit(
        self: &Arc<Self>,
        rule: &RouteRule,
        identity: &CallerIdentity,
        shards: ShardSetId,
        delay: CallerDelay,
        work: TimeSpan,
    ) -> Result<AdmissionPermit, GateRefusal> {
        let now = self.clock.now();
        let query = GateQuery {
            id: self.next_id.fetch_add(1, Ordering::Relaxed),
            rank: identity.query_rank(rule.rank),
            team: identity.team_hash(),
            latency_target: rule.latency_target,
            work,
            is_late: delay.is_late(rule.latency_target),
        };
        // The waiter is registered under the same lock, so that the gate cannot admit the query
        // before there is a receiver.
        let (until, result) = {
            let mut gates = self.lock();
            remove_idle_gates(&mut gates);
            let state = gates.entry(shards).or_default();
            match state.offer(query, now) {
                GateDecision::Admit => return Ok(self.permit(shards, query, false)),
                GateDecision::Refuse(refusal) => return Err(refusal),
                GateDecision::Wait { until, .. } => {
                    let (sender, result) = oneshot::channel();
                    state.waiters.insert(query.id, Waiter { query, sender });
                    (until, result)
                }
            }
        };
        let queued = QueuedQuery {
            admission: self,
            shards,
            query,
            result,
        };
        queued.wait(until).await
    }

    /// Releases the slot of a query that was admitted at `admitted_at`, and admits waiting
    /// queries.
    pub(crate) fn finish(
        &self,
        shards: ShardSetId,
        query: &GateQuery,
        admitted_at: TimePoint,
        signal: QuerySignal,
    ) {
        let now = self.clock.now();
        let mut gates = self.lock();
        if let Some(state) = gates.get_mut(&shards) {
            let run_time = now.since(admitted_at);
            state.gate.record_finished(query, run_time, signal);
            state.admit_ready(now);
        }
    }

    /// Returns the state of all gates, summed.
    #[must_use]
    pub fn status(&self) -> AdmissionStatus {
        let gates = self.lock();
        AdmissionStatus {
            limit: gates.values().map(|state| state.gate.limit()).sum(),
            waiting: gates.values().map(|state| state.gate.queue_length()).sum(),
        }
    }

    fn permit(
        self: &Arc<Self>,
        shards: ShardSetId,
        query: GateQuery,
        has_waited: bool,
    ) -> AdmissionPermit {
        AdmissionPermit::new(
            Arc::clone(self),
            shards,
            query,
            self.clock.now(),
            has_waited,
        )
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ShardSetId, GateState>> {
        self.gates.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn remove_idle_gates(gates: &mut HashMap<ShardSetId, GateState>) {
    if gates.len() > MAX_GATES {
        gates.retain(|_, state| !state.gate.is_idle());
    }
}

impl GateState {
    fn offer(&mut self, query: GateQuery, now: TimePoint) -> GateDecision {
        let decision = self.gate.offer(query, now);
        if let GateDecision::Wait { outranked, .. } = decision
            && let Some(waiter) = outranked.and_then(|id| self.waiters.remove(&id))
        {
            // The send fails if the caller has just disconnected.
            let _is_delivered = waiter.sender.send(Err(self.gate.outranked_refusal(now)));
        }
        decision
    }

    /// Admits the waiting queries that the gate has capacity for.
    fn admit_ready(&mut self, now: TimePoint) {
        while let Some(id) = self.gate.next_ready(now) {
            // The waiter of a query is removed together with the query.
            let Some(Waiter { query, sender }) = self.waiters.remove(&id) else {
                log::error!("admitted query {id} has no waiter");
                continue;
            };
            if sender.send(Ok(())).is_err() {
                // The caller has just disconnected, so the slot is free again.
                self.gate.release_unused(&query);
            }
        }
    }
}

/// A query in the queue of its gate. Dropping it removes the query.
struct QueuedQuery<'a> {
    admission: &'a Arc<QueryAdmission>,
    shards: ShardSetId,
    query: GateQuery,
    result: oneshot::Receiver<GateResult>,
}

impl QueuedQuery<'_> {
    async fn wait(mut self, until: TimePoint) -> Result<AdmissionPermit, GateRefusal> {
        let result = tokio::select! {
            biased;
            result = &mut self.result => result.ok(),
            () = front_context::sleep_until(self.admission.clock, until) => None,
        };
        match result {
            Some(Ok(())) => Ok(self.permit()),
            Some(Err(refusal)) => Err(refusal),
            None => self.give_up(),
        }
    }

    fn permit(&self) -> AdmissionPermit {
        self.admission.permit(self.shards, self.query, true)
    }

    /// Removes the query from the queue, unless the gate has just decided.
    fn give_up(&mut self) -> Result<AdmissionPermit, GateRefusal> {
        let now = self.admission.clock.now();
        let mut gates = self.admission.lock();
        if let Ok(result) = self.result.try_recv() {
            drop(gates);
            return result.map(|()| self.permit());
        }
        let state = gates.entry(self.shards).or_default();
        state.waiters.remove(&self.query.id);
        Err(state.gate.cancel(self.query.id, now))
    }
}

impl Drop for QueuedQuery<'_> {
    /// Removes a query whose caller disconnects while it waits, and releases the slot if it was
    /// admitted at the same moment.
    fn drop(&mut self) {
        let now = self.admission.clock.now();
        let mut gates = self.admission.lock();
        let Some(state) = gates.get_mut(&self.shards) else {
            return;
        };
        if state.waiters.remove(&self.query.id).is_some() {
            state.gate.cancel(self.query.id, now);
        }
        if let Ok(Ok(())) = self.result.try_recv() {
            state.gate.release_unused(&self.query);
            state.admit_ready(now);
        }
    }
}
