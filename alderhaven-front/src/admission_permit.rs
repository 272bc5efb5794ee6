//! The pass of an admitted query; giving it back, in whatever way, frees its place.

use std::sync::Arc;

use alderhaven_core::time::TimePoint;
use alderhaven_policy::concurrency_limit::QuerySignal;

use crate::query_admission::QueryAdmission;
use crate::shard_set_id::ShardSetId;

/// An `AdmissionPass` stands for one admitted query.
///
/// It is given back when it is dropped: a caller that goes away drops its query at any point, and a
/// place that was never given back would shrink the front for good.
#[derive(Debug)]
pub struct AdmissionPermit {
    admission: Arc<QueryAdmission>,
    shards: ShardSetId,
    admitted_at: TimePoint,
    signal: QuerySignal,
}

impl AdmissionPermit {
    /// Returns the pass of a query that is admitted at `admitted`.
    #[must_use]
    pub const fn new(
        admission: Arc<QueryAdmission>,
        shards: ShardSetId,
        admitted_at: TimePoint,
    ) -> Self {
        Self {
            admission,
            shards,
            admitted_at,
            signal: QuerySignal::Uninformative,
        }
    }

    /// Notes what the query says of the room.
    pub const fn record_signal(&mut self, signal: QuerySignal) {
        self.signal = signal;
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.admission
            .finish(self.shards, self.admitted_at, self.signal);
    }
}
