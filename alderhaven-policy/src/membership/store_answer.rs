//! When the platform's store last answered any member.
//!
//! Load pattern: a few members watch the store for all, and the others must know that it is watched.
//! As news or as an object each such word goes to every member several times, and at rest these words
//! are nearly all that is sent.
//!
//! The rule: each message's header says how long ago the store answered whom, as far as its sender
//! knows. The word spreads with probes and answers that are sent in any case.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// The age that one way between two members adds: a header may have waited for a tick.
const MAX_HOP_DELAY: TimeSpan = TimeSpan::from_millis(50);

/// A `StoreSighting` says how long ago the store answered a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreAnswer {
    /// The number of the member's process.
    pub origin: u32,
    /// The time since the answer.
    pub age: TimeSpan,
}

/// A `SightingBoard` holds the latest answer of the store to this process and to any other one.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreAnswerTracker {
    own_answered_at: Option<TimePoint>,
    other_answer: Option<(TimePoint, u32)>,
}

impl StoreAnswerTracker {
    /// Notes that the store answered this process.
    pub fn record_own(&mut self, now: TimePoint) {
        self.own_answered_at = self.own_answered_at.max(Some(now));
    }

    /// Takes another member's word. One that came back to its origin says nothing new: a process that
    /// alone reaches the store must not take the echo of its own word for another watcher.
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

    /// Gets when the store last answered another member.
    #[must_use]
    pub fn other_answered_at(&self) -> Option<TimePoint> {
        self.other_answer.map(|(answered_at, _)| answered_at)
    }

    /// Gets the latest word for a message's header; `own` is the number of this process.
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
