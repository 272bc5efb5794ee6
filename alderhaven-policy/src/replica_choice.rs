//! The choice of the replica that an attempt goes to.
//!
//! Load pattern: replicas of one shard differ: one is slow, cold, far, failing or about to leave.
//!
//! Without it (a random replica): with one slow replica in ten, most queries of 20 shards meet a
//! slow one, and a target at a tenth of its speed is offered five times what it can run, so its
//! queue grows without bound.
//!
//! The rules:
//! - Two candidates are drawn and the better one is taken (Mitzenmacher, "The power of two choices",
//!   2001): nearly as good as the best of all, and nodes that know the same don't all choose the
//!   same one.
//! - Better is the lower expected time: the wait that a relay reported, less the time since, plus
//!   the expected service times the target's slowness times what is on its way from here per slot.
//!   Leaving the own failure domain costs [`ReplicaOptions::far_penalty`].
//! - A target that fails several times in a row is ejected for a while, each time for longer; one
//!   whose connections are in doubt is set aside likewise. Never are more than half of a shard's
//!   replicas left out: if more would be, all that don't drain are candidates again, since many
//!   targets that look bad at once mean that the cause is elsewhere, and the rest could not carry
//!   the load.
//! - A draining target gets no new work, whatever the others are like.
//!
//! Grounds for the figures: 2 ms is a round trip between failure domains (0.5 to 1 ms one way).
//! Five failures in a row are a matter of chance once in 10^5 for a target that fails one attempt in
//! ten. An ejection of 5 s costs at most one failing attempt in 5 s per node, doubled up to a minute.

use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::policy_kind::PolicyKind;
use crate::replica_table::{ReplicaTable, TargetEntry, TargetIndex};

/// The service time that is assumed while none is known.
const DEFAULT_SERVICE_TIME: TimeSpan = TimeSpan::from_millis(10);

/// A `ReplicaOptions` holds the settings of the choice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReplicaOptions {
    /// What a target in another failure domain costs.
    #[serde(rename = "far_penalty")]
    pub cross_domain_penalty: TimeSpan,
    /// The failures in a row after which a target is ejected.
    pub eject_after: u32,
    /// How long the first ejection lasts.
    pub first_ejection: TimeSpan,
    /// How long an ejection lasts at most.
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

/// An `AttemptSample` is what an ended attempt says of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptSample {
    /// It answered.
    Answered {
        /// The time at the target.
        service: TimeSpan,
        /// The time that any target is expected to take.
        expected: TimeSpan,
    },
    /// It failed, or did not answer in time although it had been sent.
    Failed,
    /// It had run for this long when it was cancelled or given up on: it is at least as slow.
    Unfinished {
        /// The time since it was sent to the target.
        elapsed: TimeSpan,
        /// The time that any target is expected to take.
        expected: TimeSpan,
    },
    /// It did not run, which says nothing of the target's health.
    NotRun,
}

/// A `ReplicaChooser` chooses replicas; its state is in the table's gauges.
#[derive(Clone, Debug)]
pub struct ReplicaChooser {
    options: ReplicaOptions,
    policy: PolicyKind,
}

type Candidates = SmallVec<[TargetIndex; 8]>;

impl ReplicaChooser {
    /// Returns a chooser.
    #[must_use]
    pub const fn new(policy: PolicyKind, options: ReplicaOptions) -> Self {
        Self { options, policy }
    }

    /// Chooses one of a shard's replicas that is not among `tried`, or none where all are tried or
    /// drain.
    ///
    /// `expected` is the service time expected of any target; `random` is any number.
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

    /// Takes an attempt back, with what it says of its target and the wait that the relay reported.
    ///
    /// Returns true where the target was ejected by it.
    #[must_use]
    pub fn record_finished(
        &self,
        entry: &TargetEntry,
        sample: AttemptSample,
        wait: Option<TimeSpan>,
        now: TimePoint,
    ) -> bool {
        let gauge = &entry.stats;
        gauge.record_ended();
        if let Some(wait) = wait {
            gauge.record_wait(wait, now);
        }
        match sample {
            AttemptSample::Answered { service, expected } => {
                gauge.record_success();
                gauge.record_service_time(service, expected, now);
                false
            }
            AttemptSample::Unfinished { elapsed, expected } => {
                // Only what is slower than what is known tells something.
                let known = expected.mul_f64(gauge.slowness(now));
                if elapsed > known {
                    gauge.record_service_time(elapsed, expected, now);
                }
                false
            }
            AttemptSample::Failed => gauge.record_failure(
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
                let gauge = &entry.stats;
                (index, gauge.is_ejected(now) || gauge.is_suspect())
            })
            .collect();
        let set_aside = serving.iter().filter(|(_, aside)| *aside).count();
        let uses_all = self.policy == PolicyKind::Baseline || set_aside * 2 > serving.len();
        let untried = |index: &TargetIndex| !tried.contains(index);
        let usable: Candidates = serving
            .iter()
            .filter(|(_, aside)| uses_all || !*aside)
            .map(|(index, _)| *index)
            .filter(untried)
            .collect();
        if !usable.is_empty() {
            return usable;
        }
        // A doubtful replica is better than a shard that is not covered.
        serving
            .iter()
            .map(|(index, _)| *index)
            .filter(untried)
            .collect()
    }

    /// Estimates the time in microseconds that an attempt at the target would take.
    fn cost(&self, entry: &TargetEntry, expected: TimeSpan, now: TimePoint) -> f64 {
        let gauge = &entry.stats;
        let service = expected.as_micros() as f64 * gauge.slowness(now);
        let ahead = f64::from(gauge.outstanding()) / f64::from(entry.slots);
        let far = if entry.is_in_own_domain {
            0
        } else {
            self.options.cross_domain_penalty.as_micros()
        };
        let wait = gauge.wait(now).as_micros();
        (wait + far) as f64 + service * (1.0 + ahead)
    }
}

/// Draws two different places below `count`, or the same where there is one; none where there is
/// none.
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
