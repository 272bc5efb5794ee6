//! The claims of one process on the ledger: which calls to the store they need, and when.
//!
//! Load pattern: up to hundreds of claims a second in bursts, against a store that takes several
//! hundred writes a second for everything and everybody, and that is at times slow or out of
//! service. With one write a claim, the claims of one team would use up the rate of all. Here many
//! claims share a write: the first claim after a quiet time is written at once; when writes come
//! faster than the entry's share, the next one waits for its turn and takes along what has come
//! meanwhile. The batch interval is thus zero at low load and grows to the inverse of the share.
//!
//! Several entries write the same bucket, since new keys all carry nearly the same time. Entries
//! that began together would go on together: each write would find another one before it, and of
//! eight that try again at once seven would fail again. Both the turns and the tries after a
//! conflict are therefore spread at random, the latter over as many store calls as there may be
//! writers.
//!
//! A store that was restored from an older copy lacks claims that were granted, and their requests
//! could run again. Its versions only grow otherwise, so that a version below one seen before shows
//! it; from then on this process claims nothing until it is started anew.
//!
//! While the store is out of service, claims are refused at once instead of being held until their
//! time is up; one claim after each pause finds out whether it is back.

use std::collections::BTreeMap;

use alderhaven_core::ids::StoreVersion;
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
use crate::claim_slot::ClaimSlot;
use crate::claim_verdict::{ClaimRefusal, ClaimTicket, ClaimVerdict};
use crate::pending_claim::PendingClaim;
use crate::token_bucket::TokenBucket;

/// The most lanes that are kept though they have nothing to do: their buckets are likely to be
/// claimed in again, and a kept bucket saves a read.
const MAX_IDLE_QUEUES: usize = 8;

/// A `ClaimBatcher` turns tries to claim keys into calls to the store, and replies into verdicts.
#[derive(Debug)]
pub struct ClaimBatcher {
    writer: ClaimWriter,
    options: ClaimOptions,
    queues: BTreeMap<ClaimSlot, ClaimQueue>,
    write_limiter: TokenBucket,
    rng: StdRng,
    next_sequence: u64,
    /// The number of tries without a verdict.
    waiting_count: usize,
    next_write_at: TimePoint,
    pause: Option<StorePause>,
    /// The highest version that the store has shown.
    highest_version: StoreVersion,
    /// Whether the store has gone backwards.
    has_store_regressed: bool,
    verdicts: ClaimVerdicts,
    counts: ClaimCounts,
}

/// A `StorePause` is a time in which the store is left alone.
#[derive(Clone, Copy, Debug)]
struct StorePause {
    until: TimePoint,
    span: TimeSpan,
    /// Whether claims are refused meanwhile, or wait.
    refuses_claims: bool,
}

/// A `ClaimCounts` counts what a batcher did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClaimCounts {
    /// Tries to claim a key.
    pub offered: u64,
    /// Claims that were granted.
    pub granted: u64,
    /// Reads of buckets.
    pub reads: u64,
    /// Writes of buckets that were begun.
    pub writes: u64,
    /// Writes that took effect.
    pub written: u64,
    /// The bytes of those writes.
    pub written_bytes: u64,
    /// Writes that another writer was before.
    pub conflicts: u64,
    /// Calls whose answer was lost.
    pub lost_replies: u64,
    /// Calls that the store, or the process's budget, refused.
    pub not_done: u64,
    /// Buckets that can't be read, and buckets older than one seen before.
    pub broken: u64,
}

impl ClaimBatcher {
    /// Returns a batcher; the writer's origin must be random, so that claims don't recur. The seed
    /// only spreads calls over time.
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
            highest_version: StoreVersion(0),
            has_store_regressed: false,
            verdicts: Vec::new(),
            counts: ClaimCounts::default(),
        }
    }

    /// Gets the counts.
    #[must_use]
    pub const fn counts(&self) -> ClaimCounts {
        self.counts
    }

    /// Gets the number of tries without a verdict.
    #[must_use]
    pub const fn waiting_count(&self) -> usize {
        self.waiting_count
    }

    /// Gets the number of claims that are still to be taken back; none once the store has gone
    /// backwards, since nothing is written then.
    #[must_use]
    pub fn release_count(&self) -> usize {
        if self.has_store_regressed {
            return 0;
        }
        self.queues.values().map(ClaimQueue::release_count).sum()
    }

    /// Tries to claim a key until `deadline`; exactly one verdict follows.
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
        if let Some((reason, retry_after)) = self.current_refusal(now) {
            let claim = PendingClaim::new(ticket, fingerprint, now);
            let lane = self.queue(ClaimSlot::of(&key));
            let verdict = lane.refuse(&claim, reason, retry_after);
            self.verdicts.push(verdict);
            return ticket;
        }
        let claim_by = deadline.min(now + self.options.claim_timeout);
        let claim = PendingClaim::new(ticket, fingerprint, claim_by);
        self.queue(ClaimSlot::of(&key)).offer(claim, now);
        ticket
    }

    /// Takes a granted claim back. To be called only with evidence that the request did not run.
    pub fn release(&mut self, ticket: ClaimTicket) {
        self.queue(ClaimSlot::of(&ticket.key)).release(ticket);
    }

    /// Gets the next call to make now; to be repeated until there is none.
    pub fn poll(&mut self, now: TimePoint) -> Option<ClaimCall> {
        let retry = self.options.least_pause;
        // Nothing is written any more, so that an operator finds the store as it was restored.
        let is_paused =
            self.has_store_regressed || self.pause.is_some_and(|pause| now < pause.until);
        let mut call = None;
        for (slot, lane) in &mut self.queues {
            lane.expire_claims(now, retry, &mut self.verdicts);
            let need = lane.needed_call(now, retry, &mut self.verdicts);
            let is_held = is_paused || lane.is_backing_off(now);
            if need == NeededCall::Nothing || is_held || call.is_some() {
                continue;
            }
            if !lane.has_write_token() {
                if now < self.next_write_at {
                    continue;
                }
                if let Err(wait) = self.write_limiter.take(now) {
                    let share = 1.0 + self.rng.random::<f64>();
                    self.next_write_at = now + wait.mul_f64(share);
                    continue;
                }
                lane.grant_write_token();
            }
            call = lane
                .start_call(need, &self.writer, self.highest_version, now)
                .map(|action| ClaimCall {
                    slot: *slot,
                    action,
                });
        }
        self.count_call(call.as_ref());
        self.drop_idle_queues();
        call
    }

    /// Takes the reply to a call.
    pub fn handle_reply(&mut self, slot: ClaimSlot, reply: ClaimReply, now: TimePoint) {
        if matches!(reply, ClaimReply::Conflict(_)) {
            self.counts.conflicts += 1;
        }
        let Some(lane) = self.queues.get_mut(&slot) else {
            return;
        };
        let end = lane.handle_reply(reply, now, &mut self.verdicts);
        self.highest_version = self.highest_version.max(lane.seen_version());
        match end {
            CallOutcome::Answered => self.pause = None,
            CallOutcome::Conflict => {
                self.pause = None;
                lane.back_off(self.rng.random(), now);
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
                let pause = self.begin_pause(true, now);
                self.refuse_all(ClaimRefusal::StoreDown, pause);
            }
            CallOutcome::Lost => {
                self.counts.lost_replies += 1;
                self.begin_pause(false, now);
            }
            CallOutcome::StoreRegressed => {
                self.counts.broken += 1;
                self.has_store_regressed = true;
                let retry = self.options.longest_pause;
                self.refuse_all(ClaimRefusal::LedgerBroken, retry);
            }
            CallOutcome::Unreadable => {
                self.counts.broken += 1;
                let retry = self.begin_pause(false, now);
                if let Some(lane) = self.queues.get_mut(&slot) {
                    lane.refuse_waiting(ClaimRefusal::LedgerBroken, retry, &mut self.verdicts);
                }
            }
        }
    }

    /// Takes the verdicts that were reached.
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

    /// Gets the time at which [`Self::poll`] may have more to do without another event.
    #[must_use]
    pub fn next_wake(&self, now: TimePoint) -> Option<TimePoint> {
        let give_up = self
            .queues
            .values()
            .filter_map(ClaimQueue::next_expiry)
            .min();
        let has_work = self.queues.values().any(|lane| !lane.is_idle());
        let paused = self.pause.map(|pause| pause.until);
        let held = self.queues.values().map(ClaimQueue::backoff_until);
        let turn = [Some(self.next_write_at), paused]
            .into_iter()
            .flatten()
            .chain(held)
            .filter(|point| has_work && *point > now)
            .min();
        [give_up, turn].into_iter().flatten().min()
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

    fn current_refusal(&self, now: TimePoint) -> Option<(ClaimRefusal, TimeSpan)> {
        if self.has_store_regressed {
            return Some((ClaimRefusal::LedgerBroken, self.options.longest_pause));
        }
        if self.waiting_count > self.options.max_waiting {
            return Some((ClaimRefusal::Busy, self.options.least_pause));
        }
        self.pause
            .filter(|pause| pause.refuses_claims && now < pause.until)
            .map(|pause| (ClaimRefusal::StoreDown, now.until(pause.until)))
    }

    fn begin_pause(&mut self, refuses: bool, now: TimePoint) -> TimeSpan {
        let span = self.pause.map_or(self.options.least_pause, |pause| {
            (pause.span + pause.span).min(self.options.longest_pause)
        });
        self.pause = Some(StorePause {
            until: now + span,
            span,
            refuses_claims: refuses,
        });
        span
    }

    fn refuse_all(&mut self, reason: ClaimRefusal, retry: TimeSpan) {
        for lane in self.queues.values_mut() {
            lane.refuse_waiting(reason, retry, &mut self.verdicts);
        }
    }

    /// Drops the lanes that have nothing to do and were claimed in the longest time ago.
    fn drop_idle_queues(&mut self) {
        let mut idle: Vec<(TimePoint, ClaimSlot)> = self
            .queues
            .iter()
            .filter(|(_, lane)| lane.is_idle())
            .map(|(slot, lane)| (lane.last_offer_at(), *slot))
            .collect();
        idle.sort_unstable();
        let surplus = idle.len().saturating_sub(MAX_IDLE_QUEUES);
        for (_, slot) in idle.into_iter().take(surplus) {
            self.queues.remove(&slot);
        }
    }
}
