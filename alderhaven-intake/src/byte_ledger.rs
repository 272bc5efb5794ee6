//! The bytes that all holders of a process share, and the notice to those that must give way.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::quantities::ByteSize;
use alderhaven_policy::byte_budget::{ByteBudget, HoldDecision, HoldDestination, HolderId};
use tokio_util::sync::CancellationToken;

/// Accounts for the bytes of one use, such as request bodies.
#[derive(Debug)]
pub struct ByteLedger {
    clock: ProcessClock,
    state: Mutex<LedgerState>,
}

#[derive(Debug)]
struct LedgerState {
    budget: ByteBudget,
    /// Cancelled when its holder must give way.
    evictions: HashMap<HolderId, CancellationToken>,
    evicted: u64,
    refused: u64,
}

/// What a ledger has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerFigures {
    /// The size of the budget.
    pub budget: ByteSize,
    /// The bytes that are held.
    pub held: ByteSize,
    /// The most bytes that were held at any time.
    pub peak: ByteSize,
    /// Holders that gave way to others.
    pub evicted: u64,
    /// Requests for bytes that were refused.
    pub refused: u64,
}

impl ByteLedger {
    /// Creates a ledger for `total` bytes.
    #[must_use]
    pub fn new(total: ByteSize, clock: ProcessClock) -> Self {
        Self {
            clock,
            state: Mutex::new(LedgerState {
                budget: ByteBudget::new(total),
                evictions: HashMap::new(),
                evicted: 0,
                refused: 0,
            }),
        }
    }

    /// Gets what was counted so far.
    #[must_use]
    pub fn figures(&self) -> LedgerFigures {
        let state = self.state();
        LedgerFigures {
            budget: state.budget.total(),
            held: state.budget.used(),
            peak: state.budget.peak(),
            evicted: state.evicted,
            refused: state.refused,
        }
    }

    pub(crate) fn add_holder(self: &Arc<Self>, eviction: CancellationToken) -> HolderId {
        let now = self.clock.now();
        let mut state = self.state();
        let id = state.budget.add_holder(now);
        state.evictions.insert(id, eviction);
        id
    }

    /// Changes the bytes of a holder; returns how many others must give way, or `None` if the bytes can't be
    /// held.
    pub(crate) fn resize(&self, id: HolderId, bytes: usize) -> Option<usize> {
        let now = self.clock.now();
        let mut state = self.state();
        match state.budget.resize(id, bytes, now) {
            HoldDecision::Held(victims) => {
                for victim in &victims {
                    state.evicted += 1;
                    if let Some(eviction) = state.evictions.remove(victim) {
                        eviction.cancel();
                    }
                }
                Some(victims.len())
            }
            HoldDecision::Refused => {
                state.refused += 1;
                None
            }
        }
    }

    pub(crate) fn set_in_use(&self, id: HolderId, destination: Option<HoldDestination>) -> bool {
        let mut state = self.state();
        let is_in_use = state.budget.set_in_use(id, destination);
        state.refused += u64::from(!is_in_use);
        is_in_use
    }

    pub(crate) fn set_leaving(&self, id: HolderId, eviction: CancellationToken) {
        let now = self.clock.now();
        let mut state = self.state();
        state.budget.set_leaving(id, now);
        if let Some(known) = state.evictions.get_mut(&id) {
            *known = eviction;
        }
    }

    pub(crate) fn remove_holder(&self, id: HolderId) {
        let mut state = self.state();
        state.budget.remove_holder(id);
        state.evictions.remove(&id);
    }

    fn state(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
