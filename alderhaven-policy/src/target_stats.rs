//! Load and health of one target as seen from this process, shared by all threads through atomics.
//!
//! The load is made up of the attempts sent from here and the wait that a relay last reported, less the
//! time since. The target's own reports are not used.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use alderhaven_core::time::{TimePoint, TimeSpan};

/// The fixed-point scale of slowness: thousandths fit an atomic integer.
const SLOWNESS_UNIT: f64 = 1000.0;
/// The weight of a sample above the known slowness; high, since a slow target gives few samples.
const RISE_WEIGHT: f64 = 0.3;
/// The weight of a sample below the known slowness; low, since one fast reply is no recovery.
const FALL_WEIGHT: f64 = 0.1;
/// The time constant of the exponential decay of slowness, so that a slow target is tried again.
/// One that was ten times slower is tried after some 20 s, at the cost of one slow attempt.
const SLOWNESS_DECAY_TIME: TimeSpan = TimeSpan::from_secs(10);
/// The largest slowness recorded.
const MAX_SLOWNESS: f64 = 100.0;

/// Load and health counters of one target.
///
/// The fields are read one by one while other threads write, so that a decision may mix values of
/// slightly different times. No invariant depends on their consistency.
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
    /// Counts an attempt as sent.
    pub fn record_sent(&self) {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends an attempt that was counted as sent.
    pub fn record_ended(&self) {
        let _ = self
            .outstanding
            .try_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                count.checked_sub(1)
            });
    }

    /// Returns the number of attempts from here in flight.
    #[must_use]
    pub fn outstanding(&self) -> u32 {
        self.outstanding.load(Ordering::Relaxed)
    }

    /// Adds a service time as a sample of slowness; `expected` is the service time expected of any
    /// target.
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

    /// Records the wait that a relay reports for a new attempt at the target.
    pub fn record_wait(&self, wait: TimeSpan, now: TimePoint) {
        self.wait.store(wait.as_micros(), Ordering::Relaxed);
        self.wait_at.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Returns the ratio of service time to expected service time; above 1 it decays with time.
    #[must_use]
    pub fn slowness(&self, now: TimePoint) -> f64 {
        let stored = self.slowness.load(Ordering::Relaxed);
        if stored == 0 {
            return 1.0;
        }
        let stored = stored as f64 / SLOWNESS_UNIT;
        if stored <= 1.0 {
            return stored;
        }
        let sampled_at = TimePoint::from_micros(self.sampled_at.load(Ordering::Relaxed));
        let age = now.since(sampled_at).as_secs_f64();
        1.0 + (stored - 1.0) * (-age / SLOWNESS_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Returns the wait that was last reported, less the time since then.
    #[must_use]
    pub fn wait(&self, now: TimePoint) -> TimeSpan {
        let wait = TimeSpan::from_micros(self.wait.load(Ordering::Relaxed));
        let at = TimePoint::from_micros(self.wait_at.load(Ordering::Relaxed));
        wait.saturating_sub(now.since(at))
    }

    /// Records an answer, which resets the count of consecutive failures.
    pub fn record_success(&self) {
        self.consecutive_failures.store(0, Ordering::Relaxed);
    }

    /// Records a failure. After `threshold` in a row the target is ejected, each time for longer.
    ///
    /// Returns `true` if this failure ejects it.
    pub fn record_failure(
        &self,
        threshold: u32,
        first: TimeSpan,
        longest: TimeSpan,
        now: TimePoint,
    ) -> bool {
        let failures = self.consecutive_failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures < threshold || self.is_ejected(now) {
            return false;
        }
        self.consecutive_failures.store(0, Ordering::Relaxed);
        let ended_at = TimePoint::from_micros(self.ejected_until.load(Ordering::Relaxed));
        // A target that served for longer than the longest ejection starts again with the first one.
        if now.since(ended_at) > longest {
            self.ejections.store(0, Ordering::Relaxed);
        }
        let doublings = self.ejections.fetch_add(1, Ordering::Relaxed).min(16);
        let span = first.mul_f64(f64::from(1_u32 << doublings)).min(longest);
        self.ejected_until
            .store((now + span).as_micros(), Ordering::Relaxed);
        true
    }

    /// Returns `true` while the target is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: TimePoint) -> bool {
        now.as_micros() < self.ejected_until.load(Ordering::Relaxed)
    }

    /// Sets whether the target's connections are suspect.
    pub fn set_suspect(&self, is_suspect: bool) {
        self.is_suspect
            .store(u32::from(is_suspect), Ordering::Relaxed);
    }

    /// Returns `true` while the target's connections are suspect.
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
