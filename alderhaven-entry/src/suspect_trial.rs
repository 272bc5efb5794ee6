//! The retries of a query that may have crashed the targets of several shards at once.
//!
//! Several targets lost under one query are either a host that died or the query's doing. Were all
//! lost shards tried again at once, the second case would cost as many targets once more. So one of
//! them is tried first, and the others wait for its end: the answer of a replica clears the query.

use alderhaven_core::outcome::AttemptOutcome;

/// A `SuspectTrial` holds back the retries of a suspect but for one.
#[derive(Debug, Default)]
pub struct SuspectTrial {
    trial_slot: Option<usize>,
    is_cleared: bool,
    held_retries: Vec<(usize, AttemptOutcome)>,
}

impl SuspectTrial {
    /// Gets the slot of the shard that is on trial.
    #[must_use]
    pub const fn slot(&self) -> Option<usize> {
        self.trial_slot
    }

    /// Returns true where a slot's shard may be tried again now; otherwise it waits, with the
    /// outcome that it is to be retried for.
    pub fn try_begin(&mut self, slot: usize, outcome: AttemptOutcome) -> bool {
        let is_other = self.trial_slot.is_some_and(|tried| tried != slot);
        if is_other && !self.is_cleared {
            self.held_retries.push((slot, outcome));
            return false;
        }
        self.trial_slot = Some(slot);
        true
    }

    /// Notes that a slot's shard was answered: no further trial is needed where it was on trial.
    pub fn record_answer(&mut self, slot: usize) {
        self.is_cleared |= self.trial_slot == Some(slot);
    }

    /// Ends the trial and gets the slots that waited for it.
    pub fn finish(&mut self) -> Vec<(usize, AttemptOutcome)> {
        self.trial_slot = None;
        std::mem::take(&mut self.held_retries)
    }
}
