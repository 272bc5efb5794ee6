//! A share of all limits over time.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// Growth of the share, as a factor, from which the steady share is measured anew.
const RESTART_GROWTH: f64 = 1.25;

/// The present share, and the share that has been held without interruption.
///
/// A bucket that is created on first use takes its level from the steady share, since all buckets of
/// teams without requests would otherwise have to be kept.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShareHistory {
    share: f64,
    steady_share: f64,
    steady_since: TimePoint,
}

impl ShareHistory {
    /// Creates the history of a process that has no share yet.
    pub(crate) const fn new(now: TimePoint) -> Self {
        Self {
            share: 0.0,
            steady_share: 0.0,
            steady_since: now,
        }
    }

    /// Sets the present share. Returns `true` if it changed.
    pub(crate) fn set(&mut self, share: f64, now: TimePoint) -> bool {
        let is_changed = (share - self.share).abs() > f64::EPSILON;
        self.share = share;
        if share > self.steady_share * RESTART_GROWTH {
            self.steady_share = share;
            self.steady_since = now;
        } else {
            self.steady_share = self.steady_share.min(share);
        }
        is_changed
    }

    /// Returns the present share.
    pub(crate) const fn share(&self) -> f64 {
        self.share
    }

    /// Returns a share that was held at each moment of the returned time until now.
    pub(crate) const fn steady(&self, now: TimePoint) -> (f64, TimeSpan) {
        (self.steady_share, now.since(self.steady_since))
    }
}
