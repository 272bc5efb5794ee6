//! Handling of attempts at a target: slots, a bounded queue, shedding, runs and cancellation.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::ids::AttemptId;
use alderhaven_store::target_dialect;
use http::StatusCode;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::attempt_head::{AttemptHead, not_run_reply, set_header};
use crate::held_indexes::{HeldIndex, HeldIndexes, IndexState};
use crate::http_server::{HttpReply, json_reply, text_reply};
use crate::rows;
use crate::run_log::{RunLog, RunRecord, RunStatus};
pub use crate::target_faults::TargetFaults;
use crate::target_lifecycle::TargetLifecycle;
pub use crate::target_spec::TargetSpec;

/// State of one target, shared by all its connections.
#[derive(Debug)]
pub struct TargetState {
    spec: TargetSpec,
    slots: Semaphore,
    waiting_count: AtomicU32,
    rng: Mutex<StdRng>,
    faults: Mutex<TargetFaults>,
    cancel_tokens: Mutex<HashMap<AttemptId, CancellationToken>>,
    indexes: HeldIndexes,
    lifecycle: TargetLifecycle,
    run_log: Arc<RunLog>,
}

impl TargetState {
    /// Creates an idle target that holds its initial index.
    #[must_use]
    pub fn new(spec: TargetSpec, run_log: Arc<RunLog>) -> Self {
        Self {
            slots: Semaphore::new(spec.slots as usize),
            waiting_count: AtomicU32::new(0),
            rng: Mutex::new(StdRng::seed_from_u64(spec.seed)),
            faults: Mutex::default(),
            cancel_tokens: Mutex::default(),
            indexes: HeldIndexes::new(HeldIndex {
                shard: spec.shard,
                version: spec.version,
            }),
            lifecycle: TargetLifecycle::default(),
            run_log,
            spec,
        }
    }

    /// Returns the target's fixed properties.
    #[must_use]
    pub const fn spec(&self) -> &TargetSpec {
        &self.spec
    }

    /// Returns the current fault switches.
    #[must_use]
    pub fn faults(&self) -> TargetFaults {
        *lock(&self.faults)
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: TargetFaults) {
        *lock(&self.faults) = faults;
    }

    /// Returns the indexes that the target serves.
    #[must_use]
    pub const fn indexes(&self) -> &HeldIndexes {
        &self.indexes
    }

    /// Returns the starts and crashes of the target.
    #[must_use]
    pub const fn lifecycle(&self) -> &TargetLifecycle {
        &self.lifecycle
    }

    /// Cancels a waiting or running attempt; returns false if it isn't in flight.
    pub fn cancel(&self, attempt: AttemptId) -> bool {
        let cancel = lock(&self.cancel_tokens).get(&attempt).cloned();
        cancel.as_ref().inspect(|token| token.cancel()).is_some()
    }

    /// Runs an attempt or refuses it; the reply tells the number of free slots.
    pub async fn handle_attempt(&self, head: &AttemptHead, parameters: String) -> HttpReply {
        let mut reply = match self.refusal_reply(head) {
            Some(refusal) => refusal,
            None => self.admit(head, parameters).await,
        };
        head.echo_headers(&mut reply);
        set_header(
            &mut reply,
            target_dialect::FREE_SLOTS_HEADER,
            self.slots.available_permits(),
        );
        if self.faults().draining {
            set_header(&mut reply, target_dialect::DRAINING_HEADER, "true");
        }
        reply
    }

    fn refusal_reply(&self, head: &AttemptHead) -> Option<HttpReply> {
        let faults = self.faults();
        if faults.draining || faults.shedding {
            let reason = if faults.draining { "draining" } else { "shed" };
            return Some(not_run_reply(StatusCode::SERVICE_UNAVAILABLE, reason));
        }
        let requested = HeldIndex {
            shard: head.shard,
            version: head.version,
        };
        match self.indexes.state_of(requested) {
            _ if head.service != self.spec.service => {
                Some(text_reply(StatusCode::NOT_FOUND, "service is not held"))
            }
            IndexState::OtherShard => Some(text_reply(StatusCode::NOT_FOUND, "shard is not held")),
            IndexState::Gone => Some(not_run_reply(StatusCode::GONE, "version no longer held")),
            IndexState::Held => None,
        }
    }

    async fn admit(&self, head: &AttemptHead, parameters: String) -> HttpReply {
        let end = Instant::now() + head.remaining.as_duration();
        let cancel = CancelRegistration::new(&self.cancel_tokens, head.attempt);
        let slot = tokio::select! {
            slot = self.acquire_slot() => slot,
            () = cancel.token.cancelled() => None,
            () = tokio::time::sleep_until(end) => None,
        };
        match slot {
            Some(_slot) => self.run_attempt(head, parameters, end, &cancel.token).await,
            None => not_run_reply(StatusCode::SERVICE_UNAVAILABLE, "shed"),
        }
    }

    /// Waits for a slot; returns none if the queue is full.
    async fn acquire_slot(&self) -> Option<SemaphorePermit<'_>> {
        if let Ok(slot) = self.slots.try_acquire() {
            return Some(slot);
        }
        let _permit = QueuePermit::try_acquire(&self.waiting_count, self.spec.max_queue_length)?;
        self.slots.acquire().await.ok()
    }

    async fn run_attempt(
        &self,
        head: &AttemptHead,
        parameters: String,
        end: Instant,
        cancel: &CancellationToken,
    ) -> HttpReply {
        let guard = self.run_log.start_run(self.new_record(head, &parameters));
        let faults = self.faults();
        if let Some(downtime) = faults.crash_downtime(&parameters) {
            self.lifecycle.crash(downtime);
            // The crash closes the connection, which drops this future.
            std::future::pending::<()>().await;
        }
        let (runs, age) = self.lifecycle.record_run();
        let run_time = self
            .spec
            .service_time
            .sample(&head.template, &mut *lock(&self.rng))
            .mul_f64(faults.slowdown_factor(runs, age));
        tokio::select! {
            () = tokio::time::sleep(run_time.as_duration()) => {
                guard.finish(RunStatus::Answered);
                let rows = rows::derive_rows(&head.service, head.shard, head.version, &parameters);
                json_reply(StatusCode::OK, &rows)
            }
            () = cancel.cancelled() => {
                guard.finish(RunStatus::Cancelled);
                text_reply(StatusCode::INTERNAL_SERVER_ERROR, "cancelled")
            }
            () = tokio::time::sleep_until(end) => {
                guard.finish(RunStatus::Expired);
                text_reply(StatusCode::GATEWAY_TIMEOUT, "the deadline has passed")
            }
        }
    }

    fn new_record(&self, head: &AttemptHead, parameters: &str) -> RunRecord {
        RunRecord {
            target: self.spec.target.clone(),
            attempt: head.attempt,
            service: head.service.clone(),
            template: head.template.clone(),
            snapshot: head.snapshot,
            shard: head.shard,
            version: head.version,
            parameters: parameters.to_owned(),
            started_us: 0,
            ended_us: 0,
            status: RunStatus::Running,
        }
    }
}

/// Position in the queue of attempts that wait for a slot.
struct QueuePermit<'a> {
    waiting_count: &'a AtomicU32,
}

impl<'a> QueuePermit<'a> {
    fn try_acquire(waiting_count: &'a AtomicU32, capacity: u32) -> Option<Self> {
        let permit = Self { waiting_count };
        // If the queue is full, `drop` undoes the increment.
        (waiting_count.fetch_add(1, Ordering::Relaxed) < capacity).then_some(permit)
    }
}

impl Drop for QueuePermit<'_> {
    fn drop(&mut self) {
        self.waiting_count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Makes an attempt cancellable until it is dropped.
struct CancelRegistration<'a> {
    cancel_tokens: &'a Mutex<HashMap<AttemptId, CancellationToken>>,
    attempt: AttemptId,
    token: CancellationToken,
}

impl<'a> CancelRegistration<'a> {
    fn new(
        cancel_tokens: &'a Mutex<HashMap<AttemptId, CancellationToken>>,
        attempt: AttemptId,
    ) -> Self {
        let token = CancellationToken::new();
        lock(cancel_tokens).insert(attempt, token.clone());
        Self {
            cancel_tokens,
            attempt,
            token,
        }
    }
}

impl Drop for CancelRegistration<'_> {
    fn drop(&mut self) {
        lock(self.cancel_tokens).remove(&self.attempt);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
