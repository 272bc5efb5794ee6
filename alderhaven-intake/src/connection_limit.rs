//! The limit on the open connections of one address.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_policy::connection_table::{ConnectionDecision, ConnectionId, ConnectionTable};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::connection_slot::ConnectionSlot;

/// Admits connections and closes those that have waited the longest for their peers.
#[derive(Debug)]
pub struct ConnectionLimit {
    clock: ProcessClock,
    /// The connections that may still send an answer after they were replaced.
    refusals: Arc<Semaphore>,
    state: Mutex<LimitState>,
}

#[derive(Debug)]
struct LimitState {
    table: ConnectionTable,
    closings: HashMap<ConnectionId, CancellationToken>,
    replaced: u64,
    refused: u64,
}

/// The part of a limit by which connections that send their last answer may exceed it.
const REFUSAL_DIVISOR: usize = 4;

/// What a limit has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionFigures {
    /// The open connections.
    pub open: usize,
    /// Connections that were closed for new ones.
    pub replaced: u64,
    /// New connections that were closed at once.
    pub refused: u64,
}

impl ConnectionLimit {
    /// Creates a limit of `limit` connections.
    #[must_use]
    pub fn new(limit: usize, clock: ProcessClock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            refusals: Arc::new(Semaphore::new((limit / REFUSAL_DIVISOR).max(1))),
            state: Mutex::new(LimitState {
                table: ConnectionTable::new(limit),
                closings: HashMap::new(),
                replaced: 0,
                refused: 0,
            }),
        })
    }

    /// Admits a new connection; `None` if it must be closed. A connection that stays in the queue of the
    /// kernel would look open to its peer, whose request then waits in vain.
    #[must_use]
    pub fn admit(self: &Arc<Self>) -> Option<ConnectionSlot> {
        let now = self.clock.now();
        let mut state = self.state();
        let id = match state.table.admit(now) {
            ConnectionDecision::Admitted(id) => id,
            ConnectionDecision::Replaces { admitted, closed } => {
                state.replaced += 1;
                if let Some(closing) = state.closings.remove(&closed) {
                    closing.cancel();
                }
                admitted
            }
            ConnectionDecision::Refused => {
                state.refused += 1;
                return None;
            }
        };
        let closing = CancellationToken::new();
        state.closings.insert(id, closing.clone());
        drop(state);
        Some(ConnectionSlot::new(Arc::clone(self), id, closing))
    }

    /// Gets what was counted so far.
    #[must_use]
    pub fn figures(&self) -> ConnectionFigures {
        let state = self.state();
        ConnectionFigures {
            open: state.table.len(),
            replaced: state.replaced,
            refused: state.refused,
        }
    }

    pub(crate) fn begin_refusal(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.refusals).try_acquire_owned().ok()
    }

    pub(crate) fn begin_run(&self, id: ConnectionId) {
        self.state().table.begin_run(id);
    }

    pub(crate) fn end_run(&self, id: ConnectionId) {
        let now = self.clock.now();
        self.state().table.end_run(id, now);
    }

    pub(crate) fn remove(&self, id: ConnectionId) {
        let mut state = self.state();
        state.table.remove(id);
        state.closings.remove(&id);
    }

    fn state(&self) -> MutexGuard<'_, LimitState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
