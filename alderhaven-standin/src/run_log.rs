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
    pub end: RunEnd,
}

/// A `RunEnd` says how a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
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
    began: Instant,
    kept: Mutex<KeptRuns>,
}

#[derive(Debug, Default)]
struct KeptRuns {
    /// The number of records that were taken before those in `records`.
    taken: usize,
    records: Vec<RunRecord>,
}

impl Default for RunLog {
    fn default() -> Self {
        Self {
            began: Instant::now(),
            kept: Mutex::default(),
        }
    }
}

impl RunLog {
    /// Gets the microseconds since the log began.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Gets a copy of the records.
    #[must_use]
    pub fn records(&self) -> Vec<RunRecord> {
        self.lock().records.clone()
    }

    /// Takes the records of runs out of the log; those still running keep the end they have now.
    #[must_use]
    pub fn take(&self) -> Vec<RunRecord> {
        let mut kept = self.lock();
        kept.taken += kept.records.len();
        std::mem::take(&mut kept.records)
    }

    /// Gets the number of recorded runs that go on.
    #[must_use]
    pub fn running(&self) -> usize {
        let kept = self.lock();
        let running = |record: &&RunRecord| record.end == RunEnd::Running;
        kept.records.iter().filter(running).count()
    }

    /// Gets the number of runs since the log began.
    #[must_use]
    pub fn count(&self) -> usize {
        let kept = self.lock();
        kept.taken + kept.records.len()
    }

    /// Begins a run; the guard ends it as dropped unless it is ended otherwise.
    #[must_use]
    pub fn begin(self: &Arc<Self>, mut record: RunRecord) -> RunGuard {
        record.started_us = self.now_us();
        let mut kept = self.lock();
        kept.records.push(record);
        let number = kept.taken + kept.records.len() - 1;
        drop(kept);
        RunGuard {
            log: Arc::clone(self),
            number,
            end: RunEnd::Dropped,
        }
    }

    fn lock(&self) -> MutexGuard<'_, KeptRuns> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end(&self, number: usize, end: RunEnd) {
        let now = self.now_us();
        let mut kept = self.lock();
        let position = number.checked_sub(kept.taken);
        if let Some(record) = position.and_then(|position| kept.records.get_mut(position)) {
            record.end = end;
            record.ended_us = now;
        }
    }
}

/// A `RunGuard` ends a run when it goes out of scope.
#[derive(Debug)]
pub struct RunGuard {
    log: Arc<RunLog>,
    number: usize,
    end: RunEnd,
}

impl RunGuard {
    /// Ends the run.
    pub fn finish(mut self, end: RunEnd) {
        self.end = end;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.log.end(self.number, self.end);
    }
}

fn write_attempt<S: Serializer>(attempt: &AttemptId, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(attempt)
}

fn read_attempt<'de, D: Deserializer<'de>>(deserializer: D) -> Result<AttemptId, D::Error> {
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(serde::de::Error::custom)
}
