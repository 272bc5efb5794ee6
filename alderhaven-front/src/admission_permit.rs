//! The permit of an admitted query. Dropping it frees its slot at the gate.

use std::sync::Arc;

use alderhaven_core::time::TimePoint;
use alderhaven_policy::concurrency_limit::QuerySignal;
use alderhaven_policy::query_gate::GateQuery;

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
    query: GateQuery,
    admitted_at: TimePoint,
    has_waited: bool,
    signal: QuerySignal,
}

impl AdmissionPermit {
    /// Creates the permit of a query that was admitted at `admitted_at`. Its signal is
    /// [`QuerySignal::Uninformative`] until [`Self::record_signal`] is called.
    #[must_use]
    pub const fn new(
        admission: Arc<QueryAdmission>,
        shards: ShardSetId,
        query: GateQuery,
        admitted_at: TimePoint,
        has_waited: bool,
    ) -> Self {
        Self {
            admission,
            shards,
            query,
            admitted_at,
            has_waited,
            signal: QuerySignal::Uninformative,
        }
    }

    /// Returns true if the query waited in the queue of its gate.
    #[must_use]
    pub const fn has_waited(&self) -> bool {
        self.has_waited
    }

    /// Sets the capacity signal that the gate receives when the permit is dropped.
    pub const fn record_signal(&mut self, signal: QuerySignal) {
        self.signal = signal;
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.admission
            .finish(self.shards, &self.query, self.admitted_at, self.signal);
    }
}
