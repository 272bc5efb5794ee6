//! Bucket of one team's credit that is refilled in proportion to a share of the team's limit.

use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::grant_limit::GrantLimit;
use crate::share_history::ShareHistory;

/// Above this share, at most one bucket of a team can exist in the group, so that rounding its
/// capacity up to one request adds less than one request in all.
const MAJORITY_SHARE: f64 = 0.5;

/// Difference between sums of the same shares in another order, at most.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Tolerance for sums of refills, which are not exact.
const WHOLE_TOLERANCE: f64 = 1e-9;

/// Credit of one team in whole requests.
///
/// Credit that is returned adds no more than if it had never been taken: the bucket may have been full
/// then, so that all that it gained since counts against what is returned.
#[derive(Clone, Copy, Debug)]
pub struct ShareBucket {
    limit: GrantLimit,
    share: f64,
    level: f64,
    updated_at: TimePoint,
    /// When the share or the limit was last lowered, so that credit may have been lost.
    lowered_at: TimePoint,
}

impl ShareBucket {
    /// Creates an empty bucket.
    #[must_use]
    pub const fn new(limit: GrantLimit, share: f64, now: TimePoint) -> Self {
        Self {
            limit,
            share,
            level: 0.0,
            updated_at: now,
            lowered_at: now,
        }
    }

    /// Creates a full bucket.
    #[must_use]
    pub fn full(limit: GrantLimit, share: f64, now: TimePoint) -> Self {
        let mut bucket = Self::new(limit, share, now);
        bucket.level = bucket.capacity();
        bucket
    }

    /// Creates a bucket with the level that it would have if it had existed all the time.
    pub(crate) fn with_history(limit: GrantLimit, history: &ShareHistory, now: TimePoint) -> Self {
        let (steady_share, steady_time) = history.steady(now);
        let mut bucket = Self::new(limit, steady_share, now);
        let refilled = limit.rate * steady_share * steady_time.as_secs_f64();
        bucket.level = refilled.min(bucket.capacity());
        bucket.share = history.share();
        bucket
    }

    /// Adds credit, up to the capacity.
    pub(crate) fn add(&mut self, count: f64, now: TimePoint) {
        self.refill(now);
        self.level += count;
        self.clip();
    }

    /// Sets the share; credit above the new capacity is lost.
    pub fn set_share(&mut self, share: f64, now: TimePoint) {
        self.refill(now);
        if share < self.share - SHARE_TOLERANCE {
            self.lowered_at = now;
        }
        self.share = share;
        self.clip();
    }

    /// Sets the limit; credit above the new capacity is lost.
    pub fn set_limit(&mut self, limit: GrantLimit, now: TimePoint) {
        if self.limit != limit {
            self.refill(now);
            self.lowered_at = now;
            self.limit = limit;
            self.clip();
        }
    }

    /// Takes up to `wanted` requests and returns how many were taken.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the level is not negative, and the cast saturates"
    )]
    pub fn take(&mut self, wanted: u32, now: TimePoint) -> u32 {
        self.refill(now);
        let taken = wanted.min((self.level + WHOLE_TOLERANCE) as u32);
        self.level = (self.level - f64::from(taken)).max(0.0);
        taken
    }

    /// Returns requests that were taken at `taken_at` and did not run.
    pub fn give_back(&mut self, count: u32, taken_at: TimePoint, now: TimePoint) {
        self.refill(now);
        if taken_at < self.lowered_at {
            return;
        }
        let elapsed = now.since(taken_at).as_secs_f64();
        let gained = elapsed * self.limit.rate * self.share;
        self.level += (f64::from(count) - gained).max(0.0);
        self.clip();
    }

    /// Returns the time in which one request is refilled; `None` if the bucket never holds one.
    #[must_use]
    pub fn refill_interval(&self) -> Option<TimeSpan> {
        let rate = self.limit.rate * self.share;
        let is_useful = rate > 0.0 && self.capacity() >= 1.0 - WHOLE_TOLERANCE;
        is_useful.then(|| TimeSpan::from_secs(1).mul_f64(1.0 / rate))
    }

    /// Returns the time until the bucket holds one request; `None` if it never does.
    pub fn until_next(&mut self, now: TimePoint) -> Option<TimeSpan> {
        self.refill(now);
        let interval = self.refill_interval()?;
        Some(interval.mul_f64((1.0 - self.level).max(0.0)))
    }

    fn capacity(&self) -> f64 {
        let capacity = self.limit.capacity * self.share;
        if self.share > MAJORITY_SHARE {
            capacity.max(1.0)
        } else {
            capacity
        }
    }

    fn refill(&mut self, now: TimePoint) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.level += elapsed * self.limit.rate * self.share;
        self.updated_at = self.updated_at.max(now);
        self.clip();
    }

    fn clip(&mut self) {
        self.level = self.level.min(self.capacity());
    }
}
