//! Whether an attempt has begun to send its request.
//!
//! Failure: an attempt waits for a connection until its caller's time is over. The caller was told that
//! the request may have run, and could not send a booking again, although nothing was ever sent.
//! The attempt and the end of its request race for one step that only one of them can make: either the
//! attempt may send, or it never will.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

const WAITING: u8 = 0;
const SENT: u8 = 1;
const CANCELLED: u8 = 2;

/// An `AttemptPhase` is shared by an attempt and the request that it is for.
#[derive(Clone, Debug, Default)]
pub struct AttemptPhase(Arc<AtomicU8>);

impl AttemptPhase {
    /// Begins to send; returns false where the request was called off before.
    #[must_use]
    pub fn begin_send(&self) -> bool {
        self.try_leave_waiting(SENT)
    }

    /// Calls the attempt off; returns true where nothing was sent, and never will be.
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
