//! Gathers the replies to one fan-out query and derives its coverage and outcome.
//!
//! Replies may be late, duplicated, misrouted or of another index version, and retries and hedges
//! put several attempts on one shard. A reply counts only if its attempt belongs to the query and
//! it names the pinned snapshot and version; coverage is counted from these replies alone.

use std::collections::HashMap;
use std::sync::Arc;

use alderhaven_core::coverage::{CoverageReport, MissingReason, MissingShard};
use alderhaven_core::ids::{IndexVersion, SnapshotId};
use alderhaven_core::manifest::{ShardEntry, SnapshotManifest};
use alderhaven_core::outcome::{AttemptOutcome, NotRunReason, QueryOutcome};
use bytes::Bytes;
use smallvec::SmallVec;

use crate::retry;
use crate::row_merge;

/// State of one query that is pinned to one manifest.
#[derive(Debug)]
pub struct QueryGather {
    manifest: Arc<SnapshotManifest>,
    idempotent: bool,
    shards: Vec<GatherShard>,
    attempts: HashMap<u64, AttemptPosition>,
    open_shards: usize,
    may_have_run: bool,
}

/// One of the query's shards with its attempts.
#[derive(Debug)]
struct GatherShard {
    position: usize,
    state: ShardState,
    attempts: SmallVec<[ShardAttempt; 2]>,
}

#[derive(Debug)]
enum ShardState {
    Open,
    Answered(Bytes),
    Missing(MissingReason),
}

/// One attempt at one replica of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardAttempt {
    /// Sequence number within the attempt's id.
    pub sequence: u64,
    /// Index of the replica in the shard's manifest entry.
    pub replica: usize,
    /// Whether the attempt is a hedge.
    pub is_hedge: bool,
    /// Verified outcome, or `None` while the attempt is in flight.
    pub outcome: Option<AttemptOutcome>,
}

impl ShardAttempt {
    /// Returns true if the attempt is a hedge for which the replica had no free slot.
    fn is_refused_hedge(&self) -> bool {
        self.is_hedge && self.outcome == Some(AttemptOutcome::NotRun(NotRunReason::QueueFull))
    }
}

#[derive(Clone, Copy, Debug)]
struct AttemptPosition {
    slot: usize,
    index: usize,
}

/// Reported result of an attempt, before verification.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// Outcome as reported.
    pub outcome: AttemptOutcome,
    /// Snapshot that the reply names.
    pub snapshot: SnapshotId,
    /// Index version that the reply names.
    pub version: IndexVersion,
    /// Rows as the text of a JSON array.
    pub rows: Bytes,
}

impl AttemptResult {
    /// Creates the result of an attempt that returned no rows.
    #[must_use]
    pub fn without_rows(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            snapshot: SnapshotId::default(),
            version: IndexVersion::default(),
            rows: Bytes::new(),
        }
    }
}

/// Effect of a result on its query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatherEvent {
    /// The shard is now answered.
    ShardAnswered {
        /// Index of the shard within the query.
        slot: usize,
    },
    /// The attempt ended without an answer, and the shard is still open.
    AttemptEnded {
        /// Index of the shard within the query.
        slot: usize,
        /// Verified outcome of the attempt.
        outcome: AttemptOutcome,
        /// Whether another attempt at the shard is in flight.
        others_in_flight: bool,
    },
    /// The result belongs to no attempt in flight, or its shard is already settled.
    Ignored,
}

impl QueryGather {
    /// Creates the state of a query over the shards at `positions` of a manifest.
    #[must_use]
    pub fn new(manifest: Arc<SnapshotManifest>, positions: &[usize], idempotent: bool) -> Self {
        let shards: Vec<GatherShard> = positions
            .iter()
            .map(|position| GatherShard {
                position: *position,
                state: ShardState::Open,
                attempts: SmallVec::new(),
            })
            .collect();
        Self {
            manifest,
            idempotent,
            open_shards: shards.len(),
            attempts: HashMap::with_capacity(shards.len() * 2),
            shards,
            may_have_run: false,
        }
    }

    /// Returns the pinned manifest.
    #[must_use]
    pub const fn manifest(&self) -> &Arc<SnapshotManifest> {
        &self.manifest
    }

    /// Returns the number of the query's shards; slots are indexes below it.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.len()
    }

    /// Returns true if the query has no shards.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }

    /// Returns the manifest entry of a slot's shard.
    #[must_use]
    pub fn shard_entry(&self, slot: usize) -> &ShardEntry {
        &self.manifest.shards[self.shards[slot].position]
    }

    /// Returns the attempts at a slot's shard, in the order in which they began.
    #[must_use]
    pub fn attempts(&self, slot: usize) -> &[ShardAttempt] {
        &self.shards[slot].attempts
    }

    /// Returns true if a slot's shard is neither answered nor given up.
    #[must_use]
    pub fn is_open(&self, slot: usize) -> bool {
        matches!(self.shards[slot].state, ShardState::Open)
    }

    /// Iterates over the slots whose shards are open.
    pub fn open_slots(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.shards.len()).filter(|slot| self.is_open(*slot))
    }

    /// Returns true if no shard is open.
    #[must_use]
    pub const fn is_settled(&self) -> bool {
        self.open_shards == 0
    }

    /// Returns the answered share of the query's shards.
    #[must_use]
    pub fn covered_share(&self) -> f64 {
        self.coverage().covered_share()
    }

    /// Returns the number of retries of a slot's shard that count against its limit.
    ///
    /// Hedges that found no free slot don't count, nor does the first attempt at each replica that
    /// was not sent or met a draining target: none of them reached a replica that could answer.
    #[must_use]
    pub fn retries(&self, slot: usize) -> u32 {
        let mut unsent_replicas = SmallVec::<[usize; 4]>::new();
        let mut counted = 0_u32;
        for attempt in self.attempts(slot) {
            let is_unsent = attempt.outcome.is_some_and(retry::adds_no_load);
            if is_unsent && !unsent_replicas.contains(&attempt.replica) {
                unsent_replicas.push(attempt.replica);
            } else if !attempt.is_refused_hedge() {
                counted += 1;
            }
        }
        counted.saturating_sub(1)
    }

    /// Records that an attempt at a replica begins.
    pub fn begin_attempt(&mut self, slot: usize, replica: usize, sequence: u64, is_hedge: bool) {
        let attempts = &mut self.shards[slot].attempts;
        let position = AttemptPosition {
            slot,
            index: attempts.len(),
        };
        attempts.push(ShardAttempt {
            sequence,
            replica,
            is_hedge,
            outcome: None,
        });
        self.attempts.insert(sequence, position);
    }

    /// Verifies and records the result of an attempt.
    pub fn accept(&mut self, sequence: u64, result: AttemptResult) -> GatherEvent {
        let Some(position) = self.attempts.get(&sequence).copied() else {
            return GatherEvent::Ignored;
        };
        if self.shards[position.slot].attempts[position.index]
            .outcome
            .is_some()
        {
            return GatherEvent::Ignored;
        }
        let outcome = self.verify(position.slot, &result);
        self.may_have_run |= !is_not_run(outcome);
        let shard = &mut self.shards[position.slot];
        shard.attempts[position.index].outcome = Some(outcome);
        if !matches!(shard.state, ShardState::Open) {
            return GatherEvent::Ignored;
        }
        if outcome == AttemptOutcome::Answered {
            shard.state = ShardState::Answered(result.rows);
            self.open_shards -= 1;
            return GatherEvent::ShardAnswered {
                slot: position.slot,
            };
        }
        GatherEvent::AttemptEnded {
            slot: position.slot,
            outcome,
            others_in_flight: shard.attempts.iter().any(|other| other.outcome.is_none()),
        }
    }

    /// Marks an open shard as missing; an answered one stays answered.
    pub fn give_up(&mut self, slot: usize, reason: MissingReason) {
        let shard = &mut self.shards[slot];
        if matches!(shard.state, ShardState::Open) {
            shard.state = ShardState::Missing(reason);
            self.open_shards -= 1;
        }
    }

    /// Marks all open shards as missing, each with the reason that its attempts show.
    pub fn give_up_open(&mut self) {
        for slot in 0..self.shards.len() {
            let reason = self.missing_reason(slot);
            self.give_up(slot, reason);
        }
    }

    /// Returns the reason for a slot's missing shard, as its attempts show it.
    #[must_use]
    pub fn missing_reason(&self, slot: usize) -> MissingReason {
        let attempts = &self.shards[slot].attempts;
        if attempts.iter().any(|attempt| attempt.outcome.is_none()) {
            return MissingReason::Late;
        }
        match attempts.last().and_then(|attempt| attempt.outcome) {
            None => MissingReason::Unreachable,
            Some(AttemptOutcome::VersionGone) => MissingReason::VersionGone,
            Some(AttemptOutcome::Failed | AttemptOutcome::Unknown | AttemptOutcome::Answered) => {
                MissingReason::Failed
            }
            Some(AttemptOutcome::NotRun(reason)) => match reason {
                NotRunReason::Expired | NotRunReason::QueueFull | NotRunReason::Shed => {
                    MissingReason::Overloaded
                }
                NotRunReason::Quarantined => MissingReason::Quarantined,
                NotRunReason::NotSent
                | NotRunReason::Draining
                | NotRunReason::Cancelled
                | NotRunReason::NoRoute => MissingReason::Unreachable,
            },
        }
    }

    /// Returns true if a shard is missing because no replica holds its version any more.
    #[must_use]
    pub fn is_version_gone(&self) -> bool {
        self.shards
            .iter()
            .any(|shard| matches!(shard.state, ShardState::Missing(MissingReason::VersionGone)))
    }

    /// Returns the number of attempts that have begun.
    #[must_use]
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Iterates over the attempts in flight with their slots.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = (usize, ShardAttempt)> + '_ {
        self.shards.iter().enumerate().flat_map(|(slot, shard)| {
            shard
                .attempts
                .iter()
                .filter(|attempt| attempt.outcome.is_none())
                .map(move |attempt| (slot, *attempt))
        })
    }

    /// Reports which shards are answered and why the others are missing.
    #[must_use]
    pub fn coverage(&self) -> CoverageReport {
        let mut report = CoverageReport {
            requested: self.shards.len(),
            ..CoverageReport::default()
        };
        for (slot, shard) in self.shards.iter().enumerate() {
            let reason = match shard.state {
                ShardState::Answered(_) => {
                    report.answered += 1;
                    continue;
                }
                ShardState::Open => self.missing_reason(slot),
                ShardState::Missing(reason) => reason,
            };
            report.missing.push(MissingShard {
                shard: self.shard_entry(slot).shard,
                reason,
            });
        }
        report
    }

    /// Returns the outcome for the caller.
    ///
    /// `Refused` claims that nothing ran. It is returned only if every attempt has evidence for
    /// that; an attempt in flight may be running.
    #[must_use]
    pub fn outcome(&self) -> QueryOutcome {
        let answered = self
            .shards
            .iter()
            .filter(|shard| matches!(shard.state, ShardState::Answered(_)))
            .count();
        let may_have_run = self.may_have_run || self.attempts_in_flight().next().is_some();
        if answered == self.shards.len() {
            QueryOutcome::Complete
        } else if answered > 0 {
            QueryOutcome::Partial
        } else if !may_have_run {
            QueryOutcome::Refused
        } else if self.idempotent {
            QueryOutcome::Failed
        } else {
            QueryOutcome::Unknown
        }
    }

    /// Iterates over the rows of the answered shards, in the order of shards.
    pub fn rows(&self) -> impl Iterator<Item = &Bytes> {
        self.shards.iter().filter_map(|shard| match &shard.state {
            ShardState::Answered(rows) => Some(rows),
            ShardState::Open | ShardState::Missing(_) => None,
        })
    }

    /// Checks a result against the pinned manifest.
    ///
    /// A reply of another snapshot or version, or whose rows aren't a JSON array, is a failure.
    fn verify(&self, slot: usize, result: &AttemptResult) -> AttemptOutcome {
        if result.outcome != AttemptOutcome::Answered {
            return result.outcome;
        }
        let is_pinned = result.snapshot == self.manifest.snapshot
            && result.version == self.shard_entry(slot).version;
        if is_pinned && row_merge::is_row_array(&result.rows) {
            AttemptOutcome::Answered
        } else {
            AttemptOutcome::Failed
        }
    }
}

/// Returns true if an outcome proves that the attempt didn't run.
#[must_use]
pub const fn is_not_run(outcome: AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::NotRun(_) | AttemptOutcome::VersionGone
    )
}
