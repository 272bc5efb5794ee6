//! The answers of non-idempotent requests, held so that a resend hears the same answer.
//!
//! Load pattern: a caller whose connection broke sends its request again, within seconds, often to
//! the same entry, and perhaps while the first one still runs. Without the held answer it could
//! only be told "unknown". The memory is bounded in bytes and time; a resend that comes after its
//! answer was dropped finds the claim in the ledger and is told "unknown".

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

/// The bytes that an entry of the memory takes besides the rows.
const ENTRY_OVERHEAD_BYTES: usize = 512;

/// A `RunOutcome` is what the caller of a request is answered.
pub type RunOutcome = Result<QueryAnswer, ErrorAnswer>;

/// An `OutcomeWatch` shows the outcome of a running request once it is there.
pub type OutcomeWatch = watch::Receiver<Option<Arc<RunOutcome>>>;

/// A `HeldAnswers` remembers the running and the finished requests of one entry.
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
    /// The finished requests, the first that finished first.
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

/// A `HeldStart` says what the memory knows of a request that came in.
#[derive(Debug)]
pub enum HeldLookup {
    /// Nothing: the request is to be claimed and run.
    New(RunningRequest),
    /// The request runs or is finished: its outcome is this.
    Known(OutcomeWatch),
    /// The key belongs to another request.
    Conflict,
}

/// A `RunningPlace` is the place of a request that runs; dropping it without an outcome tells those
/// who wait that there is none.
#[derive(Debug)]
pub struct RunningRequest {
    held: Arc<HeldAnswers>,
    key: ClaimKey,
    sender: watch::Sender<Option<Arc<RunOutcome>>>,
    is_finished: bool,
}

/// A `HeldReport` is the memory's size for the dump.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct HeldReport {
    /// The running requests.
    pub running: usize,
    /// The held answers.
    pub answers: usize,
    /// The bytes of the held answers.
    pub bytes: usize,
}

impl HeldAnswers {
    /// Returns an empty memory.
    #[must_use]
    pub fn new(max_bytes: ByteSize, held_time: TimeSpan, metrics: ClaimMetrics) -> Self {
        Self {
            max_bytes,
            held_time,
            state: Mutex::default(),
            metrics,
        }
    }

    /// Takes a place for a request, or finds the place of the same request.
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

    /// Finds the place of a request, running or finished.
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

    /// Gets the size for the dump.
    #[must_use]
    pub fn report(&self) -> HeldReport {
        let state = self.lock();
        HeldReport {
            running: state.entries.len() - state.finished.len(),
            answers: state.finished.len(),
            bytes: state.bytes,
        }
    }

    /// Drops what is over its time, and the oldest answers where there are too many bytes.
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
    /// Gets where the outcome will show.
    #[must_use]
    pub fn watch(&self) -> OutcomeWatch {
        self.sender.subscribe()
    }

    /// Gives the outcome of a request that was dispatched and may have run; it is held for resends.
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

    /// Gives the outcome of a request that was not dispatched here; a resend begins anew.
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
