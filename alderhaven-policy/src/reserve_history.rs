//! A front's share of the reserves of all teams over time.

use alderhaven_core::time::TimePoint;

use crate::quota_bound::QuotaBound;
use crate::share_bucket::ShareBucket;
use crate::share_history::ShareHistory;

/// The share of the reserve, and the smallest one since the front first had a share.
///
/// Reserves start with a first filling, which a bucket that is created on first use also has.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReserveHistory {
    shares: ShareHistory,
    smallest_share: Option<f64>,
}

impl ReserveHistory {
    /// Creates the history of a process that has no share yet.
    pub(crate) const fn new(now: TimePoint) -> Self {
        Self {
            shares: ShareHistory::new(now),
            smallest_share: None,
        }
    }

    /// Sets the present share. Returns `true` if it changed.
    pub(crate) fn set(&mut self, share: f64, now: TimePoint) -> bool {
        if self.smallest_share.is_some() || share > 0.0 {
            let smallest = self.smallest_share.unwrap_or(share).min(share);
            self.smallest_share = Some(smallest);
        }
        self.shares.set(share, now)
    }

    /// Returns `true` if the front has had a share.
    pub(crate) const fn has_started(&self) -> bool {
        self.smallest_share.is_some()
    }

    /// Creates the reserve of a team that has not used it.
    pub(crate) fn new_bucket(&self, bound: &QuotaBound, now: TimePoint) -> ShareBucket {
        let mut bucket = ShareBucket::with_history(bound.reserve_limit(), &self.shares, now);
        let filling = bound.start_reserve(self.smallest_share.unwrap_or(0.0));
        bucket.add(filling, now);
        bucket
    }
}
