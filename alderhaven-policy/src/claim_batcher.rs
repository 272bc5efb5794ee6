//! Batching of one process's idempotency claims into calls to the store.
//!
//! The first claim after a quiet time is written at once. At higher rates the next write waits for
//! its token and carries all claims that arrived meanwhile. Entries write the same buckets, so
//! writes and retries after conflicts are spread at random. A version below one seen before reveals
//! that the store was restored from an older copy; the process then grants no claims until it is
//! restarted. If a later era reveals it, only keys that may have been claimed before are refused.
//! While the store is out of service claims are refused at once, and after each pause one
//! claim tests whether the store is back.

use std::collections::BTreeMap;

use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::claim_bucket::ClaimWriter;
use crate::claim_call::{ClaimAction, ClaimCall, ClaimReply};
use crate::claim_fingerprint::ClaimFingerprint;
use crate::claim_id::ClaimId;
use crate::claim_key::ClaimKey;
use crate::claim_options::ClaimOptions;
use crate::claim_queue::{CallOutcome, ClaimQueue, ClaimVerdicts, NeededCall};
use crate::claim_slot;
use crate::claim_slot::ClaimSlot;
use crate::claim_verdict::{ClaimRefusal, ClaimTicket, ClaimVerdict};
use crate::pending_claim::PendingClaim;
use crate::token_bucket::TokenBucket;

/// The number of idle queues that are kept; their buckets are likely to be claimed in again, and a
/// known bucket saves a read.
const MAX_IDLE_QUEUES: usize = 8;

/// Turns claims into calls to the store, and replies of the store into verdicts.
#[derive(Debug)]
pub struct ClaimBatcher {
    writer: ClaimWriter,
    options: ClaimOptions,
    queues: BTreeMap<ClaimSlot, ClaimQueue>,
    write_limiter: TokenBucket,
    rng: StdRng,
    next_sequence: u64,
    /// The number of claims without a verdict.
    waiting_count: usize,
    next_write_at: TimePoint,
    pause: Option<StorePause>,
    /// The highest version seen in the store.
    highest_version: StoreVersion,
    /// Whether the store has answered this process.
    has_store_answered: bool,
    /// Whether the store has returned a version below one seen before.
    has_store_regressed: bool,
    /// Keys up to this timestamp, in milliseconds, may have been claimed in an earlier era of the
    /// store, which lost the claim.
    lost_until_millis: u64,
    verdicts: ClaimVerdicts,
    counts: ClaimCounts,
}

/// A time span in which no calls are made to the store.
#[derive(Clone, Copy, Debug)]
struct StorePause {
    until: TimePoint,
    span: TimeSpan,
    /// Whether claims are refused during the pause; otherwise they wait.
    refuses_claims: bool,
}

/// Counters of one batcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClaimCounts {
    /// Claims that were offered.
    pub offered: u64,
    /// Claims that were granted.
    pub granted: u64,
    /// Reads of buckets.
    pub reads: u64,
    /// Writes of buckets that were started.
    pub writes: u64,
    /// Writes that took effect.
    pub written: u64,
    /// The bytes of all writes that were started.
    pub written_bytes: u64,
    /// Writes that failed because another writer had changed the bucket.
    pub conflicts: u64,
    /// Calls whose reply was lost.
    pub lost_replies: u64,
    /// Calls that the store or the process's own budget refused.
    pub not_done: u64,
    /// Buckets that could not be read, or were older than a version seen before.
    pub broken: u64,
}

impl ClaimBatcher {
    /// Creates a batcher. The writer's origin must be random, so that claim ids never recur; the
    /// seed only spreads calls over time.
    #[must_use]
    pub fn new(writer: ClaimWriter, options: ClaimOptions, seed: u64, now: TimePoint) -> Self {
        Self {
            writer,
            queues: BTreeMap::new(),
            write_limiter: TokenBucket::new(options.writes, f64::from(options.burst), now),
            rng: StdRng::seed_from_u64(seed),
            options,
            next_sequence: 1,
            waiting_count: 0,
            next_write_at: now,
            pause: None,
            highest_version: StoreVersion::default(),
            has_store_answered: false,
            has_store_regressed: false,
            lost_until_millis: 0,
            verdicts: Vec::new(),
            counts: ClaimCounts::default(),
        }
    }

    /// Returns the counters.
    #[must_use]
    pub const fn counts(&self) -> ClaimCounts {
        self.counts
    }

    /// Returns the number of claims without a verdict.
    #[must_use]
    pub const fn waiting_count(&self) -> usize {
        self.waiting_count
    }

    /// Returns the number of claims still to be released in the store. It is zero once the store has
    /// regressed, since nothing is written then.
    #[must_use]
    pub fn release_count(&self) -> usize {
        if self.has_store_regressed {
            return 0;
        }
        self.queues.values().map(ClaimQueue::release_count).sum()
    }

    /// Offers a claim of a key, valid until `deadline`; exactly one verdict follows.
    pub fn offer(
        &mut self,
        key: ClaimKey,
        fingerprint: ClaimFingerprint,
        deadline: TimePoint,
        now: TimePoint,
    ) -> ClaimTicket {
        let id = ClaimId {
            origin: self.writer.origin,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        self.counts.offered += 1;
        let ticket = ClaimTicket { key, id };
        self.waiting_count += 1;
        if let Some((reason, retry_after)) = self.current_refusal(&key, now) {
            let claim = PendingClaim::new(ticket, fingerprint, now);
            let queue = self.queue(ClaimSlot::of(&key));
            let verdict = queue.refuse(&claim, reason, retry_after);
            self.verdicts.push(verdict);
            return ticket;
        }
        let claim_deadline = deadline.min(now + self.options.claim_timeout);
        let claim = PendingClaim::new(ticket, fingerprint, claim_deadline);
        self.queue(ClaimSlot::of(&key)).offer(claim, now);
        ticket
    }

    /// Releases a granted claim. To be called only with evidence that the request did not run.
    pub fn release(&mut self, ticket: ClaimTicket) {
        self.queue(ClaimSlot::of(&ticket.key)).release(ticket);
    }

    /// Returns the next call to make now. To be repeated until it returns `None`.
    pub fn poll(&mut self, now: TimePoint) -> Option<ClaimCall> {
        let retry_after = self.options.least_pause;
        // After a regression nothing is written, so that an operator finds the store as it was
        // restored.
        let is_paused =
            self.has_store_regressed || self.pause.is_some_and(|pause| now < pause.until);
        let mut call = None;
        for (slot, queue) in &mut self.queues {
            queue.expire_claims(now, retry_after, &mut self.verdicts);
            let needed = queue.needed_call(now, retry_after, &mut self.verdicts);
            let is_blocked = is_paused || queue.is_backing_off(now);
            if needed == NeededCall::Nothing || is_blocked || call.is_some() {
                continue;
            }
            if !queue.has_write_token() {
                if now < self.next_write_at {
                    continue;
                }
                if let Err(wait) = self.write_limiter.take(now) {
                    let jitter_factor = 1.0 + self.rng.random::<f64>();
                    self.next_write_at = now + wait.mul_f64(jitter_factor);
                    continue;
                }
                queue.grant_write_token();
            }
            call = queue
                .start_call(needed, &self.writer, self.highest_version, now)
                .map(|action| ClaimCall {
                    slot: *slot,
                    action,
                });
        }
        self.count_call(call.as_ref());
        self.drop_idle_queues();
        call
    }

    /// Handles the reply to a call. `wall_millis` is the wall clock, in milliseconds since the Unix
    /// epoch.
    pub fn handle_reply(
        &mut self,
        slot: ClaimSlot,
        reply: ClaimReply,
        now: TimePoint,
        wall_millis: u64,
    ) {
        if matches!(reply, ClaimReply::Conflict(_)) {
            self.counts.conflicts += 1;
        }
        let Some(queue) = self.queues.get_mut(&slot) else {
            return;
        };
        let era = self.highest_version.era;
        let is_answer = !matches!(reply, ClaimReply::NotDone { .. } | ClaimReply::Lost);
        let outcome = queue.handle_reply(reply, era, now, &mut self.verdicts);
        // A call that was in flight when the store came back may have returned such claims.
        queue.refuse_waiting_until(
            self.lost_until_millis,
            ClaimRefusal::LedgerBroken,
            self.options.longest_pause,
            &mut self.verdicts,
        );
        self.highest_version = self.highest_version.max(queue.cached_version());
        match outcome {
            CallOutcome::Answered => self.pause = None,
            CallOutcome::Conflict => {
                self.pause = None;
                queue.back_off(self.rng.random(), now);
            }
            CallOutcome::Written => {
                self.pause = None;
                self.counts.written += 1;
            }
            CallOutcome::NotDone(Some(retry_after)) => {
                self.counts.not_done += 1;
                self.pause = Some(StorePause {
                    until: now + retry_after,
                    span: retry_after,
                    refuses_claims: false,
                });
            }
            CallOutcome::NotDone(None) => {
                self.counts.not_done += 1;
                let retry_after = self.begin_pause(true, now);
                self.refuse_all(ClaimRefusal::StoreDown, retry_after);
            }
            CallOutcome::Lost => {
                self.counts.lost_replies += 1;
                self.begin_pause(false, now);
            }
            CallOutcome::StoreRegressed => {
                self.counts.broken += 1;
                self.has_store_regressed = true;
                let retry_after = self.options.longest_pause;
                self.refuse_all(ClaimRefusal::LedgerBroken, retry_after);
            }
            CallOutcome::StoreRestored(version) => self.handle_restore(version, wall_millis),
            CallOutcome::Unreadable => {
                self.counts.broken += 1;
                let retry_after = self.begin_pause(false, now);
                if let Some(queue) = self.queues.get_mut(&slot) {
                    queue.refuse_waiting(
                        ClaimRefusal::LedgerBroken,
                        retry_after,
                        &mut self.verdicts,
                    );
                }
            }
        }
        self.has_store_answered |= is_answer;
    }

    /// Refuses all keys that may have been claimed before the store came back.
    ///
    /// A process that the store had not answered before can't tell when it came back, and refuses the
    /// keys from before its own first call.
    fn handle_restore(&mut self, version: StoreVersion, wall_millis: u64) {
        self.counts.broken += 1;
        let skew_millis = if self.has_store_answered {
            claim_slot::KEY_SKEW.as_millis()
        } else {
            0
        };
        self.highest_version = version;
        let lost_until_millis = wall_millis.saturating_add(skew_millis);
        self.lost_until_millis = self.lost_until_millis.max(lost_until_millis);
        for queue in self.queues.values_mut() {
            queue.forget_bucket();
        }
        self.refuse_all(ClaimRefusal::LedgerBroken, self.options.longest_pause);
    }

    /// Removes and returns the verdicts reached so far.
    #[must_use]
    pub fn take_verdicts(&mut self) -> Vec<(ClaimTicket, ClaimVerdict)> {
        let verdicts = std::mem::take(&mut self.verdicts);
        self.waiting_count = self.waiting_count.saturating_sub(verdicts.len());
        let granted = verdicts
            .iter()
            .filter(|(_, verdict)| matches!(verdict, ClaimVerdict::Granted(_)))
            .count();
        self.counts.granted += granted as u64;
        verdicts
    }

    /// Returns the time at which [`Self::poll`] may have more to do without another event.
    #[must_use]
    pub fn next_wake(&self, now: TimePoint) -> Option<TimePoint> {
        let expiry = self
            .queues
            .values()
            .filter_map(ClaimQueue::next_expiry)
            .min();
        let has_work = self.queues.values().any(|queue| !queue.is_idle());
        let pause_until = self.pause.map(|pause| pause.until);
        let backoffs = self.queues.values().map(ClaimQueue::backoff_until);
        let next_call_at = [Some(self.next_write_at), pause_until]
            .into_iter()
            .flatten()
            .chain(backoffs)
            .filter(|time| has_work && *time > now)
            .min();
        [expiry, next_call_at].into_iter().flatten().min()
    }

    const fn count_call(&mut self, call: Option<&ClaimCall>) {
        let Some(call) = call else { return };
        match &call.action {
            ClaimAction::Read => self.counts.reads += 1,
            ClaimAction::Write { body, .. } => {
                self.counts.writes += 1;
                self.counts.written_bytes += body.len() as u64;
            }
        }
    }

    fn queue(&mut self, slot: ClaimSlot) -> &mut ClaimQueue {
        self.queues.entry(slot).or_default()
    }

    fn current_refusal(&self, key: &ClaimKey, now: TimePoint) -> Option<(ClaimRefusal, TimeSpan)> {
        if self.has_store_regressed || key.millis() <= self.lost_until_millis {
            return Some((ClaimRefusal::LedgerBroken, self.options.longest_pause));
        }
        if self.waiting_count > self.options.max_waiting {
            return Some((ClaimRefusal::Busy, self.options.least_pause));
        }
        self.pause
            .filter(|pause| pause.refuses_claims && now < pause.until)
            .map(|pause| (ClaimRefusal::StoreDown, now.until(pause.until)))
    }

    fn begin_pause(&mut self, refuses_claims: bool, now: TimePoint) -> TimeSpan {
        let span = self.pause.map_or(self.options.least_pause, |pause| {
            (pause.span + pause.span).min(self.options.longest_pause)
        });
        self.pause = Some(StorePause {
            until: now + span,
            span,
            refuses_claims,
        });
        span
    }

    fn refuse_all(&mut self, reason: ClaimRefusal, retry_after: TimeSpan) {
        for queue in self.queues.values_mut() {
            queue.refuse_waiting(reason, retry_after, &mut self.verdicts);
        }
    }

    /// Drops surplus idle queues, those without offers for the longest time first.
    fn drop_idle_queues(&mut self) {
        let mut idle: Vec<(TimePoint, ClaimSlot)> = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.is_idle())
            .map(|(slot, queue)| (queue.last_offer_at(), *slot))
            .collect();
        idle.sort_unstable();
        let surplus = idle.len().saturating_sub(MAX_IDLE_QUEUES);
        for (_, slot) in idle.into_iter().take(surplus) {
            self.queues.remove(&slot);
        }
    }
}
