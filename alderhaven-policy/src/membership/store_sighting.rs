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
const HOP_AGE: TimeSpan = TimeSpan::from_millis(50);

/// A `StoreSighting` says how long ago the store answered a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreSighting {
    /// The number of the member's process.
    pub origin: u32,
    /// The time since the answer.
    pub age: TimeSpan,
}

/// A `SightingBoard` holds the latest answer of the store to this process and to any other one.
#[derive(Clone, Copy, Debug, Default)]
pub struct SightingBoard {
    own: Option<TimePoint>,
    other: Option<(TimePoint, u32)>,
}

impl SightingBoard {
    /// Notes that the store answered this process.
    pub fn note_own(&mut self, now: TimePoint) {
        self.own = self.own.max(Some(now));
    }

    /// Takes another member's word. One that came back to its origin says nothing new: a process that
    /// alone reaches the store must not take the echo of its own word for another watcher.
    pub fn hear(&mut self, sighting: StoreSighting, own: u32, now: TimePoint) {
        if sighting.origin == own {
            return;
        }
        let age = sighting.age + HOP_AGE;
        if age <= now.since(TimePoint::START) {
            let seen = (now - age, sighting.origin);
            self.other = self.other.max(Some(seen));
        }
    }

    /// Gets when the store last answered another member.
    #[must_use]
    pub fn other(&self) -> Option<TimePoint> {
        self.other.map(|(seen_at, _)| seen_at)
    }

    /// Gets the latest word for a message's header; `own` is the number of this process.
    #[must_use]
    pub fn latest(&self, own: u32, now: TimePoint) -> Option<StoreSighting> {
        let own = self.own.map(|seen_at| (seen_at, own));
        own.max(self.other).map(|(seen_at, origin)| StoreSighting {
            origin,
            age: now.since(seen_at),
        })
    }
}
