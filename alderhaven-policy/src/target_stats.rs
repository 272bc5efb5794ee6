//! What this process knows of one target's load, shared by all threads through atomics.
//!
//! The counts of what was sent from here come first. A relay's word on the wait at the target is
//! the next best, and fades as time passes, as the queue that it tells of is worked off. Reports of
//! the target itself don't enter.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use alderhaven_core::time::{TimePoint, TimeSpan};

/// Slowness is kept in thousandths, so that it fits an atomic integer.
const SLOWNESS_UNIT: f64 = 1000.0;
/// The weight of a sample that is slower than what is known: a slow target shows in few replies.
const RISE_WEIGHT: f64 = 0.3;
/// The weight of a sample that is faster: one quick reply is no recovery.
const FALL_WEIGHT: f64 = 0.1;
/// The time in which slowness without new samples fades to 37%: a target that was ten times slower
/// is tried again after some twenty seconds, which costs one slow attempt.
const SLOWNESS_DECAY_TIME: TimeSpan = TimeSpan::from_secs(10);
/// The greatest slowness that is told apart.
const MAX_SLOWNESS: f64 = 100.0;

/// A `TargetGauge` holds the load of one target as it is seen from here.
///
/// Its fields are read one by one while other threads write. A choice made on values of slightly
/// different times is still one of two replicas; nothing that must hold depends on it.
#[derive(Debug, Default)]
pub struct TargetStats {
    outstanding: AtomicU32,
    slowness: AtomicU64,
    sampled_at: AtomicU64,
    wait: AtomicU64,
    wait_at: AtomicU64,
    consecutive_failures: AtomicU32,
    ejections: AtomicU32,
    ejected_until: AtomicU64,
    is_suspect: AtomicU32,
}

impl TargetStats {
    /// Counts an attempt that was sent.
    pub fn record_sent(&self) {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes back an attempt that was sent.
    pub fn record_ended(&self) {
        let _ = self
            .outstanding
            .try_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                count.checked_sub(1)
            });
    }

    /// Gets how many attempts from here are on their way.
    #[must_use]
    pub fn outstanding(&self) -> u32 {
        self.outstanding.load(Ordering::Relaxed)
    }

    /// Adds a service time against the one that is expected of any target.
    pub fn record_service_time(&self, service: TimeSpan, expected: TimeSpan, now: TimePoint) {
        if expected == TimeSpan::ZERO {
            return;
        }
        let ratio = service.as_micros() as f64 / expected.as_micros() as f64;
        let ratio = ratio.min(MAX_SLOWNESS);
        let known = self.slowness(now);
        let weight = if ratio > known {
            RISE_WEIGHT
        } else {
            FALL_WEIGHT
        };
        let next = (known + (ratio - known) * weight).max(0.05);
        self.slowness.store(to_thousandths(next), Ordering::Relaxed);
        self.sampled_at.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Notes the wait that a relay reports for a new attempt at the target.
    pub fn record_wait(&self, wait: TimeSpan, now: TimePoint) {
        self.wait.store(wait.as_micros(), Ordering::Relaxed);
        self.wait_at.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Gets how many times slower than expected the target is; above 1 it fades with time.
    #[must_use]
    pub fn slowness(&self, now: TimePoint) -> f64 {
        let kept = self.slowness.load(Ordering::Relaxed);
        if kept == 0 {
            return 1.0;
        }
        let kept = kept as f64 / SLOWNESS_UNIT;
        if kept <= 1.0 {
            return kept;
        }
        let sampled_at = TimePoint::from_micros(self.sampled_at.load(Ordering::Relaxed));
        let age = now.since(sampled_at).as_secs_f64();
        1.0 + (kept - 1.0) * (-age / SLOWNESS_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Gets the wait at the target by the last report, less the time since then.
    #[must_use]
    pub fn wait(&self, now: TimePoint) -> TimeSpan {
        let wait = TimeSpan::from_micros(self.wait.load(Ordering::Relaxed));
        let at = TimePoint::from_micros(self.wait_at.load(Ordering::Relaxed));
        wait.saturating_sub(now.since(at))
    }

    /// Notes an answer; the target is no longer a candidate for ejection.
    pub fn record_success(&self) {
        self.consecutive_failures.store(0, Ordering::Relaxed);
    }

    /// Notes a failure; after `most` in a row the target is ejected, each time for longer.
    ///
    /// Returns true where it was ejected by this one.
    pub fn record_failure(
        &self,
        most: u32,
        first: TimeSpan,
        longest: TimeSpan,
        now: TimePoint,
    ) -> bool {
        let failures = self.consecutive_failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures < most || self.is_ejected(now) {
            return false;
        }
        self.consecutive_failures.store(0, Ordering::Relaxed);
        let ended_at = TimePoint::from_micros(self.ejected_until.load(Ordering::Relaxed));
        // A target that held out for as long as the longest ejection begins anew.
        if now.since(ended_at) > longest {
            self.ejections.store(0, Ordering::Relaxed);
        }
        let before = self.ejections.fetch_add(1, Ordering::Relaxed).min(16);
        let span = first.mul_f64(f64::from(1_u32 << before)).min(longest);
        self.ejected_until
            .store((now + span).as_micros(), Ordering::Relaxed);
        true
    }

    /// Returns true while the target is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: TimePoint) -> bool {
        now.as_micros() < self.ejected_until.load(Ordering::Relaxed)
    }

    /// Notes whether the target's connections are in doubt.
    pub fn set_suspect(&self, is_suspect: bool) {
        self.is_suspect
            .store(u32::from(is_suspect), Ordering::Relaxed);
    }

    /// Returns true while the target's connections are in doubt.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.is_suspect.load(Ordering::Relaxed) != 0
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a ratio from 0.05 to 100 in thousandths"
)]
fn to_thousandths(ratio: f64) -> u64 {
    (ratio * SLOWNESS_UNIT) as u64
}
