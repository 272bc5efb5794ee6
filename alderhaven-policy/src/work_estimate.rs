//! Estimates how long the work of a request may take, from earlier requests of its route.

use std::collections::HashMap;

use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::run_times::{RunNumber, RunTimes};

/// Largest number of kinds that are tracked apart.
const MAX_KINDS: usize = 64;

/// Time between two removals of the kinds with too few requests for an estimate.
const CLEANUP_INTERVAL: TimeSpan = TimeSpan::from_secs(60);

/// A kind of work within a route: requests of one kind are expected to take a similar time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WorkKind(u64);

impl WorkKind {
    /// Returns the kind with this hash.
    #[must_use]
    pub const fn from_hash(hash: u64) -> Self {
        Self(hash)
    }
}

/// A run whose end has to be recorded.
#[derive(Clone, Copy, Debug)]
pub struct OpenRun {
    kind: WorkKind,
    number: RunNumber,
    kind_number: Option<RunNumber>,
}

/// Run times of a route, overall and by kind.
///
/// Kinds with few requests, such as those derived from an id in the path, are not told apart.
#[derive(Clone, Debug, Default)]
pub struct WorkEstimate {
    overall: RunTimes,
    kinds: HashMap<WorkKind, RunTimes>,
    cleaned_at: TimePoint,
}

impl WorkEstimate {
    /// Records that a request begins to run.
    pub fn begin(&mut self, kind: WorkKind, now: TimePoint) -> OpenRun {
        if now.since(self.cleaned_at) >= CLEANUP_INTERVAL {
            self.cleaned_at = now;
            self.kinds.retain(|_, times| times.is_in_use());
        }
        if self.kinds.len() < MAX_KINDS {
            self.kinds.entry(kind).or_default();
        }
        OpenRun {
            kind,
            number: self.overall.begin(now),
            kind_number: self.kinds.get_mut(&kind).map(|times| times.begin(now)),
        }
    }

    /// Records the end of a run. `is_complete` tells whether a target has finished its work.
    pub fn end(&mut self, run: OpenRun, is_complete: bool, now: TimePoint) {
        self.overall.end(run.number, is_complete, now);
        if let Some(number) = run.kind_number
            && let Some(times) = self.kinds.get_mut(&run.kind)
        {
            times.end(number, is_complete, now);
        }
    }

    /// Returns the longest time that a request of this kind is known to take, or of any kind if too
    /// few of this one are known. Returns `None` if too few requests are known at all.
    #[must_use]
    pub fn longest_run(&self, kind: WorkKind, now: TimePoint) -> Option<TimeSpan> {
        let own = self.kinds.get(&kind).and_then(|times| times.longest(now));
        own.or_else(|| self.overall.longest(now))
    }
}
