//! The pass of an admitted query; giving it back, in whatever way, frees its place.

use std::sync::Arc;

use alderhaven_core::time::TimePoint;
use alderhaven_policy::room_limit::QueryNeed;

use crate::query_admission::QueryAdmission;
use crate::shard_set::ShardSet;

/// An `AdmissionPass` stands for one admitted query.
///
/// It is given back when it is dropped: a caller that goes away drops its query at any point, and a
/// place that was never given back would shrink the front for good.
#[derive(Debug)]
pub struct AdmissionPass {
    admission: Arc<QueryAdmission>,
    shards: ShardSet,
    admitted: TimePoint,
    need: QueryNeed,
}

impl AdmissionPass {
    /// Returns the pass of a query that is admitted at `admitted`.
    #[must_use]
    pub const fn new(
        admission: Arc<QueryAdmission>,
        shards: ShardSet,
        admitted: TimePoint,
    ) -> Self {
        Self {
            admission,
            shards,
            admitted,
            need: QueryNeed::Unknown,
        }
    }

    /// Notes what the query says of the room.
    pub const fn note_need(&mut self, need: QueryNeed) {
        self.need = need;
    }
}

impl Drop for AdmissionPass {
    fn drop(&mut self) {
        self.admission.finish(self.shards, self.admitted, self.need);
    }
}
