//! Holds the outcomes of non-idempotent requests, so that a resend receives the same answer.
//!
//! A caller that loses its connection sends the request again, often while the first one still
//! runs. The memory is limited in bytes and time. After its answer was evicted, a resend finds the
//! claim in the ledger, and its outcome is "unknown".

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::quantities::ByteSize;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::claim_fingerprint::ClaimFingerprint;
use alderhaven_policy::claim_key::ClaimKey;
use serde::Serialize;
use tokio::sync::watch;

use crate::answer::{ErrorAnswer, QueryAnswer};
use crate::claim_metrics::ClaimMetrics;

/// Estimated size of an entry without its rows, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 512;

/// What the caller of a request receives.
pub type RunOutcome = Result<QueryAnswer, ErrorAnswer>;

/// Receiver that holds `None` until the request has an outcome.
pub type OutcomeWatch = watch::Receiver<Option<Arc<RunOutcome>>>;

/// The running and the finished requests of one entry, by idempotency key.
#[derive(Debug)]
pub struct HeldAnswers {
    max_bytes: ByteSize,
    held_time: TimeSpan,
    state: Mutex<HeldState>,
    metrics: ClaimMetrics,
}

#[derive(Debug, Default)]
struct HeldState {
    entries: HashMap<ClaimKey, HeldEntry>,
    /// Finished requests, oldest first.
    finished: VecDeque<FinishedEntry>,
    bytes: usize,
}

#[derive(Debug)]
struct HeldEntry {
    fingerprint: ClaimFingerprint,
    outcome: OutcomeWatch,
}

#[derive(Debug)]
struct FinishedEntry {
    key: ClaimKey,
    finished_at: TimePoint,
    bytes: usize,
}

/// Result of looking up the key of an incoming request.
#[derive(Debug)]
pub enum HeldLookup {
    /// The key is new: the request must be claimed and run.
    New(RunningRequest),
    /// The same request is running or finished.
    Known(OutcomeWatch),
    /// The key was used for a different request.
    Conflict,
}

/// A request that is being run. Dropping it without an outcome removes it and closes its watch, so
/// that waiting resends stop.
#[derive(Debug)]
pub struct RunningRequest {
    held: Arc<HeldAnswers>,
    key: ClaimKey,
    sender: watch::Sender<Option<Arc<RunOutcome>>>,
    is_finished: bool,
}

/// Number and size of the held entries, for the state dump.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct HeldReport {
    /// Number of running requests.
    pub running: usize,
    /// Number of held answers.
    pub answers: usize,
    /// Size of the held answers in bytes.
    pub bytes: usize,
}

impl HeldAnswers {
    /// Creates an empty memory with limits on size and age.
    #[must_use]
    pub fn new(max_bytes: ByteSize, held_time: TimeSpan, metrics: ClaimMetrics) -> Self {
        Self {
            max_bytes,
            held_time,
            state: Mutex::default(),
            metrics,
        }
    }

    /// Registers a request, or returns the outcome watch of the same request.
    pub fn start(
        self: &Arc<Self>,
        key: ClaimKey,
        fingerprint: ClaimFingerprint,
        now: TimePoint,
    ) -> HeldLookup {
        let mut state = self.lock();
        self.evict(&mut state, now);
        if let Some(entry) = state.entries.get(&key) {
            if entry.fingerprint == fingerprint {
                return HeldLookup::Known(entry.outcome.clone());
            }
            return HeldLookup::Conflict;
        }
        let (sender, outcome) = watch::channel(None);
        let entry = HeldEntry {
            fingerprint,
            outcome,
        };
        state.entries.insert(key, entry);
        HeldLookup::New(RunningRequest {
            held: Arc::clone(self),
            key,
            sender,
            is_finished: false,
        })
    }

    /// Finds a request, running or finished, by key and fingerprint.
    #[must_use]
    pub fn find(
        &self,
        key: ClaimKey,
        fingerprint: ClaimFingerprint,
        now: TimePoint,
    ) -> Option<OutcomeWatch> {
        let mut state = self.lock();
        self.evict(&mut state, now);
        let entry = state.entries.get(&key)?;
        (entry.fingerprint == fingerprint).then(|| entry.outcome.clone())
    }

    /// Returns the current number and size of the entries, for the state dump.
    #[must_use]
    pub fn report(&self) -> HeldReport {
        let state = self.lock();
        HeldReport {
            running: state.entries.len() - state.finished.len(),
            answers: state.finished.len(),
            bytes: state.bytes,
        }
    }

    /// Evicts answers older than `held_time`, and the oldest ones while the size is above its
    /// limit.
    fn evict(&self, state: &mut HeldState, now: TimePoint) {
        while let Some(oldest) = state.finished.front() {
            let is_over = now.since(oldest.finished_at) >= self.held_time;
            if !is_over && state.bytes <= self.max_bytes.as_bytes() {
                break;
            }
            let Some(oldest) = state.finished.pop_front() else {
                break;
            };
            state.bytes -= oldest.bytes;
            state.entries.remove(&oldest.key);
        }
        let bytes = i64::try_from(state.bytes).unwrap_or(i64::MAX);
        self.metrics.held_bytes.set(bytes);
    }

    fn lock(&self) -> MutexGuard<'_, HeldState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunningRequest {
    /// Subscribes to the outcome.
    #[must_use]
    pub fn watch(&self) -> OutcomeWatch {
        self.sender.subscribe()
    }

    /// Publishes the outcome of a request that was dispatched, and holds it for resends.
    pub fn finish_and_hold(mut self, outcome: RunOutcome, now: TimePoint) {
        self.is_finished = true;
        let bytes =
            ENTRY_OVERHEAD_BYTES + outcome.as_ref().map_or(0, |answer| answer.rows.get().len());
        let held = Arc::clone(&self.held);
        let mut state = held.lock();
        let (key, at) = (self.key, now);
        state.finished.push_back(FinishedEntry {
            key,
            finished_at: at,
            bytes,
        });
        state.bytes += bytes;
        held.evict(&mut state, now);
        drop(state);
        self.sender.send_replace(Some(Arc::new(outcome)));
    }

    /// Publishes the outcome of a request that wasn't dispatched, and removes it, so that a resend
    /// starts over.
    pub fn finish_and_remove(mut self, outcome: RunOutcome) {
        self.is_finished = true;
        self.held.lock().entries.remove(&self.key);
        self.sender.send_replace(Some(Arc::new(outcome)));
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if !self.is_finished {
            self.held.lock().entries.remove(&self.key);
        }
    }
}
