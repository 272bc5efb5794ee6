//! A sliding window that consists of two halves.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// What was recorded in the last one to two spans. When the newer half is full, it replaces the older
/// one, which drops old records without a cost per record.
#[derive(Clone, Debug, Default)]
pub struct HalvedWindow<T> {
    older: T,
    newer: T,
    newer_since: TimePoint,
}

impl<T: Default> HalvedWindow<T> {
    /// Returns the half that records belong to at `now`; each half covers `span`.
    pub fn current(&mut self, span: TimeSpan, now: TimePoint) -> &mut T {
        if now.since(self.newer_since) >= span {
            self.older = std::mem::take(&mut self.newer);
            self.newer_since = now;
        }
        &mut self.newer
    }
}

impl<T> HalvedWindow<T> {
    /// Returns both halves, the older one first.
    pub const fn halves(&self) -> [&T; 2] {
        [&self.older, &self.newer]
    }
}
