//! The admission of queries: callers wait here for the decisions of [`QueryGate`], one gate for each set
//! of services.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimePoint;
use alderhaven_policy::caller_wait::CallerDelay;
use alderhaven_policy::query_gate::{GateDecision, GateQuery, GateRefusal, QueryGate};
use alderhaven_policy::room_limit::QueryNeed;
use tokio::sync::oneshot;

use crate::admission_pass::AdmissionPass;
use crate::front_context;
use crate::route_rule::RouteRule;
use crate::shard_set::ShardSet;

/// The sets of services that are kept. Each change of a route's shards begins a new one; those of which nothing is
/// in flight are forgotten above it.
const MOST_GATES: usize = 64;

/// A `QueryAdmission` admits the queries of one front.
#[derive(Debug)]
pub struct QueryAdmission {
    clock: ProcessClock,
    next_id: AtomicU64,
    gates: Mutex<HashMap<ShardSet, GateState>>,
}

type GateVerdict = Result<(), GateRefusal>;

#[derive(Debug, Default)]
struct GateState {
    gate: QueryGate,
    waiters: HashMap<u64, oneshot::Sender<GateVerdict>>,
}

impl QueryAdmission {
    /// Returns an admission without any gate.
    #[must_use]
    pub fn new(clock: ProcessClock) -> Self {
        Self {
            clock,
            next_id: AtomicU64::new(1),
            gates: Mutex::default(),
        }
    }

    /// Decides on a query of a route over these shards; waits where it has to wait its turn.
    ///
    /// # Errors
    /// The refusal: nothing was sent.
    pub async fn admit(
        self: &Arc<Self>,
        rule: &RouteRule,
        shards: ShardSet,
        delay: CallerDelay,
    ) -> Result<AdmissionPass, GateRefusal> {
        let now = self.clock.now();
        let query = GateQuery {
            id: self.next_id.fetch_add(1, Ordering::Relaxed),
            rank: rule.rank,
            target: rule.latency_target,
            is_late: delay.is_late(rule.latency_target),
        };
        // The waiter is there before the lock is given up: else the query could be decided on in
        // between, with nobody to tell.
        let (until, verdict) = {
            let mut gates = self.lock();
            forget_idle(&mut gates);
            let state = gates.entry(shards).or_default();
            match state.offer(query, now) {
                GateDecision::Admit => return Ok(self.pass(shards)),
                GateDecision::Refuse(refusal) => return Err(refusal),
                GateDecision::Wait { until, .. } => {
                    let (sender, verdict) = oneshot::channel();
                    state.waiters.insert(query.id, sender);
                    (until, verdict)
                }
            }
        };
        let place = WaitingPlace {
            admission: self,
            shards,
            id: query.id,
            verdict,
        };
        place.wait(until).await
    }

    /// Takes back the place of a query that was admitted at `admitted`.
    pub(crate) fn finish(&self, shards: ShardSet, admitted: TimePoint, need: QueryNeed) {
        let now = self.clock.now();
        let mut gates = self.lock();
        if let Some(state) = gates.get_mut(&shards) {
            state.gate.finished(now.since(admitted), need);
            state.decide_ready(now);
        }
    }

    fn pass(self: &Arc<Self>, shards: ShardSet) -> AdmissionPass {
        AdmissionPass::new(Arc::clone(self), shards, self.clock.now())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ShardSet, GateState>> {
        self.gates.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn forget_idle(gates: &mut HashMap<ShardSet, GateState>) {
    if gates.len() > MOST_GATES {
        gates.retain(|_, state| !state.gate.is_idle());
    }
}

impl GateState {
    fn offer(&mut self, query: GateQuery, now: TimePoint) -> GateDecision {
        let decision = self.gate.offer(query, now);
        if let GateDecision::Wait { outranked, .. } = decision
            && let Some(waiter) = outranked.and_then(|id| self.waiters.remove(&id))
        {
            // A caller that has just gone needs no answer.
            let _is_gone = waiter.send(Err(self.gate.outranked(now)));
        }
        decision
    }

    /// Lets waiting queries go for which there is room now.
    fn decide_ready(&mut self, now: TimePoint) {
        while let Some(id) = self.gate.next_ready(now) {
            let waiter = self.waiters.remove(&id);
            let is_told = waiter.is_some_and(|waiter| waiter.send(Ok(())).is_ok());
            if !is_told {
                // Its caller left at this moment, and the room is free again.
                self.gate.take_back();
            }
        }
    }
}

/// A place in line; it is given up where the wait is over or the caller goes away.
struct WaitingPlace<'a> {
    admission: &'a Arc<QueryAdmission>,
    shards: ShardSet,
    id: u64,
    verdict: oneshot::Receiver<GateVerdict>,
}

impl WaitingPlace<'_> {
    async fn wait(mut self, until: TimePoint) -> Result<AdmissionPass, GateRefusal> {
        let verdict = tokio::select! {
            biased;
            verdict = &mut self.verdict => verdict.ok(),
            () = front_context::sleep_until(self.admission.clock, until) => None,
        };
        match verdict {
            Some(Ok(())) => Ok(self.admission.pass(self.shards)),
            Some(Err(refusal)) => Err(refusal),
            None => self.give_up(),
        }
    }

    /// Leaves the line, unless its turn came at this moment.
    fn give_up(&mut self) -> Result<AdmissionPass, GateRefusal> {
        let now = self.admission.clock.now();
        let mut gates = self.admission.lock();
        if let Ok(verdict) = self.verdict.try_recv() {
            drop(gates);
            return verdict.map(|()| self.admission.pass(self.shards));
        }
        let state = gates.entry(self.shards).or_default();
        state.waiters.remove(&self.id);
        Err(state.gate.cancel(self.id, now))
    }
}

impl Drop for WaitingPlace<'_> {
    /// A caller that goes away while it waits leaves the line, and gives back a turn that it was given
    /// at this moment.
    fn drop(&mut self) {
        let now = self.admission.clock.now();
        let mut gates = self.admission.lock();
        let Some(state) = gates.get_mut(&self.shards) else {
            return;
        };
        if state.waiters.remove(&self.id).is_some() {
            state.gate.cancel(self.id, now);
        }
        if let Ok(Ok(())) = self.verdict.try_recv() {
            state.gate.take_back();
            state.decide_ready(now);
        }
    }
}
