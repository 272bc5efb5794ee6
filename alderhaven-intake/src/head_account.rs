//! The account of what a connection buffers of a request that is arriving.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio_util::sync::CancellationToken;

use crate::byte_ledger::ByteLedger;
use crate::holding::{BudgetSpent, Holding};

/// What a connection buffers at least while a request arrives, in the process and in the kernel.
const BUFFER_BYTES: usize = 32 << 10;

/// Accounts for the heads of one connection, one after another.
#[derive(Debug)]
pub struct HeadAccount {
    ledger: Arc<ByteLedger>,
    /// Cancelled when the connection must be closed.
    closing: CancellationToken,
    state: Mutex<HeadState>,
}

#[derive(Debug)]
struct HeadState {
    /// Whether what arrives belongs to a head.
    is_in_head: bool,
    received: usize,
    holding: Option<Holding>,
}

impl HeadAccount {
    /// Creates the account of a new connection; `closing` is cancelled when its head must give way.
    #[must_use]
    pub const fn new(ledger: Arc<ByteLedger>, closing: CancellationToken) -> Self {
        Self {
            ledger,
            closing,
            state: Mutex::new(HeadState {
                is_in_head: true,
                received: 0,
                holding: None,
            }),
        }
    }

    /// Records that the head is complete. What follows is the body, whose bytes have an account of their own.
    pub fn end_head(&self) {
        let mut state = self.state();
        state.is_in_head = false;
        state.received = 0;
    }

    /// Records that the whole request has arrived.
    pub fn end_request(&self) {
        self.state().holding = None;
    }

    /// Records that the next head may arrive.
    pub fn begin_head(&self) {
        self.state().is_in_head = true;
    }

    /// Accounts for bytes that have arrived.
    ///
    /// # Errors
    /// They can't be held.
    pub(crate) fn add(&self, bytes: usize) -> Result<(), BudgetSpent> {
        let mut state = self.state();
        if !state.is_in_head {
            return Ok(());
        }
        state.received += bytes;
        let received = state.received;
        state
            .holding
            .get_or_insert_with(|| Holding::with_eviction(&self.ledger, self.closing.clone()))
            .resize(received.max(BUFFER_BYTES))
            .map(|_evicted| ())
    }

    fn state(&self) -> MutexGuard<'_, HeadState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
