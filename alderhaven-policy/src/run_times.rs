//! How long requests of one kind have run, including those that are still running.

use std::collections::BTreeSet;

use alderhaven_core::time::{TimePoint, TimeSpan};
use smallvec::SmallVec;

use crate::halved_window::HalvedWindow;

/// Time that each half of the window of recent runs covers.
pub(crate) const HALF_WINDOW: TimeSpan = TimeSpan::from_secs(300);

/// One in so many runs may exceed the estimate.
const RUNS_PER_OUTLIER: usize = 1_000;

/// Largest number of long runs that are kept, and so of outliers.
const MAX_PEAKS: usize = 8;

/// Identifies an open run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunNumber {
    started_at: TimePoint,
    number: u64,
}

/// The longest runs over a sliding window of five to ten minutes.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    open: BTreeSet<RunNumber>,
    next_number: u64,
    peaks: HalvedWindow<RunPeaks>,
    last_begin: TimePoint,
}

/// The longest of some ended runs.
#[derive(Clone, Debug, Default)]
struct RunPeaks {
    /// In descending order.
    longest: SmallVec<[TimeSpan; MAX_PEAKS]>,
    shortest: Option<TimeSpan>,
    samples: usize,
}

impl RunPeaks {
    fn add(&mut self, run_time: TimeSpan) {
        self.samples += 1;
        self.shortest = Some(
            self.shortest
                .map_or(run_time, |shortest| shortest.min(run_time)),
        );
        let index = self.longest.partition_point(|peak| *peak >= run_time);
        if index < MAX_PEAKS {
            self.longest.truncate(MAX_PEAKS - 1);
            self.longest.insert(index, run_time);
        }
    }
}

impl RunTimes {
    /// Records the start of a run.
    pub fn begin(&mut self, now: TimePoint) -> RunNumber {
        let run = RunNumber {
            started_at: now,
            number: self.next_number,
        };
        self.next_number += 1;
        self.last_begin = now;
        self.open.insert(run);
        run
    }

    /// Records the end of a run and returns its time. `is_complete` tells whether the work itself has
    /// ended; if not, the run says nothing about how long the work takes.
    pub fn end(&mut self, run: RunNumber, is_complete: bool, now: TimePoint) -> TimeSpan {
        self.open.remove(&run);
        let run_time = now.since(run.started_at);
        if is_complete {
            self.peaks.current(HALF_WINDOW, now).add(run_time);
        }
        run_time
    }

    /// Returns the time that no more than one in a thousand runs of the window has exceeded, open runs
    /// included. Returns `None` without runs.
    #[must_use]
    pub fn longest(&self, now: TimePoint) -> Option<TimeSpan> {
        let outliers = (self.sample_count() / RUNS_PER_OUTLIER).min(MAX_PEAKS - 1);
        let open = self.open.iter().take(outliers + 1);
        let halves = self.peaks.halves().into_iter();
        let ended = halves.flat_map(|peaks| &peaks.longest);
        let mut longest: SmallVec<[TimeSpan; 3 * MAX_PEAKS]> = open
            .map(|run| now.since(run.started_at))
            .chain(ended.copied())
            .collect();
        longest.sort_unstable();
        longest.iter().rev().nth(outliers).copied()
    }

    /// Returns the time of the shortest ended run of the window; `None` without one.
    #[must_use]
    pub fn shortest(&self) -> Option<TimeSpan> {
        let halves = self.peaks.halves().into_iter();
        halves.filter_map(|peaks| peaks.shortest).min()
    }

    /// Returns the number of open runs that are longer than this time.
    #[must_use]
    pub fn count_open_above(&self, run_time: TimeSpan, now: TimePoint) -> usize {
        let longer = self.open.iter();
        longer
            .take_while(|run| now.since(run.started_at) > run_time)
            .count()
    }

    /// Returns true if a run is open.
    #[must_use]
    pub fn has_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// Returns when the last run began.
    #[must_use]
    pub const fn last_begin(&self) -> TimePoint {
        self.last_begin
    }

    /// Returns the number of ended runs in the window.
    #[must_use]
    pub fn sample_count(&self) -> usize {
        let halves = self.peaks.halves().into_iter();
        halves.map(|peaks| peaks.samples).sum()
    }
}
