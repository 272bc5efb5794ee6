//! The claims of one process on one bucket: which of them wait, are being written or taken back.
//!
//! One call is under way at a time. What waits meanwhile goes into the next write together, so that
//! the number of writes does not grow with the number of claims.
//!
//! A write whose answer is lost leaves three cases: it took effect, it never will, or it is still
//! on its way. A read tells only the first from the others. The lane therefore goes on as follows:
//! a claim that the read shows is granted; one that it doesn't show is written again over the
//! version that was read, so that the store itself decides between the old write and the new one.
//! A claim that is given up on in that state is written out of the bucket, and that is only over
//! once the bucket's version has moved past the one that the lost write expected.

use std::mem;

use alderhaven_core::config_object::StoredObject;
use alderhaven_core::errors::Result;
use alderhaven_core::ids::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::claim_bucket::{BucketVerdict, ClaimBucket, ClaimWriter};
use crate::claim_call::{ClaimAction, ClaimReply};
use crate::claim_verdict::{ClaimRefusal, ClaimTicket, ClaimVerdict};
use crate::pending_claim::{PendingClaim, PendingRelease};

#[derive(Debug)]
struct SeenBucket {
    version: StoreVersion,
    bucket: ClaimBucket,
    /// The number of the call that showed it.
    shown_by_call: u64,
    /// When it was shown.
    seen_at: TimePoint,
}

#[derive(Debug)]
enum InFlightCall {
    Read,
    Write {
        expected: StoreVersion,
        /// The highest version that the process had seen; the write's own must be above it.
        floor: StoreVersion,
        bucket: ClaimBucket,
        claims: Vec<PendingClaim>,
        releases: Vec<PendingRelease>,
    },
}

/// A `LaneNeed` says what call a lane wants to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NeededCall {
    Nothing,
    Read,
    Write,
}

/// A `ClaimLane` is the state of one process towards one bucket.
#[derive(Debug, Default)]
pub(crate) struct ClaimQueue {
    seen: Option<SeenBucket>,
    call_count: u64,
    waiting: Vec<PendingClaim>,
    releases: Vec<PendingRelease>,
    in_flight: Option<InFlightCall>,
    must_read: bool,
    has_write_token: bool,
    last_offer_at: TimePoint,
    /// When the call under way was begun.
    call_started_at: TimePoint,
    /// The conflicts since a write last took effect.
    consecutive_conflicts: u32,
    /// The time before which no call is made, after a conflict.
    backoff_until: TimePoint,
}

/// The most doublings of the wait after a conflict: 32 writers take their turns within it.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// The longest wait after a conflict: a call that took seconds in an outage says nothing of how
/// long the next ones take, and claims wait for two seconds at most.
const MAX_BACKOFF: TimeSpan = TimeSpan::from_millis(500);
/// How long a bucket that was seen is taken as the newest. Other entries write the same bucket, and
/// a read before the write costs less than a write that comes to nothing.
const MAX_SEEN_BUCKET_AGE: TimeSpan = TimeSpan::from_millis(10);

/// The verdicts that a step of a lane gives.
pub(crate) type ClaimVerdicts = Vec<(ClaimTicket, ClaimVerdict)>;

impl ClaimQueue {
    pub(crate) fn offer(&mut self, mut claim: PendingClaim, now: TimePoint) {
        self.last_offer_at = now;
        claim.offered_after_call = self.call_count;
        self.waiting.push(claim);
    }

    pub(crate) fn release(&mut self, ticket: ClaimTicket) {
        let lost_at = None;
        self.releases.push(PendingRelease {
            ticket,
            lost_write_version: lost_at,
        });
    }

    /// Gets the version of the bucket as last seen.
    pub(crate) fn seen_version(&self) -> StoreVersion {
        self.seen
            .as_ref()
            .map_or(StoreVersion(0), |seen| seen.version)
    }

    /// Gets when the lane was last claimed in.
    pub(crate) const fn last_offer_at(&self) -> TimePoint {
        self.last_offer_at
    }

    /// Returns true where the lane's next write has its place in the rate already.
    pub(crate) const fn has_write_token(&self) -> bool {
        self.has_write_token
    }

    /// Returns true where the lane waits after a conflict.
    pub(crate) fn is_backing_off(&self, now: TimePoint) -> bool {
        now < self.backoff_until
    }

    /// Gets the time until which the lane waits after a conflict.
    pub(crate) const fn backoff_until(&self) -> TimePoint {
        self.backoff_until
    }

    /// Waits a part of the time that the writers in conflict need one after the other.
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

    /// Gets the time at which the next try is given up on.
    pub(crate) fn next_expiry(&self) -> Option<TimePoint> {
        let flying = match &self.in_flight {
            Some(InFlightCall::Write { claims, .. }) => claims.as_slice(),
            Some(InFlightCall::Read) | None => &[],
        };
        self.waiting
            .iter()
            .chain(flying.iter().filter(|claim| !claim.is_abandoned))
            .map(|claim| claim.deadline)
            .min()
    }

    /// Gives up on the tries whose time has come.
    pub(crate) fn expire_claims(
        &mut self,
        now: TimePoint,
        retry: TimeSpan,
        verdicts: &mut ClaimVerdicts,
    ) {
        let (over, waiting): (Vec<_>, Vec<_>) = mem::take(&mut self.waiting)
            .into_iter()
            .partition(|claim| claim.deadline <= now);
        self.waiting = waiting;
        for claim in over {
            verdicts.push(self.refuse(&claim, ClaimRefusal::StoreSlow, retry));
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
                            retry_after: retry,
                        },
                    ));
                }
            }
        }
    }

    /// Gets the verdict on a try that comes to nothing.
    ///
    /// "Refused" tells a caller that nothing ran. A resend must not hear that while the bucket, as
    /// it was last seen, says that an earlier send claimed the key and may have run.
    pub(crate) fn refuse(
        &self,
        claim: &PendingClaim,
        reason: ClaimRefusal,
        retry_after: TimeSpan,
    ) -> (ClaimTicket, ClaimVerdict) {
        let ticket = claim.ticket;
        let judged = self
            .seen
            .as_ref()
            .map(|seen| seen.bucket.judge(&ticket.key, claim.fingerprint, ticket.id));
        let verdict = match judged {
            Some(BucketVerdict::Taken(holder)) => ClaimVerdict::Taken(holder),
            _ => ClaimVerdict::Refused {
                reason,
                retry_after,
            },
        };
        (ticket, verdict)
    }

    /// Refuses every try that waits.
    pub(crate) fn refuse_waiting(
        &mut self,
        reason: ClaimRefusal,
        retry: TimeSpan,
        verdicts: &mut ClaimVerdicts,
    ) {
        for claim in mem::take(&mut self.waiting) {
            verdicts.push(self.refuse(&claim, reason, retry));
            self.release_if_uncertain(&claim);
        }
    }

    /// Settles what the bucket as seen already tells, and gets the call that is wanted next.
    pub(crate) fn needed_call(
        &mut self,
        now: TimePoint,
        retry: TimeSpan,
        verdicts: &mut ClaimVerdicts,
    ) -> NeededCall {
        if self.in_flight.is_some() {
            return NeededCall::Nothing;
        }
        self.evaluate_waiting(retry, verdicts);
        if self.waiting.is_empty() && self.releases.is_empty() {
            NeededCall::Nothing
        } else if self.must_read || !self.is_seen_fresh(now) {
            NeededCall::Read
        } else {
            NeededCall::Write
        }
    }

    /// Begins the call that [`Self::need`] wanted.
    pub(crate) fn start_call(
        &mut self,
        need: NeededCall,
        writer: &ClaimWriter,
        floor: StoreVersion,
        now: TimePoint,
    ) -> Option<ClaimAction> {
        self.call_count += 1;
        self.call_started_at = now;
        let seen = match need {
            NeededCall::Nothing => return None,
            NeededCall::Read => None,
            NeededCall::Write => self.seen.as_ref(),
        };
        let Some(seen) = seen else {
            self.must_read = false;
            self.in_flight = Some(InFlightCall::Read);
            return Some(ClaimAction::Read);
        };
        self.has_write_token = false;
        let expected = seen.version;
        let mut bucket = seen.bucket.clone();
        for release in &self.releases {
            bucket.release(&release.ticket.key, release.ticket.id);
        }
        let mut claims = Vec::new();
        let mut left = Vec::new();
        for claim in mem::take(&mut self.waiting) {
            let ticket = claim.ticket;
            let verdict = bucket.claim(ticket.key, claim.fingerprint, writer, ticket.id.sequence);
            match verdict {
                BucketVerdict::Free => claims.push(claim),
                _ => left.push(claim),
            }
        }
        // A claim of a newer slice takes the bucket over and leaves those of older ones behind.
        let (claims, behind): (Vec<_>, Vec<_>) = claims
            .into_iter()
            .partition(|claim| bucket.holds(&claim.ticket.key, claim.ticket.id));
        left.extend(behind);
        self.waiting = left;
        let body = bucket.encode();
        self.in_flight = Some(InFlightCall::Write {
            expected,
            floor: floor.max(expected),
            bucket,
            claims,
            releases: mem::take(&mut self.releases),
        });
        Some(ClaimAction::Write { expected, body })
    }

    /// Takes the reply to the call under way.
    pub(crate) fn handle_reply(
        &mut self,
        reply: ClaimReply,
        now: TimePoint,
        verdicts: &mut ClaimVerdicts,
    ) -> CallOutcome {
        match (self.in_flight.take(), reply) {
            (None, _) => CallOutcome::Answered,
            (Some(InFlightCall::Read), ClaimReply::Bucket(object)) => self.observe(object, now),
            (Some(InFlightCall::Read), ClaimReply::NotDone { retry_after }) => {
                self.must_read = true;
                CallOutcome::NotDone(retry_after)
            }
            (Some(InFlightCall::Read), _) => {
                self.must_read = true;
                CallOutcome::Lost
            }
            (Some(flight @ InFlightCall::Write { .. }), reply) => {
                self.handle_write_reply(flight, reply, now, verdicts)
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
            floor,
            bucket,
            claims,
            releases,
        } = flight
        else {
            return CallOutcome::Answered;
        };
        match reply {
            ClaimReply::Written(version) if version > floor => {
                let call = self.call_count;
                self.seen = Some(SeenBucket {
                    version,
                    bucket,
                    shown_by_call: call,
                    seen_at: now,
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
                    ClaimReply::Written(_) => CallOutcome::StoreRegressed,
                    _ => CallOutcome::Lost,
                }
            }
        }
    }

    /// Takes over a bucket that the store showed.
    fn observe(&mut self, object: Option<StoredObject>, now: TimePoint) -> CallOutcome {
        let version = object
            .as_ref()
            .map_or(StoreVersion(0), |object| object.version);
        let known = self
            .seen
            .as_ref()
            .map_or(StoreVersion(0), |seen| seen.version);
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
        let call = self.call_count;
        self.seen = Some(SeenBucket {
            version,
            bucket,
            shown_by_call: call,
            seen_at: now,
        });
        self.resolve_lost_writes();
        CallOutcome::Answered
    }

    /// Drops the doubt about lost writes that the seen version has left behind.
    fn resolve_lost_writes(&mut self) {
        let Some(seen) = &self.seen else { return };
        let is_past = |lost_at: StoreVersion| seen.version > lost_at;
        for claim in &mut self.waiting {
            let holds = seen.bucket.holds(&claim.ticket.key, claim.ticket.id);
            claim.lost_write_version = claim
                .lost_write_version
                .filter(|lost_at| holds || !is_past(*lost_at));
        }
        self.releases.retain(|release| {
            let may_come = release
                .lost_write_version
                .is_some_and(|lost_at| !is_past(lost_at));
            may_come || seen.bucket.holds(&release.ticket.key, release.ticket.id)
        });
    }

    fn is_seen_fresh(&self, now: TimePoint) -> bool {
        self.seen
            .as_ref()
            .is_some_and(|seen| now.since(seen.seen_at) <= MAX_SEEN_BUCKET_AGE)
    }

    /// Judges the tries that wait by the bucket as it was last seen.
    fn evaluate_waiting(&mut self, retry: TimeSpan, verdicts: &mut ClaimVerdicts) {
        let Some(seen) = &self.seen else { return };
        let mut waiting = Vec::new();
        for claim in mem::take(&mut self.waiting) {
            let ticket = claim.ticket;
            let verdict = seen.bucket.judge(&ticket.key, claim.fingerprint, ticket.id);
            // A claim may have been released since, so that only a bucket that was asked for after
            // the try came says that the key is taken.
            let is_fresh = seen.shown_by_call > claim.offered_after_call;
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
                        retry_after: retry,
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

    /// Forgets a try that was refused; one that a lost write may yet bring in is written out.
    fn release_if_uncertain(&mut self, claim: &PendingClaim) {
        if claim.lost_write_version.is_some() {
            self.releases.push(claim.to_release());
        }
    }
}

/// A `LaneEnd` says how a lane's call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// The store answered.
    Answered,
    /// The store took the write.
    Written,
    /// Another writer was before.
    Conflict,
    /// The call did nothing.
    NotDone(Option<TimeSpan>),
    /// The answer is lost.
    Lost,
    /// The bucket can't be read.
    Unreadable,
    /// The store went backwards.
    StoreRegressed,
}
