//! One process's claims on one bucket: waiting, being written, or being released.
//!
//! One call is in flight at a time, and all claims that arrive meanwhile share the next write. A
//! write whose reply is lost may have taken effect, may do so later, or never. A claim that a later
//! read shows is granted. Any other claim is written again over the version that was read, so that
//! the store decides between the two writes. If it expires meanwhile, it is removed by a write, which
//! is complete once the bucket's version is above the one that the lost write expected.

use std::mem;

use alderhaven_core::config_object::StoredObject;
use alderhaven_core::errors::Result;
use alderhaven_core::ids::StoreEra;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::claim_bucket::{BucketVerdict, ClaimBucket, ClaimWriter};
use crate::claim_call::{ClaimAction, ClaimReply};
use crate::claim_verdict::{ClaimRefusal, ClaimTicket, ClaimVerdict};
use crate::pending_claim::{PendingClaim, PendingRelease};

/// The bucket as the store last returned it, or as it was last written.
#[derive(Debug)]
struct CachedBucket {
    version: StoreVersion,
    bucket: ClaimBucket,
    /// The number of the call that the reply answered.
    returned_by_call: u64,
    /// When the reply arrived.
    cached_at: TimePoint,
}

#[derive(Debug)]
enum InFlightCall {
    Read,
    Write {
        expected: StoreVersion,
        /// The highest version that the process had seen; the write must create a higher one.
        highest_version: StoreVersion,
        bucket: ClaimBucket,
        claims: Vec<PendingClaim>,
        releases: Vec<PendingRelease>,
    },
}

/// The call that a queue needs next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NeededCall {
    Nothing,
    Read,
    Write,
}

/// The state of one process in relation to one bucket.
#[derive(Debug, Default)]
pub(crate) struct ClaimQueue {
    cached: Option<CachedBucket>,
    call_count: u64,
    waiting: Vec<PendingClaim>,
    releases: Vec<PendingRelease>,
    in_flight: Option<InFlightCall>,
    must_read: bool,
    has_write_token: bool,
    last_offer_at: TimePoint,
    /// When the latest call was started.
    call_started_at: TimePoint,
    /// The conflicts since a write last took effect.
    consecutive_conflicts: u32,
    /// The time before which no call is made after a conflict.
    backoff_until: TimePoint,
}

/// The maximum number of doublings of the backoff after conflicts, enough for 32 writers in turn.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// The longest backoff after a conflict, so that one slow call does not delay claims beyond their
/// deadline.
const MAX_BACKOFF: TimeSpan = TimeSpan::from_millis(500);
/// How long a cached bucket is written over without another read. Other entries write it too, and a
/// read costs less than a write that ends in a conflict.
const MAX_CACHED_BUCKET_AGE: TimeSpan = TimeSpan::from_millis(10);

/// Verdicts with the tickets of their claims.
pub(crate) type ClaimVerdicts = Vec<(ClaimTicket, ClaimVerdict)>;

impl ClaimQueue {
    pub(crate) fn offer(&mut self, mut claim: PendingClaim, now: TimePoint) {
        self.last_offer_at = now;
        claim.offered_after_call = self.call_count;
        self.waiting.push(claim);
    }

    pub(crate) fn release(&mut self, ticket: ClaimTicket) {
        let lost_version = None;
        self.releases.push(PendingRelease {
            ticket,
            lost_write_version: lost_version,
        });
    }

    /// Returns the version of the cached bucket, or 0 without one.
    pub(crate) fn cached_version(&self) -> StoreVersion {
        self.cached
            .as_ref()
            .map_or(StoreVersion::default(), |cached| cached.version)
    }

    /// Returns the time of the latest offer.
    pub(crate) const fn last_offer_at(&self) -> TimePoint {
        self.last_offer_at
    }

    /// Returns `true` if the queue already holds the rate limiter's token for its next write.
    pub(crate) const fn has_write_token(&self) -> bool {
        self.has_write_token
    }

    /// Returns `true` if the queue waits after a conflict.
    pub(crate) fn is_backing_off(&self, now: TimePoint) -> bool {
        now < self.backoff_until
    }

    /// Returns the end of the wait after a conflict.
    pub(crate) const fn backoff_until(&self) -> TimePoint {
        self.backoff_until
    }

    /// Waits after a conflict for a random `share` of the time that the conflicting writers need in
    /// turn.
    pub(crate) fn back_off(&mut self, share: f64, now: TimePoint) {
        let turns = 1_u32 << self.consecutive_conflicts.min(MAX_BACKOFF_DOUBLINGS);
        let span = now
            .since(self.call_started_at)
            .mul_f64(f64::from(turns) * share);
        self.backoff_until = now + span.min(MAX_BACKOFF);
    }

    pub(crate) const fn grant_write_token(&mut self) {
        self.has_write_token = true;
    }

    pub(crate) const fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.waiting.is_empty() && self.releases.is_empty()
    }

    pub(crate) const fn release_count(&self) -> usize {
        self.releases.len()
    }

    /// Returns the earliest deadline of a claim without a verdict.
    pub(crate) fn next_expiry(&self) -> Option<TimePoint> {
        let written = match &self.in_flight {
            Some(InFlightCall::Write { claims, .. }) => claims.as_slice(),
            Some(InFlightCall::Read) | None => &[],
        };
        self.waiting
            .iter()
            .chain(written.iter().filter(|claim| !claim.is_abandoned))
            .map(|claim| claim.deadline)
            .min()
    }

    /// Refuses the claims whose deadline has passed.
    pub(crate) fn expire_claims(
        &mut self,
        now: TimePoint,
        retry_after: TimeSpan,
        verdicts: &mut ClaimVerdicts,
    ) {
        let (expired, waiting): (Vec<_>, Vec<_>) = mem::take(&mut self.waiting)
            .into_iter()
            .partition(|claim| claim.deadline <= now);
        self.waiting = waiting;
        for claim in expired {
            verdicts.push(self.refuse(&claim, ClaimRefusal::StoreSlow, retry_after));
            self.release_if_uncertain(&claim);
        }
        if let Some(InFlightCall::Write { claims, .. }) = &mut self.in_flight {
            for claim in claims {
                if claim.deadline <= now && !claim.is_abandoned {
                    claim.is_abandoned = true;
                    verdicts.push((
                        claim.ticket,
                        ClaimVerdict::Refused {
                            reason: ClaimRefusal::StoreSlow,
                            retry_after,
                        },
                    ));
                }
            }
        }
    }

    /// Returns the verdict on a claim that ends without being made.
    ///
    /// "Refused" tells a caller that its request did not run. So the verdict is `Taken` if the
    /// cached bucket shows that an earlier send claimed the key and may have run.
    pub(crate) fn refuse(
        &self,
        claim: &PendingClaim,
        reason: ClaimRefusal,
        retry_after: TimeSpan,
    ) -> (ClaimTicket, ClaimVerdict) {
        let ticket = claim.ticket;
        let bucket_verdict = self
            .cached
            .as_ref()
            .map(|copy| copy.bucket.check(&ticket.key, claim.fingerprint, ticket.id));
        let verdict = match bucket_verdict {
            Some(BucketVerdict::Taken(holder)) => ClaimVerdict::Taken(holder),
            _ => ClaimVerdict::Refused {
                reason,
                retry_after,
            },
        };
        (ticket, verdict)
    }

    /// Refuses all waiting claims.
    pub(crate) fn refuse_waiting(
        &mut self,
        reason: ClaimRefusal,
        retry_after: TimeSpan,
        verdicts: &mut ClaimVerdicts,
    ) {
        self.refuse_waiting_until(u64::MAX, reason, retry_after, verdicts);
    }

    /// Refuses the waiting claims of keys with timestamps up to `millis`.
    pub(crate) fn refuse_waiting_until(
        &mut self,
        millis: u64,
        reason: ClaimRefusal,
        retry_after: TimeSpan,
        verdicts: &mut ClaimVerdicts,
    ) {
        let is_refused = |claim: &PendingClaim| claim.ticket.key.millis() <= millis;
        let (refused, waiting): (Vec<_>, Vec<_>) = mem::take(&mut self.waiting)
            .into_iter()
            .partition(is_refused);
        self.waiting = waiting;
        for claim in refused {
            verdicts.push(self.refuse(&claim, reason, retry_after));
            self.release_if_uncertain(&claim);
        }
    }

    /// Gives the verdicts that follow from the cached bucket, and returns the call needed next.
    pub(crate) fn needed_call(
        &mut self,
        now: TimePoint,
        retry_after: TimeSpan,
        verdicts: &mut ClaimVerdicts,
    ) -> NeededCall {
        if self.in_flight.is_some() {
            return NeededCall::Nothing;
        }
        self.evaluate_waiting(retry_after, verdicts);
        if self.waiting.is_empty() && self.releases.is_empty() {
            NeededCall::Nothing
        } else if self.must_read || !self.is_cache_fresh(now) {
            NeededCall::Read
        } else {
            NeededCall::Write
        }
    }

    /// Starts the call that [`Self::needed_call`] returned.
    pub(crate) fn start_call(
        &mut self,
        needed: NeededCall,
        writer: &ClaimWriter,
        highest_version: StoreVersion,
        now: TimePoint,
    ) -> Option<ClaimAction> {
        self.call_count += 1;
        self.call_started_at = now;
        let cached = match needed {
            NeededCall::Nothing => return None,
            NeededCall::Read => None,
            NeededCall::Write => self.cached.as_ref(),
        };
        let Some(cached) = cached else {
            self.must_read = false;
            self.in_flight = Some(InFlightCall::Read);
            return Some(ClaimAction::Read);
        };
        self.has_write_token = false;
        let expected = cached.version;
        let mut bucket = cached.bucket.clone();
        for release in &self.releases {
            bucket.release(&release.ticket.key, release.ticket.id);
        }
        let mut claims = Vec::new();
        let mut remaining = Vec::new();
        for claim in mem::take(&mut self.waiting) {
            let ticket = claim.ticket;
            let verdict = bucket.claim(ticket.key, claim.fingerprint, writer, ticket.id.sequence);
            match verdict {
                BucketVerdict::Free => claims.push(claim),
                _ => remaining.push(claim),
            }
        }
        // A claim of a newer slice moves the bucket on and leaves claims of older slices out of it.
        let (claims, dropped): (Vec<_>, Vec<_>) = claims
            .into_iter()
            .partition(|claim| bucket.holds(&claim.ticket.key, claim.ticket.id));
        remaining.extend(dropped);
        self.waiting = remaining;
        let body = bucket.encode();
        self.in_flight = Some(InFlightCall::Write {
            expected,
            highest_version: highest_version.max(expected),
            bucket,
            claims,
            releases: mem::take(&mut self.releases),
        });
        Some(ClaimAction::Write { expected, body })
    }

    /// Drops the cached bucket, which the store may have lost.
    pub(crate) fn forget_bucket(&mut self) {
        self.cached = None;
        self.must_read = true;
    }

    /// Handles the reply to the call in flight. `era` is the latest one that the process has seen.
    pub(crate) fn handle_reply(
        &mut self,
        reply: ClaimReply,
        era: StoreEra,
        now: TimePoint,
        verdicts: &mut ClaimVerdicts,
    ) -> CallOutcome {
        let new_version = reply.version().filter(|version| version.era > era);
        match (self.in_flight.take(), reply) {
            (None, _) => CallOutcome::Answered,
            (Some(InFlightCall::Read), ClaimReply::Bucket(object)) => {
                if let Some(version) = new_version {
                    self.forget_bucket();
                    return CallOutcome::StoreRestored(version);
                }
                self.observe(object, now)
            }
            (Some(InFlightCall::Read), ClaimReply::NotDone { retry_after }) => {
                self.must_read = true;
                CallOutcome::NotDone(retry_after)
            }
            (Some(InFlightCall::Read), _) => {
                self.must_read = true;
                CallOutcome::Lost
            }
            (Some(flight @ InFlightCall::Write { .. }), reply) => {
                let Some(version) = new_version else {
                    return self.handle_write_reply(flight, reply, now, verdicts);
                };
                // Claims that were lost may be missing in the bucket that was written, so the write
                // grants nothing.
                self.handle_write_reply(flight, ClaimReply::Lost, now, verdicts);
                self.forget_bucket();
                CallOutcome::StoreRestored(version)
            }
        }
    }

    fn handle_write_reply(
        &mut self,
        flight: InFlightCall,
        reply: ClaimReply,
        now: TimePoint,
        verdicts: &mut ClaimVerdicts,
    ) -> CallOutcome {
        let InFlightCall::Write {
            expected,
            highest_version,
            bucket,
            claims,
            releases,
        } = flight
        else {
            return CallOutcome::Answered;
        };
        match reply {
            // A bucket of a later era may lack claims that this write does not know of.
            ClaimReply::Written(version)
                if version > highest_version && version.era == highest_version.era =>
            {
                let call_number = self.call_count;
                self.cached = Some(CachedBucket {
                    version,
                    bucket,
                    returned_by_call: call_number,
                    cached_at: now,
                });
                for claim in claims {
                    if claim.is_abandoned {
                        self.releases.push(claim.to_release());
                    } else {
                        verdicts.push((claim.ticket, ClaimVerdict::Granted(claim.ticket)));
                    }
                }
                self.consecutive_conflicts = 0;
                CallOutcome::Written
            }
            ClaimReply::Conflict(object) => {
                self.has_write_token = true;
                self.consecutive_conflicts += 1;
                self.releases.extend(releases);
                for claim in claims {
                    self.requeue(claim);
                }
                match self.observe(object, now) {
                    CallOutcome::Answered => CallOutcome::Conflict,
                    end => end,
                }
            }
            ClaimReply::NotDone { retry_after } => {
                self.has_write_token = true;
                self.releases.extend(releases);
                for claim in claims {
                    self.requeue(claim);
                }
                CallOutcome::NotDone(retry_after)
            }
            ClaimReply::Written(_) | ClaimReply::Bucket(_) | ClaimReply::Lost => {
                self.must_read = true;
                self.releases.extend(releases);
                for mut claim in claims {
                    claim.lost_write_version = Some(expected);
                    self.requeue(claim);
                }
                match reply {
                    // The store's versions only grow, unless it was restored from an older copy.
                    ClaimReply::Written(version) if version <= highest_version => {
                        CallOutcome::StoreRegressed
                    }
                    _ => CallOutcome::Lost,
                }
            }
        }
    }

    /// Caches the bucket that the store returned.
    fn observe(&mut self, object: Option<StoredObject>, now: TimePoint) -> CallOutcome {
        let version = object
            .as_ref()
            .map_or(StoreVersion::default(), |object| object.version);
        let known = self
            .cached
            .as_ref()
            .map_or(StoreVersion::default(), |cached| cached.version);
        if version < known {
            self.must_read = true;
            return CallOutcome::StoreRegressed;
        }
        let body = object.and_then(|object| object.body);
        let read: Result<ClaimBucket> = body.map_or_else(
            || Ok(ClaimBucket::default()),
            |body| ClaimBucket::read(&body),
        );
        let Ok(bucket) = read else {
            self.must_read = true;
            return CallOutcome::Unreadable;
        };
        self.must_read = false;
        let call_number = self.call_count;
        self.cached = Some(CachedBucket {
            version,
            bucket,
            returned_by_call: call_number,
            cached_at: now,
        });
        self.resolve_lost_writes();
        CallOutcome::Answered
    }

    /// Clears the uncertainty about lost writes that the bucket's version has moved past.
    fn resolve_lost_writes(&mut self) {
        let Some(cached) = &self.cached else { return };
        let has_passed = |lost_version: StoreVersion| cached.version > lost_version;
        for claim in &mut self.waiting {
            let holds = cached.bucket.holds(&claim.ticket.key, claim.ticket.id);
            claim.lost_write_version = claim
                .lost_write_version
                .filter(|lost_version| holds || !has_passed(*lost_version));
        }
        self.releases.retain(|release| {
            let may_take_effect = release
                .lost_write_version
                .is_some_and(|lost_version| !has_passed(lost_version));
            may_take_effect || cached.bucket.holds(&release.ticket.key, release.ticket.id)
        });
    }

    fn is_cache_fresh(&self, now: TimePoint) -> bool {
        self.cached
            .as_ref()
            .is_some_and(|cached| now.since(cached.cached_at) <= MAX_CACHED_BUCKET_AGE)
    }

    /// Gives the verdicts on waiting claims that follow from the cached bucket.
    fn evaluate_waiting(&mut self, retry_after: TimeSpan, verdicts: &mut ClaimVerdicts) {
        let Some(cached) = &self.cached else { return };
        let mut waiting = Vec::new();
        for claim in mem::take(&mut self.waiting) {
            let ticket = claim.ticket;
            let verdict = cached
                .bucket
                .check(&ticket.key, claim.fingerprint, ticket.id);
            // The holder may have released its claim since, so only a bucket that was requested
            // after the offer proves that the key is taken.
            let is_fresh = cached.returned_by_call > claim.offered_after_call;
            match verdict {
                BucketVerdict::Free => waiting.push(claim),
                BucketVerdict::Own => verdicts.push((ticket, ClaimVerdict::Granted(ticket))),
                BucketVerdict::TooOld => verdicts.push((ticket, ClaimVerdict::TooOld)),
                _ if !is_fresh => {
                    self.must_read = true;
                    waiting.push(claim);
                }
                BucketVerdict::Taken(holder) => {
                    verdicts.push((ticket, ClaimVerdict::Taken(holder)));
                }
                BucketVerdict::Conflict => verdicts.push((ticket, ClaimVerdict::Conflict)),
                BucketVerdict::Full => {
                    let verdict = ClaimVerdict::Refused {
                        reason: ClaimRefusal::BucketFull,
                        retry_after,
                    };
                    verdicts.push((ticket, verdict));
                }
            }
        }
        self.waiting = waiting;
    }

    fn requeue(&mut self, claim: PendingClaim) {
        if claim.is_abandoned {
            self.release_if_uncertain(&claim);
        } else {
            self.waiting.push(claim);
        }
    }

    /// Schedules a release for a refused claim that a lost write may still bring into the bucket.
    fn release_if_uncertain(&mut self, claim: &PendingClaim) {
        if claim.lost_write_version.is_some() {
            self.releases.push(claim.to_release());
        }
    }
}

/// How a call of a queue ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// The store answered.
    Answered,
    /// The write took effect.
    Written,
    /// Another writer had changed the bucket.
    Conflict,
    /// The call had no effect; the store may ask to wait.
    NotDone(Option<TimeSpan>),
    /// The reply is lost.
    Lost,
    /// The bucket can't be read.
    Unreadable,
    /// The store returned a version below one seen before.
    StoreRegressed,
    /// The store returned this version of a later era than any seen before: it came back from an
    /// older copy, and may have lost claims.
    StoreRestored(StoreVersion),
}
