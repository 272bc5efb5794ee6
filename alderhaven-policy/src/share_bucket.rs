//! Bucket of one team's credit that is refilled in proportion to a share of the team's limit.

use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::grant_limit::GrantLimit;
use crate::share_history::ShareHistory;

/// Above this share, at most one bucket of a team can exist in the group, so that rounding its
/// capacity up to one request adds less than one request in all.
const MAJORITY_SHARE: f64 = 0.5;

/// Tolerance for sums of refills, which are not exact.
const WHOLE_TOLERANCE: f64 = 1e-9;

/// Credit of one team in whole requests.
///
/// The level plus the returnable credit never exceeds the capacity. Credit that is returned therefore
/// adds no more than if it had never been taken: what the bucket gained meanwhile counts against it.
#[derive(Clone, Copy, Debug)]
pub struct ShareBucket {
    limit: GrantLimit,
    share: f64,
    level: f64,
    returnable: f64,
    updated_at: TimePoint,
}

impl ShareBucket {
    /// Creates an empty bucket.
    #[must_use]
    pub const fn new(limit: GrantLimit, share: f64, now: TimePoint) -> Self {
        Self {
            limit,
            share,
            level: 0.0,
            returnable: 0.0,
            updated_at: now,
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

    /// Sets the share; credit above the new capacity is lost.
    pub fn set_share(&mut self, share: f64, now: TimePoint) {
        self.refill(now);
        self.share = share;
        self.clip();
    }

    /// Sets the limit; credit above the new capacity is lost.
    pub fn set_limit(&mut self, limit: GrantLimit, now: TimePoint) {
        if self.limit != limit {
            self.refill(now);
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
        self.returnable += f64::from(taken);
        self.clip();
        taken
    }

    /// Returns requests that were taken and did not run.
    pub fn give_back(&mut self, count: u32, now: TimePoint) {
        self.refill(now);
        let accepted = f64::from(count).min(self.returnable);
        self.level += accepted;
        self.returnable -= accepted;
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
        let capacity = self.capacity();
        self.level = self.level.min(capacity);
        self.returnable = self.returnable.min(capacity - self.level);
    }
}
