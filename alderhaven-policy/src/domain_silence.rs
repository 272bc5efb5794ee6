//! Whether a failure domain has stopped to answer a node.
//!
//! Load pattern: a failure domain loses power or is cut off, and all replicas there fall silent in the
//! same moment.
//!
//! Without it: each query learns of it target by target. Its second attempts go to the same domain, and
//! while it waits for them it takes the place of another query.
//!
//! The rules:
//! - a domain is silent once some sources there were asked and nothing was heard from any of them since;
//!   a target that pauses while others answer says nothing of its domain, and neither do the first
//!   attempts of a node that has just started;
//! - it is lost, and what was sent there will hardly run, once that has lasted for a while: a domain
//!   whose targets are all slow is silent too;
//! - the silence ends with the first answer, or by itself after a while: few requests then find out
//!   whether it goes on, since one that meets it again is enough.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// The sources that must be silent: targets, or connections to fronts.
const MIN_SILENT_SOURCES: u32 = 3;

/// How long a domain counts as silent after the latest sign of it.
const SILENCE_SPAN: TimeSpan = TimeSpan::from_millis(1_000);

/// How long nothing is heard of a domain that is lost.
const LOST_AFTER: TimeSpan = TimeSpan::from_millis(500);

/// The shortest wait for a source that says anything of its domain.
const MIN_SOURCE_TIMEOUT: TimeSpan = TimeSpan::from_millis(60);

/// How many times the usual time a source is waited for.
const SOURCE_TIMEOUT_FACTOR: f64 = 3.0;

/// Gets how long a source that was asked is waited for, where answers usually take `usual`.
#[must_use]
pub fn source_timeout(usual: TimeSpan) -> TimeSpan {
    usual.mul_f64(SOURCE_TIMEOUT_FACTOR).max(MIN_SOURCE_TIMEOUT)
}

/// A `DomainSilence` is what one node has heard of one failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DomainSilence {
    last_answer_at: Option<TimePoint>,
    overdue_count: u32,
    silent_until: TimePoint,
}

impl DomainSilence {
    /// Notes that a source in the domain has answered; returns true where that ends a silence.
    pub fn record_answer(&mut self, now: TimePoint) -> bool {
        let was_silent = self.is_silent(now);
        *self = Self {
            last_answer_at: Some(now),
            ..Self::default()
        };
        was_silent
    }

    /// Notes that a source which was asked at `sent` has said nothing for as long as one is waited for;
    /// returns true where that begins a silence.
    pub fn record_overdue(&mut self, sent: TimePoint, now: TimePoint) -> bool {
        if self.last_answer_at.is_none_or(|heard_at| sent <= heard_at) {
            return false;
        }
        let was_silent = self.is_silent(now);
        self.overdue_count = self.overdue_count.saturating_add(1);
        if self.overdue_count >= MIN_SILENT_SOURCES {
            self.silent_until = now + SILENCE_SPAN;
        }
        !was_silent && self.is_silent(now)
    }

    /// Returns true while the domain counts as lost.
    #[must_use]
    pub fn is_lost(&self, now: TimePoint) -> bool {
        let heard_at = self.last_answer_at.unwrap_or(now);
        self.is_silent(now) && now.since(heard_at) >= LOST_AFTER
    }

    /// Returns true while the domain counts as silent.
    #[must_use]
    pub fn is_silent(&self, now: TimePoint) -> bool {
        now < self.silent_until
    }
}
