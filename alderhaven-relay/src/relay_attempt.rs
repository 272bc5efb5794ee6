//! One attempt from its arrival at the relay to its reply.

use alderhaven_core::class::QueryClass;
use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::{AttemptId, TemplateName};
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_peer::connection::FrameSender;
use alderhaven_peer::frames::{AttemptReply, PeerMessage};
use alderhaven_policy::relay_queue::QueueJob;
use alderhaven_store::target_dialect::TargetRequest;

/// An attempt that an entry asked the relay to run.
#[derive(Debug)]
pub struct RelayAttempt {
    /// Request to the target; its remaining time is set when it is sent.
    pub request: TargetRequest,
    /// Query template, by which service times are recorded.
    pub template: TemplateName,
    /// Fingerprint of the template and the parameters.
    pub fingerprint: RequestFingerprint,
    /// Whether the query may safely be repeated.
    pub is_idempotent: bool,
    /// Class of the query.
    pub class: QueryClass,
    /// Order within the class, lower first; the same at all relays of the query.
    pub order: u64,
    /// Whether the attempt is a hedge, which runs only if a slot is free.
    pub is_hedge: bool,
    /// Time after which the answer is of no use.
    pub deadline: TimePoint,
    /// Arrival of the attempt at the relay.
    pub arrived_at: TimePoint,
    /// Connection of the entry that gets the reply.
    pub reply_to: FrameSender,
}

impl RelayAttempt {
    /// Returns the attempt's id.
    #[must_use]
    pub const fn id(&self) -> AttemptId {
        self.request.attempt
    }

    /// Returns the job that stands for the attempt in the queue.
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

    /// Sends the reply to the entry; if its connection is closed, the reply is dropped.
    pub fn reply(&self, reply: AttemptReply) {
        let _entry_gone = self.reply_to.send(PeerMessage::Reply(reply));
    }

    /// Returns the time from `now` until the deadline.
    #[must_use]
    pub const fn remaining_time(&self, now: TimePoint) -> TimeSpan {
        now.until(self.deadline)
    }
}
