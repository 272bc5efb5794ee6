//! Decides, once per attempt, whether it sends its request or is cancelled unsent.
//!
//! An attempt may still wait for a connection when its request times out. Exactly one side wins
//! the transition, so the caller of a non-idempotent request is told reliably whether it may have
//! run.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

const WAITING: u8 = 0;
const SENT: u8 = 1;
const CANCELLED: u8 = 2;

/// Shared by an attempt and the request that it belongs to.
#[derive(Clone, Debug, Default)]
pub struct AttemptPhase(Arc<AtomicU8>);

impl AttemptPhase {
    /// Claims the right to send. Returns `false` if the attempt was cancelled.
    #[must_use]
    pub fn begin_send(&self) -> bool {
        self.try_leave_waiting(SENT)
    }

    /// Cancels the attempt. Returns `true` if nothing was sent, in which case nothing will be.
    #[must_use]
    pub fn cancel(&self) -> bool {
        self.try_leave_waiting(CANCELLED)
    }

    fn try_leave_waiting(&self, next: u8) -> bool {
        let exchanged = self
            .0
            .compare_exchange(WAITING, next, Ordering::AcqRel, Ordering::Acquire);
        exchanged.is_ok()
    }
}
