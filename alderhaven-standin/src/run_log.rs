//! The record of everything that the targets ran, for oracles.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::ids::{AttemptId, IndexVersion, ServiceName, ShardId, SnapshotId, TargetId};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use tokio::time::Instant;

/// A `RunRecord` is one run of an attempt at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The target that ran the attempt.
    pub target: TargetId,
    /// The attempt.
    #[serde(serialize_with = "write_attempt", deserialize_with = "read_attempt")]
    pub attempt: AttemptId,
    /// The service.
    pub service: ServiceName,
    /// The template.
    pub template: String,
    /// The snapshot that the attempt named.
    pub snapshot: SnapshotId,
    /// The shard.
    pub shard: ShardId,
    /// The index version.
    pub version: IndexVersion,
    /// The canonical parameters, in which a non-idempotent request carries its own key.
    pub parameters: String,
    /// When the run began, in microseconds since the log began.
    pub started_us: u64,
    /// When the run ended, 0 while it runs.
    pub ended_us: u64,
    /// How the run ended.
    #[serde(rename = "end")]
    pub status: RunStatus,
}

/// A `RunEnd` says how a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// The run goes on.
    Running,
    /// The target answered.
    Answered,
    /// The caller cancelled the attempt.
    Cancelled,
    /// The attempt's deadline passed.
    Expired,
    /// The connection broke or the target crashed.
    Dropped,
}

/// A `RunLog` keeps the records of a whole fleet.
#[derive(Debug)]
pub struct RunLog {
    started_at: Instant,
    state: Mutex<LogState>,
}

#[derive(Debug, Default)]
struct LogState {
    /// The number of records that were taken before those in `records`.
    taken_count: usize,
    records: Vec<RunRecord>,
}

impl Default for RunLog {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            state: Mutex::default(),
        }
    }
}

impl RunLog {
    /// Gets the microseconds since the log began.
    #[must_use]
    pub fn elapsed_us(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Gets a copy of the records.
    #[must_use]
    pub fn records(&self) -> Vec<RunRecord> {
        self.lock_state().records.clone()
    }

    /// Takes the records of runs out of the log; those still running keep the end they have now.
    #[must_use]
    pub fn take_records(&self) -> Vec<RunRecord> {
        let mut state = self.lock_state();
        state.taken_count += state.records.len();
        std::mem::take(&mut state.records)
    }

    /// Gets the number of recorded runs that go on.
    #[must_use]
    pub fn running_count(&self) -> usize {
        let state = self.lock_state();
        let running = |record: &&RunRecord| record.status == RunStatus::Running;
        state.records.iter().filter(running).count()
    }

    /// Gets the number of runs since the log began.
    #[must_use]
    pub fn run_count(&self) -> usize {
        let state = self.lock_state();
        state.taken_count + state.records.len()
    }

    /// Begins a run; the guard ends it as dropped unless it is ended otherwise.
    #[must_use]
    pub fn start_run(self: &Arc<Self>, mut record: RunRecord) -> RunGuard {
        record.started_us = self.elapsed_us();
        let mut state = self.lock_state();
        state.records.push(record);
        let number = state.taken_count + state.records.len() - 1;
        drop(state);
        RunGuard {
            log: Arc::clone(self),
            run_number: number,
            status: RunStatus::Dropped,
        }
    }

    fn lock_state(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end_run(&self, number: usize, end: RunStatus) {
        let now = self.elapsed_us();
        let mut state = self.lock_state();
        let position = number.checked_sub(state.taken_count);
        if let Some(record) = position.and_then(|position| state.records.get_mut(position)) {
            record.status = end;
            record.ended_us = now;
        }
    }
}

/// A `RunGuard` ends a run when it goes out of scope.
#[derive(Debug)]
pub struct RunGuard {
    log: Arc<RunLog>,
    run_number: usize,
    status: RunStatus,
}

impl RunGuard {
    /// Ends the run.
    pub fn finish(mut self, end: RunStatus) {
        self.status = end;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.log.end_run(self.run_number, self.status);
    }
}

fn write_attempt<S: Serializer>(attempt: &AttemptId, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(attempt)
}

fn read_attempt<'de, D: Deserializer<'de>>(deserializer: D) -> Result<AttemptId, D::Error> {
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(serde::de::Error::custom)
}
