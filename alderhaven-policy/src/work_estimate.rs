//! Estimates how long the work of a request may take, from earlier requests of its route.

use std::collections::HashMap;

use alderhaven_core::time::{TimePoint, TimeSpan};
use smallvec::SmallVec;

use crate::halved_window::HalvedWindow;
use crate::run_histogram::RunHistogram;
use crate::run_times::{self, RunNumber, RunTimes};

/// Largest number of kinds that are tracked apart.
const MAX_KINDS: usize = 64;

/// Number of ended runs of a route from which the longest one is representative.
const MIN_ROUTE_SAMPLES: usize = 20;

/// The same for a kind of work.
const MIN_KIND_SAMPLES: usize = 20;

/// Negative logarithm of the probability, 1%, below which the runs of a kind don't differ by chance.
const MIN_SIGNIFICANCE: f64 = 4.6;

/// A kind of work within a route, such as an operation that the path names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WorkKind(u64);

impl WorkKind {
    /// Returns the kind with this hash.
    #[must_use]
    pub const fn from_hash(hash: u64) -> Self {
        Self(hash)
    }
}

/// The kinds that a request belongs to.
pub type WorkKinds = SmallVec<[WorkKind; 2]>;

/// A run whose end has to be recorded.
#[derive(Clone, Debug)]
pub struct OpenRun {
    number: RunNumber,
    kinds: SmallVec<[(WorkKind, RunNumber); 2]>,
}

/// Run times of a route, overall and by kind.
#[derive(Clone, Debug, Default)]
pub struct WorkEstimate {
    overall: RunTimes,
    histogram: HalvedWindow<RunHistogram>,
    kinds: HashMap<WorkKind, RunTimes>,
}

impl WorkEstimate {
    /// Records that a request of these kinds begins to run.
    pub fn begin(&mut self, kinds: &[WorkKind], now: TimePoint) -> OpenRun {
        let mut open_kinds = SmallVec::new();
        for kind in kinds {
            if let Some(times) = self.times_of(*kind) {
                open_kinds.push((*kind, times.begin(now)));
            }
        }
        OpenRun {
            number: self.overall.begin(now),
            kinds: open_kinds,
        }
    }

    /// Records the end of a run. `is_complete` tells whether a target has finished its work.
    pub fn end(&mut self, run: &OpenRun, is_complete: bool, now: TimePoint) {
        let run_time = self.overall.end(run.number, is_complete, now);
        if is_complete {
            let histogram = self.histogram.current(run_times::HALF_WINDOW, now);
            histogram.add(run_time);
        }
        for (kind, number) in &run.kinds {
            if let Some(times) = self.kinds.get_mut(kind) {
                times.end(*number, is_complete, now);
            }
        }
    }

    /// Returns the longest time that a request of these kinds is known to take. Returns `None` if too
    /// little is known.
    ///
    /// A kind counts only if its runs differ from those of the route by more than chance: most values in
    /// a path, such as ids, say nothing about the work.
    #[must_use]
    pub fn longest_run(&self, kinds: &[WorkKind], now: TimePoint) -> Option<TimeSpan> {
        if self.overall.sample_count() < MIN_ROUTE_SAMPLES {
            return None;
        }
        let overall = self.overall.longest(now)?;
        let mut longest = overall;
        for times in kinds.iter().filter_map(|kind| self.kinds.get(kind)) {
            let Some(own) = times.longest(now) else {
                continue;
            };
            if times.sample_count() >= MIN_KIND_SAMPLES {
                if self.is_shorter_kind(times, own, now) {
                    longest = longest.min(own);
                }
            } else if self.is_longer_kind(times) {
                // The few longest runs are its own, and the next one may well be longer.
                return None;
            }
        }
        Some(longest)
    }

    /// Returns true if the route has too many longer runs for their absence in the kind to be chance.
    fn is_shorter_kind(&self, times: &RunTimes, longest: TimeSpan, now: TimePoint) -> bool {
        let open = self.overall.count_open_above(longest, now) as u64;
        let longer_share = self.share_of(self.count_above(longest) + open);
        times.sample_count() as f64 * longer_share >= MIN_SIGNIFICANCE
    }

    /// Returns true if all runs of the kind are among the longest of the route by more than chance.
    fn is_longer_kind(&self, times: &RunTimes) -> bool {
        let Some(shortest) = times.shortest() else {
            return false;
        };
        let longer_share = self.share_of(self.count_above(shortest));
        times.sample_count() as f64 * -longer_share.ln() >= MIN_SIGNIFICANCE
    }

    fn count_above(&self, run_time: TimeSpan) -> u64 {
        let halves = self.histogram.halves().into_iter();
        halves.map(|half| half.count_above(run_time)).sum()
    }

    fn share_of(&self, runs: u64) -> f64 {
        runs as f64 / self.overall.sample_count() as f64
    }

    /// Returns the times of a kind. A new kind takes the place of the one with the fewest runs; `None`
    /// if all kinds have open runs.
    fn times_of(&mut self, kind: WorkKind) -> Option<&mut RunTimes> {
        if !self.kinds.contains_key(&kind) && self.kinds.len() >= MAX_KINDS {
            let closed = self.kinds.iter().filter(|(_, times)| !times.has_open());
            let rarest = closed.min_by_key(|(_, times)| (times.sample_count(), times.last_begin()));
            let rarest = rarest.map(|(kind, _)| *kind)?;
            self.kinds.remove(&rarest);
        }
        Some(self.kinds.entry(kind).or_default())
    }
}
