//! Limits the attempts of a query that may crash the targets that run it.
//!
//! Either the request has crashed targets before, or several shards of the query were lost at once,
//! by the request or by a failed host. Sending all shards could crash as many targets again, so one
//! shard is tried first and the others wait for its outcome. An answer clears the query.

/// Holds back all attempts of a suspected query except those of one shard. `T` says what is held
/// back.
#[derive(Debug)]
pub struct SuspectTrial<T> {
    trial_slot: Option<usize>,
    is_cleared: bool,
    held: Vec<(usize, T)>,
}

impl<T> Default for SuspectTrial<T> {
    fn default() -> Self {
        Self {
            trial_slot: None,
            is_cleared: false,
            held: Vec::new(),
        }
    }
}

impl<T> SuspectTrial<T> {
    /// Returns the slot whose shard is on trial.
    #[must_use]
    pub const fn slot(&self) -> Option<usize> {
        self.trial_slot
    }

    /// Returns `true` once the query is cleared.
    #[must_use]
    pub const fn is_cleared(&self) -> bool {
        self.is_cleared
    }

    /// Starts a trial of the slot's shard, unless another shard is on trial and the query isn't
    /// cleared. Otherwise holds the attempt back and returns `false`.
    pub fn try_begin(&mut self, slot: usize, attempt: T) -> bool {
        let is_other = self.trial_slot.is_some_and(|tried| tried != slot);
        if is_other && !self.is_cleared {
            self.held.push((slot, attempt));
            return false;
        }
        self.trial_slot = Some(slot);
        true
    }

    /// Passes the trial on to an attempt that was held back. Returns `None` if there is none.
    pub fn pass_on(&mut self) -> Option<(usize, T)> {
        self.trial_slot = None;
        let (slot, attempt) = self.held.pop()?;
        self.trial_slot = Some(slot);
        Some((slot, attempt))
    }

    /// Records an answer. If the slot was on trial, the query is cleared and needs no further
    /// trial.
    pub fn record_answer(&mut self, slot: usize) {
        self.is_cleared |= self.trial_slot == Some(slot);
    }

    /// Clears the query, and returns the attempts that were held back.
    pub fn clear(&mut self) -> Vec<(usize, T)> {
        self.is_cleared = true;
        self.finish()
    }

    /// Ends the trial, and returns the attempts that were held back.
    pub fn finish(&mut self) -> Vec<(usize, T)> {
        self.trial_slot = None;
        std::mem::take(&mut self.held)
    }
}
