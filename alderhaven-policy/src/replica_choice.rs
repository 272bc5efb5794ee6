//! Choice of the replica that an attempt is sent to.
//!
//! Of two random candidates the one with the lower expected time is taken ("power of two choices"),
//! so that nodes with the same information don't all pick the same replica. Targets that fail several
//! times in a row are ejected for a growing time, and targets whose connections are suspect are left
//! out. If that affects more than half of a shard's replicas, all but the draining ones are candidates
//! again: the cause is then likely elsewhere, and the rest could not carry the load. A draining target
//! gets no new work.

use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::policy_kind::PolicyKind;
use crate::replica_table::{ReplicaTable, TargetEntry, TargetIndex};

/// The service time assumed while none is known.
const DEFAULT_SERVICE_TIME: TimeSpan = TimeSpan::from_millis(10);

/// Settings of [`ReplicaChooser`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReplicaOptions {
    /// The cost added for a target in another failure domain: a round trip between domains.
    #[serde(rename = "far_penalty")]
    pub cross_domain_penalty: TimeSpan,
    /// The number of consecutive failures after which a target is ejected. A target that fails one
    /// attempt in ten fails five in a row by chance once in 10^5.
    pub eject_after: u32,
    /// The length of the first ejection; each further one is twice as long. It bounds the cost of
    /// trying a failed target again to one attempt per node in that time.
    pub first_ejection: TimeSpan,
    /// The longest ejection.
    pub longest_ejection: TimeSpan,
}

impl Default for ReplicaOptions {
    fn default() -> Self {
        Self {
            cross_domain_penalty: TimeSpan::from_millis(2),
            eject_after: 5,
            first_ejection: TimeSpan::from_secs(5),
            longest_ejection: TimeSpan::from_secs(60),
        }
    }
}

/// What a finished attempt shows about its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptSample {
    /// The target answered.
    Answered {
        /// The time spent at the target.
        service: TimeSpan,
        /// The service time expected of any target.
        expected: TimeSpan,
    },
    /// The target failed, or did not answer in time although the attempt had been sent.
    Failed,
    /// The attempt was cancelled while it ran; the target is at least this slow.
    Unfinished {
        /// The time since the attempt was sent to the target.
        elapsed: TimeSpan,
        /// The service time expected of any target.
        expected: TimeSpan,
    },
    /// The attempt did not run, which shows nothing about the target's health.
    NotRun,
}

/// Chooses replicas. Its state is in the [`ReplicaTable`].
#[derive(Clone, Debug)]
pub struct ReplicaChooser {
    options: ReplicaOptions,
    policy: PolicyKind,
}

type Candidates = SmallVec<[TargetIndex; 8]>;

impl ReplicaChooser {
    /// Creates a chooser; the baseline policy chooses at random.
    #[must_use]
    pub const fn new(policy: PolicyKind, options: ReplicaOptions) -> Self {
        Self { options, policy }
    }

    /// Chooses one of a shard's replicas that is not in `tried`, or `None` if all are tried or
    /// draining.
    ///
    /// `expected` is the service time expected of any target; `random` is a uniformly random number.
    #[must_use]
    pub fn choose(
        &self,
        table: &ReplicaTable,
        replicas: &[TargetIndex],
        tried: &[TargetIndex],
        expected: TimeSpan,
        now: TimePoint,
        random: u64,
    ) -> Option<TargetIndex> {
        let candidates = self.candidates(table, replicas, tried, now);
        let (first, second) = draw_two(candidates.len(), random)?;
        let (first, second) = (candidates[first], candidates[second]);
        if self.policy == PolicyKind::Baseline || first == second {
            return Some(first);
        }
        let expected = if expected == TimeSpan::ZERO {
            DEFAULT_SERVICE_TIME
        } else {
            expected
        };
        let cost = |index| {
            table
                .get(index)
                .map_or(f64::MAX, |entry| self.cost(entry, expected, now))
        };
        Some(if cost(second) < cost(first) {
            second
        } else {
            first
        })
    }

    /// Counts an attempt as sent to a target.
    pub fn record_sent(&self, table: &ReplicaTable, index: TargetIndex) {
        if let Some(entry) = table.get(index) {
            entry.stats.record_sent();
        }
    }

    /// Ends an attempt that was counted as sent, with its result and the wait that the relay reported.
    ///
    /// Returns `true` if this ejects the target.
    #[must_use]
    pub fn record_finished(
        &self,
        entry: &TargetEntry,
        sample: AttemptSample,
        wait: Option<TimeSpan>,
        now: TimePoint,
    ) -> bool {
        let stats = &entry.stats;
        stats.record_ended();
        if let Some(wait) = wait {
            stats.record_wait(wait, now);
        }
        match sample {
            AttemptSample::Answered { service, expected } => {
                stats.record_success();
                stats.record_service_time(service, expected, now);
                false
            }
            AttemptSample::Unfinished { elapsed, expected } => {
                // A lower bound adds information only above the slowness known so far.
                let known = expected.mul_f64(stats.slowness(now));
                if elapsed > known {
                    stats.record_service_time(elapsed, expected, now);
                }
                false
            }
            AttemptSample::Failed => stats.record_failure(
                self.options.eject_after,
                self.options.first_ejection,
                self.options.longest_ejection,
                now,
            ),
            AttemptSample::NotRun => false,
        }
    }

    fn candidates(
        &self,
        table: &ReplicaTable,
        replicas: &[TargetIndex],
        tried: &[TargetIndex],
        now: TimePoint,
    ) -> Candidates {
        let serving: SmallVec<[(TargetIndex, bool); 8]> = replicas
            .iter()
            .filter_map(|index| Some((*index, table.get(*index)?)))
            .filter(|(_, entry)| !entry.is_draining)
            .map(|(index, entry)| {
                let stats = &entry.stats;
                (index, stats.is_ejected(now) || stats.is_suspect())
            })
            .collect();
        let excluded_count = serving
            .iter()
            .filter(|(_, is_excluded)| *is_excluded)
            .count();
        let uses_all = self.policy == PolicyKind::Baseline || excluded_count * 2 > serving.len();
        let untried = |index: &TargetIndex| !tried.contains(index);
        let usable: Candidates = serving
            .iter()
            .filter(|(_, is_excluded)| uses_all || !*is_excluded)
            .map(|(index, _)| *index)
            .filter(untried)
            .collect();
        if !usable.is_empty() {
            return usable;
        }
        // A suspect replica is better than leaving the shard out of the answer.
        serving
            .iter()
            .map(|(index, _)| *index)
            .filter(untried)
            .collect()
    }

    /// Estimates the duration of an attempt at the target, in microseconds, plus the penalty for
    /// another failure domain.
    ///
    /// It is the wait that a relay reported, less the time since, plus the expected service time
    /// multiplied by the target's slowness and by one plus its attempts in flight per slot.
    fn cost(&self, entry: &TargetEntry, expected: TimeSpan, now: TimePoint) -> f64 {
        let stats = &entry.stats;
        let service = expected.as_micros() as f64 * stats.slowness(now);
        let attempts_per_slot = f64::from(stats.outstanding()) / f64::from(entry.slots);
        let penalty = if entry.is_in_own_domain {
            0
        } else {
            self.options.cross_domain_penalty.as_micros()
        };
        let wait = stats.wait(now).as_micros();
        (wait + penalty) as f64 + service * (1.0 + attempts_per_slot)
    }
}

/// Draws two different positions below `count`, or the same one twice if there is only one. Returns
/// `None` if `count` is zero.
fn draw_two(count: usize, random: u64) -> Option<(usize, usize)> {
    if count == 0 {
        return None;
    }
    let (low, high) = (random & 0xffff_ffff, random >> 32);
    let first = usize::try_from(low % count as u64).unwrap_or(0);
    if count == 1 {
        return Some((first, first));
    }
    let step = 1 + usize::try_from(high % (count as u64 - 1)).unwrap_or(0);
    Some((first, (first + step) % count))
}
