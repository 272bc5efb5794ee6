//! Detection of a failure domain that no longer answers.
//!
//! A domain is silent once several of its sources (targets, or connections to fronts) are overdue and
//! none of the domain has answered since they were asked. Only a domain that has answered before can
//! become silent, since the first attempts of a starting node wait for their connections. The silence
//! ends with the first answer, or expires; a single overdue source then renews it. A domain that is
//! silent for longer is lost, and what was sent there has probably not run.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// The number of overdue sources from which a domain is silent.
const MIN_SILENT_SOURCES: u32 = 3;

/// How long a domain stays silent after the latest overdue source.
const SILENCE_SPAN: TimeSpan = TimeSpan::from_millis(1_000);

/// The time without any answer after which a silent domain is lost.
const LOST_AFTER: TimeSpan = TimeSpan::from_millis(500);

/// The shortest time after which a source is overdue.
const MIN_SOURCE_TIMEOUT: TimeSpan = TimeSpan::from_millis(60);

/// The multiple of the typical latency after which a source is overdue.
const SOURCE_TIMEOUT_FACTOR: f64 = 3.0;

/// Returns the time after which a source is overdue if answers typically take `typical_latency`.
#[must_use]
pub fn source_timeout(typical_latency: TimeSpan) -> TimeSpan {
    typical_latency
        .mul_f64(SOURCE_TIMEOUT_FACTOR)
        .max(MIN_SOURCE_TIMEOUT)
}

/// One node's record of answers from one failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DomainSilence {
    last_answer_at: Option<TimePoint>,
    overdue_count: u32,
    silent_until: TimePoint,
}

impl DomainSilence {
    /// Records an answer from the domain. Returns `true` if that ends a silence.
    pub fn record_answer(&mut self, now: TimePoint) -> bool {
        let was_silent = self.is_silent(now);
        *self = Self {
            last_answer_at: Some(now),
            ..Self::default()
        };
        was_silent
    }

    /// Records that a source that was asked at `sent` is overdue. Returns `true` if that starts a
    /// silence.
    pub fn record_overdue(&mut self, sent: TimePoint, now: TimePoint) -> bool {
        if self
            .last_answer_at
            .is_none_or(|last_answer_at| sent <= last_answer_at)
        {
            return false;
        }
        let was_silent = self.is_silent(now);
        self.overdue_count = self.overdue_count.saturating_add(1);
        if self.overdue_count >= MIN_SILENT_SOURCES {
            self.silent_until = now + SILENCE_SPAN;
        }
        !was_silent && self.is_silent(now)
    }

    /// Returns `true` while the domain is lost.
    #[must_use]
    pub fn is_lost(&self, now: TimePoint) -> bool {
        let last_answer_at = self.last_answer_at.unwrap_or(now);
        self.is_silent(now) && now.since(last_answer_at) >= LOST_AFTER
    }

    /// Returns `true` while the domain is silent.
    #[must_use]
    pub fn is_silent(&self, now: TimePoint) -> bool {
        now < self.silent_until
    }
}
