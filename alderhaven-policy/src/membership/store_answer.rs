//! Tracking of the store's last answer to any member.
//!
//! Only a few members watch the store, and the others need to know that it is being watched. Each
//! message header says how long ago the store answered which process, so the information spreads
//! without extra messages.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// Upper bound of the delay that one hop adds: a message may wait for a tick.
const MAX_HOP_DELAY: TimeSpan = TimeSpan::from_millis(50);

/// An answer of the store to one process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreAnswer {
    /// Fingerprint of the process that got the answer.
    pub origin: u32,
    /// Time since the answer.
    pub age: TimeSpan,
}

/// Latest answers of the store to this process and to any other one.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreAnswerTracker {
    own_answered_at: Option<TimePoint>,
    other_answer: Option<(TimePoint, u32)>,
}

impl StoreAnswerTracker {
    /// Records that the store answered this process.
    pub fn record_own(&mut self, now: TimePoint) {
        self.own_answered_at = self.own_answered_at.max(Some(now));
    }

    /// Records an answer to another process. Answers with this process's own fingerprint are
    /// ignored, so that the only process that reaches the store does not mistake itself for
    /// another watcher.
    pub fn record_other(&mut self, answer: StoreAnswer, own_fingerprint: u32, now: TimePoint) {
        if answer.origin == own_fingerprint {
            return;
        }
        let age = answer.age + MAX_HOP_DELAY;
        if age <= now.since(TimePoint::START) {
            let reported_answer = (now - age, answer.origin);
            self.other_answer = self.other_answer.max(Some(reported_answer));
        }
    }

    /// Returns the time of the store's last answer to another process.
    #[must_use]
    pub fn other_answered_at(&self) -> Option<TimePoint> {
        self.other_answer.map(|(answered_at, _)| answered_at)
    }

    /// Returns the latest answer for a message header.
    #[must_use]
    pub fn latest_answer(&self, own_fingerprint: u32, now: TimePoint) -> Option<StoreAnswer> {
        let own_answer = self
            .own_answered_at
            .map(|answered_at| (answered_at, own_fingerprint));
        own_answer
            .max(self.other_answer)
            .map(|(answered_at, origin)| StoreAnswer {
                origin,
                age: now.since(answered_at),
            })
    }
}
