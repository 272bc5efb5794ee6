//! Attempts of a query that may be crashing the targets that run it.
//!
//! A query whose request has strikes sends one shard first, and so does the retry of a query that
//! loses attempts before any shard has answered. An answer releases all other attempts; a second
//! loss ends them.

use std::collections::BTreeSet;
use std::sync::Arc;

use alderhaven_core::time::{TimePoint, TimeSpan};
use rand::RngExt;

use crate::crash_reporter;
use crate::query_run::QueryRun;
use crate::trial_registry::TrialGuard;

/// The targets that a trial may try without a decision: each refused the request, failed or was
/// unreachable.
const MAX_UNDECIDED_TRIALS: usize = 3;

/// `Retry-After` of a request that another front refused as quarantined before this one knew.
const QUARANTINE_NEWS_DELAY: TimeSpan = TimeSpan::from_secs(1);

impl QueryRun<'_> {
    /// Sends the first attempt of one shard, and holds back the others.
    pub(super) fn begin_trial(&mut self, guard: Option<Arc<TrialGuard>>) {
        self.trial_guard = guard;
        let Some(first) = self.choose_trial_shard() else {
            return;
        };
        let is_first = self.trial.try_begin(first, ());
        debug_assert!(is_first, "no other shard is on trial yet");
        for shard in (0..self.shards.len()).filter(|shard| *shard != first) {
            self.shards[shard].is_held = !self.trial.try_begin(shard, ());
        }
        self.send_first_attempts(&BTreeSet::from([first]));
    }

    /// Chooses the shard on trial: one of the cheaper half, at random, so that two requests that come
    /// together meet at different targets. Targets with another trial come last.
    fn choose_trial_shard(&self) -> Option<usize> {
        let now = self.context.clock.now();
        let rate = |shard: usize| {
            let target = self.shards[shard].next_target(self.typical_latency, now)?;
            let slots = target.entry().slots;
            let stats = target.stats();
            let cost = stats.expected_cost(self.typical_latency, slots, now);
            drop(stats);
            Some((target.crash_watch().has_trial(), cost, shard))
        };
        let mut shards: Vec<_> = (0..self.shards.len()).filter_map(rate).collect();
        shards.sort_unstable();
        let cheaper_half = shards.len().div_ceil(2);
        let index = rand::rng().random_range(0..cheaper_half.max(1));
        shards.get(index).map(|(_, _, shard)| *shard)
    }

    /// Returns `true` while the request may be crashing targets: attempts were held back or lost, and
    /// no shard has answered.
    pub(super) fn is_on_trial(&self) -> bool {
        let is_suspect = self.trial_guard.is_some() || self.trial.slot().is_some();
        (is_suspect || self.is_trial_lost) && !self.trial.is_cleared()
    }

    /// Clears the strikes of a shard that has answered. The first answer of the query releases the
    /// attempts that were held back.
    pub(super) fn record_shard_answer(&mut self, shard: usize, now: TimePoint) {
        self.clear_strikes(shard);
        if self.trial.is_cleared() {
            return;
        }
        let held = self.trial.clear();
        self.trial_guard = None;
        let held: Vec<usize> = held.into_iter().map(|(shard, ())| shard).collect();
        let mut unsent = BTreeSet::new();
        for shard in held {
            self.shards[shard].is_held = false;
            if self.shards[shard].tried.is_empty() {
                unsent.insert(shard);
            } else {
                self.retry(shard, now);
            }
        }
        if !unsent.is_empty() {
            self.send_first_attempts(&unsent);
        }
    }

    /// Retries a shard whose attempts have all ended without an answer, unless another shard is on
    /// trial or the request has lost its trial. `may_be_crashing` tells whether the attempt was lost
    /// or timed out, so that its target may have crashed or crash yet.
    pub(super) fn retry_unanswered(&mut self, shard: usize, may_be_crashing: bool, now: TimePoint) {
        let state = &self.shards[shard];
        if state.reply.is_some() || state.open_attempts > 0 || self.is_quarantined {
            return;
        }
        if self.is_trial_lost && !self.trial.is_cleared() {
            return;
        }
        let is_first_loss = may_be_crashing && self.trial.slot().is_none();
        if self.trial.is_cleared() || !self.is_on_trial() && !is_first_loss {
            self.retry(shard, now);
            return;
        }
        if self.trial.slot() == Some(shard) {
            if may_be_crashing {
                self.end_trial();
            } else {
                self.undecided_trials += 1;
                self.continue_trial(shard, now);
            }
        } else if self.trial.try_begin(shard, ()) {
            if !self.retry(shard, now) {
                self.pass_on_trial(now);
            }
        } else {
            self.shards[shard].is_held = true;
        }
    }

    /// Goes on with a trial whose target brought no decision.
    fn continue_trial(&mut self, shard: usize, now: TimePoint) {
        if self.undecided_trials >= MAX_UNDECIDED_TRIALS {
            self.end_trial();
        } else if !self.retry(shard, now) {
            self.pass_on_trial(now);
        }
    }

    /// Sends the next shard that was held back, if there is one.
    fn pass_on_trial(&mut self, now: TimePoint) {
        while let Some((shard, ())) = self.trial.pass_on() {
            self.shards[shard].is_held = false;
            let is_sent = if self.shards[shard].tried.is_empty() {
                self.send_first_attempts(&BTreeSet::from([shard]));
                !self.shards[shard].tried.is_empty()
            } else {
                self.retry(shard, now)
            };
            if is_sent {
                return;
            }
        }
    }

    /// Gives up the attempts that were held back. Those in flight may still bring an answer.
    fn end_trial(&mut self) {
        self.is_trial_lost = true;
        for (shard, ()) in self.trial.finish() {
            self.shards[shard].is_held = false;
        }
    }

    /// Clears the strikes of a shard that has answered, and publishes the change. Strikes of attempts
    /// that were lost just now may follow.
    fn clear_strikes(&self, shard: usize) {
        let crashes = self.context.catalog.crashes();
        let service = self.shards[shard].service.as_ref();
        let may_have_strikes = crashes.has_strikes() || self.trial.slot().is_some();
        if let Some(service) = service.filter(|_| may_have_strikes) {
            let shard = crash_reporter::shard_of_service(&service.name);
            if crashes.record_answer(&self.call.fingerprint(), shard) {
                self.context.crashes.publish_soon();
            }
        }
    }

    /// Returns how long the request is quarantined, if another front refused it for that.
    pub(super) fn quarantine_span(&self) -> Option<TimeSpan> {
        if !self.is_quarantined {
            return None;
        }
        let refused_for = self.context.catalog.crashes().refused_for(self.call);
        Some(refused_for.unwrap_or(QUARANTINE_NEWS_DELAY))
    }
}
