//! One attempt on its way through a lane.

use alderhaven_core::class::QueryClass;
use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::{AttemptId, TemplateName};
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_peer::connection::FrameSender;
use alderhaven_peer::frames::{AttemptReply, PeerMessage};
use alderhaven_policy::relay_queue::QueueJob;
use alderhaven_store::target_dialect::TargetRequest;

/// A `LaneAttempt` is one attempt that a lane has taken.
#[derive(Debug)]
pub struct RelayAttempt {
    /// What is asked of the target; its remaining time is set when it is sent.
    pub request: TargetRequest,
    /// The template, by which service times are remembered.
    pub template: TemplateName,
    /// The fingerprint of template and parameters.
    pub fingerprint: RequestFingerprint,
    /// Whether the query may be repeated without harm.
    pub is_idempotent: bool,
    /// The class of the query.
    pub class: QueryClass,
    /// The order within the class, the same at all relays of the query.
    pub order: u64,
    /// Whether the attempt is a hedge, which runs only where a slot is free.
    pub is_hedge: bool,
    /// The time after which the answer is of no use.
    pub deadline: TimePoint,
    /// When the attempt came in.
    pub arrived_at: TimePoint,
    /// Where the reply goes.
    pub reply_to: FrameSender,
}

impl RelayAttempt {
    /// Gets the attempt's id.
    #[must_use]
    pub const fn id(&self) -> AttemptId {
        self.request.attempt
    }

    /// Gets the attempt as the queue orders it.
    #[must_use]
    pub fn queue_job(&self) -> QueueJob {
        QueueJob {
            id: self.id(),
            class: self.class,
            order: self.order,
            template: self.template.clone(),
            deadline: self.deadline,
            is_hedge: self.is_hedge,
        }
    }

    /// Sends the attempt's reply.
    pub fn reply(&self, reply: AttemptReply) {
        // Where the entry's connection is gone nobody waits for the reply.
        let _entry_gone = self.reply_to.send(PeerMessage::Reply(reply));
    }

    /// Gets the remaining time at `now`.
    #[must_use]
    pub const fn remaining_time(&self, now: TimePoint) -> TimeSpan {
        now.until(self.deadline)
    }
}
