//! The account of one holder.

use std::sync::Arc;

use alderhaven_policy::byte_budget::{HoldDestination, HolderId};
use tokio_util::sync::CancellationToken;

use crate::byte_ledger::ByteLedger;

/// Bytes that are accounted for in a ledger until this is dropped.
#[derive(Debug)]
pub struct Holding {
    ledger: Arc<ByteLedger>,
    id: HolderId,
    eviction: CancellationToken,
}

/// The bytes can't be held: the budget is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetSpent;

impl Holding {
    /// Creates a holding of no bytes.
    #[must_use]
    pub fn new(ledger: &Arc<ByteLedger>) -> Self {
        Self::with_eviction(ledger, CancellationToken::new())
    }

    /// Creates a holding of no bytes; `eviction` is cancelled when the holder must give up its bytes.
    #[must_use]
    pub fn with_eviction(ledger: &Arc<ByteLedger>, eviction: CancellationToken) -> Self {
        Self {
            id: ledger.add_holder(eviction.clone()),
            ledger: Arc::clone(ledger),
            eviction,
        }
    }

    /// Changes the number of bytes, and returns how many holders must give way, which have occupied more for
    /// longer. They free their memory when their tasks run.
    ///
    /// # Errors
    /// The bytes can't be held, or this holder had to give way itself.
    pub fn resize(&self, bytes: usize) -> Result<usize, BudgetSpent> {
        self.ledger.resize(self.id, bytes).ok_or(BudgetSpent)
    }

    /// Waits until the holder must give up its bytes, which are no longer accounted for then.
    pub async fn evicted(&self) {
        self.eviction.cancelled().await;
    }

    /// Records that the bytes are complete and in use, so that the holder doesn't have to give way.
    ///
    /// # Errors
    /// The destination has too many bytes in use already, or the holder had to give way before.
    pub fn set_in_use(&self, destination: Option<HoldDestination>) -> Result<(), BudgetSpent> {
        if self.ledger.set_in_use(self.id, destination) {
            Ok(())
        } else {
            Err(BudgetSpent)
        }
    }

    /// Records that the bytes are being sent. If their receiver doesn't take them and others need the
    /// memory, `eviction` is cancelled.
    pub fn set_leaving(&self, eviction: CancellationToken) {
        self.ledger.set_leaving(self.id, eviction);
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.ledger.remove_holder(self.id);
    }
}
