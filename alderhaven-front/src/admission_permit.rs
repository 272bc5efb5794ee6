//! The permit of an admitted query. Dropping it frees its slot at the gate.

use std::sync::Arc;

use alderhaven_core::time::TimePoint;
use alderhaven_policy::concurrency_limit::QuerySignal;

use crate::query_admission::QueryAdmission;
use crate::shard_set_id::ShardSetId;

/// Slot of one admitted query, held while the query runs.
///
/// Released on drop, because a query is dropped at any await point when its caller disconnects. A
/// leaked permit would lower the concurrency limit of the front permanently.
#[derive(Debug)]
pub struct AdmissionPermit {
    admission: Arc<QueryAdmission>,
    shards: ShardSetId,
    admitted_at: TimePoint,
    signal: QuerySignal,
}

impl AdmissionPermit {
    /// Creates the permit of a query that was admitted at `admitted_at`. Its signal is
    /// [`QuerySignal::Uninformative`] until [`Self::record_signal`] is called.
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

    /// Sets the capacity signal that the gate receives when the permit is dropped.
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
