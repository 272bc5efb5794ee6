//! Counts the queries of a run by outcome.

use alderhaven_core::outcome::QueryOutcome;
use serde::Serialize;

/// The counts of a run, printed as one JSON line with `--json`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RunTotals {
    /// All queries that were sent.
    pub queries: usize,
    /// Answered by all requested shards.
    pub complete: usize,
    /// Answered by some of the requested shards.
    pub partial: usize,
    /// Refused; nothing ran.
    pub refused: usize,
    /// May or may not have run; includes unreadable replies.
    pub unknown: usize,
    /// Ran without a usable answer; may be retried.
    pub failed: usize,
    /// Violations that the oracle found.
    pub violations: usize,
}

impl RunTotals {
    /// Counts one query; `None` stands for an unreadable reply.
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
