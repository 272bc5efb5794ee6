//! Limits the retries of a query that may have crashed targets of several shards at once.
//!
//! The cause is either a failed host or the request itself. Retrying all lost shards at once could
//! crash as many targets again, so one shard is retried first and the others wait for its outcome.
//! An answer clears the query.

use alderhaven_core::outcome::AttemptOutcome;

/// Holds back all retries of a suspected query except one.
#[derive(Debug, Default)]
pub struct SuspectTrial {
    trial_slot: Option<usize>,
    is_cleared: bool,
    held_retries: Vec<(usize, AttemptOutcome)>,
}

impl SuspectTrial {
    /// Returns the slot whose shard is on trial.
    #[must_use]
    pub const fn slot(&self) -> Option<usize> {
        self.trial_slot
    }

    /// Starts a trial of the slot's shard, unless another shard is on trial and the query isn't
    /// cleared. Otherwise holds the retry back and returns `false`.
    pub fn try_begin(&mut self, slot: usize, outcome: AttemptOutcome) -> bool {
        let is_other = self.trial_slot.is_some_and(|tried| tried != slot);
        if is_other && !self.is_cleared {
            self.held_retries.push((slot, outcome));
            return false;
        }
        self.trial_slot = Some(slot);
        true
    }

    /// Records an answer. If the slot was on trial, the query is cleared and needs no further
    /// trial.
    pub fn record_answer(&mut self, slot: usize) {
        self.is_cleared |= self.trial_slot == Some(slot);
    }

    /// Ends the trial, and returns the retries that were held back.
    pub fn finish(&mut self) -> Vec<(usize, AttemptOutcome)> {
        self.trial_slot = None;
        std::mem::take(&mut self.held_retries)
    }
}
