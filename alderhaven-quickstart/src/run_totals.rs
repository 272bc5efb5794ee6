//! The totals of a run.

use alderhaven_core::outcome::QueryOutcome;
use serde::Serialize;

/// A `RunTotals` counts the queries of a run by outcome; it is the run's JSON line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RunTotals {
    /// The queries that were sent.
    pub queries: usize,
    /// Those that were answered over all asked shards.
    pub complete: usize,
    /// Those that were answered over some asked shards.
    pub partial: usize,
    /// Those that were refused; nothing ran.
    pub refused: usize,
    /// Those that may or may not have run, an unreadable reply included.
    pub unknown: usize,
    /// Those that ran without a usable answer and may be repeated.
    pub failed: usize,
    /// The broken promises that the oracle found.
    pub violations: usize,
}

impl RunTotals {
    /// Counts the outcome of a query; none stands for an unreadable reply.
    pub const fn record_outcome(&mut self, outcome: Option<QueryOutcome>) {
        self.queries += 1;
        match outcome {
            Some(QueryOutcome::Complete) => self.complete += 1,
            Some(QueryOutcome::Partial) => self.partial += 1,
            Some(QueryOutcome::Refused) => self.refused += 1,
            Some(QueryOutcome::Failed) => self.failed += 1,
            Some(QueryOutcome::Unknown) | None => self.unknown += 1,
        }
    }
}
