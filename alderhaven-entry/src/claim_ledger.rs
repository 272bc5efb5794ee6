//! Claims idempotency keys in the store. A [`ClaimBatcher`] decides which store calls to make; this
//! module makes them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::ids::NodeId;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimePoint;
use alderhaven_core::wall_clock;
use alderhaven_policy::claim_batcher::{ClaimBatcher, ClaimCounts};
use alderhaven_policy::claim_bucket::ClaimWriter;
use alderhaven_policy::claim_call::{ClaimAction, ClaimCall, ClaimReply};
use alderhaven_policy::claim_fingerprint::ClaimFingerprint;
use alderhaven_policy::claim_key::ClaimKey;
use alderhaven_policy::claim_options::ClaimOptions;
use alderhaven_policy::claim_slot::ClaimSlot;
use alderhaven_policy::claim_verdict::{ClaimRefusal, ClaimTicket, ClaimVerdict};
use alderhaven_store::object_store::{
    ConditionalWrite, ObjectStore, StoreError, StoreResult, WriteOutcome,
};
use futures::future::Either;
use futures::stream::{FuturesUnordered, StreamExt};
use serde::Serialize;
use tokio::sync::{Notify, oneshot};
use tokio::time;

use crate::claim_metrics::ClaimMetrics;

/// Claims keys in the store on behalf of one entry.
#[derive(Debug)]
pub struct ClaimLedger<S> {
    store: Arc<S>,
    clock: ProcessClock,
    options: ClaimOptions,
    state: Mutex<LedgerState>,
    /// Wakes the task that calls the store.
    work_added: Notify,
    metrics: ClaimMetrics,
}

#[derive(Debug)]
struct LedgerState {
    batcher: ClaimBatcher,
    waiters: HashMap<ClaimTicket, oneshot::Sender<ClaimVerdict>>,
    last_counts: ClaimCounts,
}

/// State of the ledger, for the state dump.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LedgerReport {
    /// Counts since the process started.
    pub counts: ClaimCounts,
    /// Number of claims without a verdict.
    pub waiting: usize,
    /// Number of claims that are still to be released in the store.
    pub releases: usize,
}

impl<S: ObjectStore> ClaimLedger<S> {
    /// Creates a ledger; [`Self::run_forever`] makes its store calls. Other entries query outcomes
    /// at `address`.
    #[must_use]
    pub fn new(
        store: Arc<S>,
        node: NodeId,
        address: SocketAddr,
        options: ClaimOptions,
        clock: ProcessClock,
        metrics: ClaimMetrics,
    ) -> Self {
        // Random, so that claims from before a restart are not mistaken for this process's own.
        let origin = rand::random();
        let writer = ClaimWriter {
            node,
            address,
            origin,
        };
        Self {
            store,
            clock,
            options,
            state: Mutex::new(LedgerState {
                batcher: ClaimBatcher::new(writer, options, rand::random(), clock.now()),
                waiters: HashMap::new(),
                last_counts: ClaimCounts::default(),
            }),
            work_added: Notify::new(),
            metrics,
        }
    }

    /// Returns the settings of the ledger.
    #[must_use]
    pub const fn options(&self) -> &ClaimOptions {
        &self.options
    }

    /// Tries to claim a key until `deadline`, and waits for the verdict.
    pub async fn claim(
        &self,
        key: ClaimKey,
        fingerprint: ClaimFingerprint,
        deadline: TimePoint,
    ) -> ClaimVerdict {
        let (sender, verdict) = oneshot::channel();
        {
            let mut state = self.lock();
            let now = self.clock.now();
            let ticket = state.batcher.offer(key, fingerprint, deadline, now);
            state.waiters.insert(ticket, sender);
        }
        self.work_added.notify_one();
        // The sender is dropped without a verdict only when the process ends.
        let verdict = verdict.await.unwrap_or(ClaimVerdict::Refused {
            reason: ClaimRefusal::StoreDown,
            retry_after: self.options.longest_pause,
        });
        self.metrics.observe_verdict(&verdict);
        verdict
    }

    /// Releases a granted claim. Call this only if the request certainly did not run.
    pub fn release(&self, ticket: ClaimTicket) {
        self.lock().batcher.release(ticket);
        self.metrics.releases.inc();
        self.work_added.notify_one();
    }

    /// Returns the current counts and queue lengths, for the state dump.
    #[must_use]
    pub fn report(&self) -> LedgerReport {
        let state = self.lock();
        LedgerReport {
            counts: state.batcher.counts(),
            waiting: state.batcher.waiting_count(),
            releases: state.batcher.release_count(),
        }
    }

    /// Calls the store for the batcher until the process ends.
    pub async fn run_forever(self: Arc<Self>) {
        let mut calls_in_flight = FuturesUnordered::new();
        loop {
            let (calls, wake) = self.poll_batcher();
            for call in calls {
                calls_in_flight.push(self.call_store(call));
            }
            let wake = wake.map_or(Either::Left(futures::future::pending()), |point| {
                let instant = time::Instant::from_std(self.clock.instant(point));
                Either::Right(time::sleep_until(instant))
            });
            tokio::select! {
                Some((slot, reply)) = calls_in_flight.next() => {
                    let now = self.clock.now();
                    let wall_millis = wall_clock::unix_millis();
                    self.lock().batcher.handle_reply(slot, reply, now, wall_millis);
                }
                () = wake => {}
                () = self.work_added.notified() => {}
            }
        }
    }

    /// Returns the store calls that are due and the next wake-up time, and delivers verdicts.
    fn poll_batcher(&self) -> (Vec<ClaimCall>, Option<TimePoint>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut calls = Vec::new();
        while let Some(call) = state.batcher.poll(now) {
            calls.push(call);
        }
        for (ticket, verdict) in state.batcher.take_verdicts() {
            let undelivered = state
                .waiters
                .remove(&ticket)
                .and_then(|waiter| waiter.send(verdict).err());
            // The caller is gone, so that nothing will be dispatched under this claim.
            if let Some(ClaimVerdict::Granted(ticket)) = undelivered {
                state.batcher.release(ticket);
            }
        }
        let counts = state.batcher.counts();
        self.metrics.observe_counts(&state.last_counts, &counts);
        state.last_counts = counts;
        (calls, state.batcher.next_wake(now))
    }

    async fn call_store(&self, call: ClaimCall) -> (ClaimSlot, ClaimReply) {
        let key = call.slot.object_key();
        let reply = match call.action {
            ClaimAction::Read => self.store.get(&key).await.map(ClaimReply::Bucket),
            ClaimAction::Write { expected, body } => {
                let write = ConditionalWrite {
                    key,
                    expected,
                    write_id: uuid::Uuid::new_v4().to_string(),
                    body: Some(body),
                };
                self.store.write(write).await.map(|outcome| match outcome {
                    WriteOutcome::Written(version) => ClaimReply::Written(version),
                    WriteOutcome::Conflict(object) => ClaimReply::Conflict(object),
                })
            }
        };
        (call.slot, to_claim_reply(reply))
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn to_claim_reply(reply: StoreResult<ClaimReply>) -> ClaimReply {
    match reply {
        Ok(reply) => reply,
        Err(StoreError::NotDone { retry_after, .. }) => ClaimReply::NotDone { retry_after },
        Err(StoreError::Unknown { .. }) => ClaimReply::Lost,
    }
}
