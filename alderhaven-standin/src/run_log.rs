//! Log of all attempts that the targets ran, for oracles.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::ids::{AttemptId, IndexVersion, ServiceName, ShardId, SnapshotId, TargetId};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use tokio::time::Instant;

/// One run of an attempt at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Target that ran the attempt.
    pub target: TargetId,
    /// Attempt id that the caller assigned.
    #[serde(serialize_with = "write_attempt", deserialize_with = "read_attempt")]
    pub attempt: AttemptId,
    /// Service of the attempt.
    pub service: ServiceName,
    /// Name of the query template.
    pub template: String,
    /// Snapshot that the attempt was pinned to.
    pub snapshot: SnapshotId,
    /// Shard that was read.
    pub shard: ShardId,
    /// Index version that was read.
    pub version: IndexVersion,
    /// Canonical parameters; those of a non-idempotent request include its unique key.
    pub parameters: String,
    /// Start of the run, in microseconds since the log began.
    pub started_us: u64,
    /// End of the run, in microseconds since the log began; 0 while it runs.
    pub ended_us: u64,
    /// Whether and how the run ended.
    #[serde(rename = "end")]
    pub status: RunStatus,
}

/// State or result of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// Not ended yet.
    Running,
    /// The target replied with rows.
    Answered,
    /// The caller cancelled the attempt.
    Cancelled,
    /// The deadline passed.
    Expired,
    /// The connection broke or the target crashed.
    Dropped,
}

/// Run records of a whole fleet, in the order of their starts.
#[derive(Debug)]
pub struct RunLog {
    started_at: Instant,
    state: Mutex<LogState>,
}

#[derive(Debug, Default)]
struct LogState {
    /// Number of records that [`RunLog::take_records`] removed.
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
    /// Returns the microseconds since the log began.
    #[must_use]
    pub fn elapsed_us(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Returns a copy of the records that haven't been taken.
    #[must_use]
    pub fn records(&self) -> Vec<RunRecord> {
        self.lock_state().records.clone()
    }

    /// Removes and returns all records; a run that is still going on keeps its status `Running`.
    #[must_use]
    pub fn take_records(&self) -> Vec<RunRecord> {
        let mut state = self.lock_state();
        state.taken_count += state.records.len();
        std::mem::take(&mut state.records)
    }

    /// Counts the runs that haven't ended, among the records that haven't been taken.
    #[must_use]
    pub fn running_count(&self) -> usize {
        let state = self.lock_state();
        let running = |record: &&RunRecord| record.status == RunStatus::Running;
        state.records.iter().filter(running).count()
    }

    /// Counts all runs since the log began, taken records included.
    #[must_use]
    pub fn run_count(&self) -> usize {
        let state = self.lock_state();
        state.taken_count + state.records.len()
    }

    /// Records the start of a run; dropping the guard ends the run as `Dropped`.
    #[must_use]
    pub fn start_run(self: &Arc<Self>, mut record: RunRecord) -> RunGuard {
        record.started_us = self.elapsed_us();
        let mut state = self.lock_state();
        state.records.push(record);
        let run_number = state.taken_count + state.records.len() - 1;
        drop(state);
        RunGuard {
            log: Arc::clone(self),
            run_number,
            status: RunStatus::Dropped,
        }
    }

    fn lock_state(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end_run(&self, run_number: usize, status: RunStatus) {
        let now = self.elapsed_us();
        let mut state = self.lock_state();
        let index = run_number.checked_sub(state.taken_count);
        if let Some(record) = index.and_then(|index| state.records.get_mut(index)) {
            record.status = status;
            record.ended_us = now;
        }
    }
}

/// Ends a run when it is dropped.
#[derive(Debug)]
pub struct RunGuard {
    log: Arc<RunLog>,
    run_number: usize,
    status: RunStatus,
}

impl RunGuard {
    /// Ends the run with the given status.
    pub fn finish(mut self, status: RunStatus) {
        self.status = status;
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
