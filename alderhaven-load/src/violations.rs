//! Kinds of violations that the oracle detects, and their counts.

use serde::{Deserialize, Serialize};

/// Guarantee of the system that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// Rows of several snapshots, or a snapshot that was never published.
    MixedSnapshot,
    /// Coverage that the rows or the targets' runs contradict.
    UntrueCoverage,
    /// Rows of another query.
    Crossed,
    /// A query was refused as not run although a target ran it.
    FalseNotRun,
    /// A non-idempotent query ran more than once.
    DoubleRun,
    /// A target ran new work too long after it began to leave.
    WorkAfterLeaving,
    /// A connection broke while its request was in flight.
    CutInFlight,
    /// A node's configuration went back to an earlier revision.
    Reverted,
}

/// Number of violations by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViolationCounts {
    /// Answers with rows of several snapshots, or of an unpublished one.
    pub mixed_snapshot: u64,
    /// Answers with wrong coverage.
    pub untrue_coverage: u64,
    /// Answers with rows of another query.
    pub crossed: u64,
    /// Refusals as not run of queries that ran.
    pub false_not_run: u64,
    /// Non-idempotent queries that ran more than once.
    pub double_run: u64,
    /// Runs at targets that had left for too long.
    pub work_after_leaving: u64,
    /// Requests whose connection broke.
    pub cut_in_flight: u64,
    /// Returns of a node to an earlier revision.
    pub reverted: u64,
}

impl ViolationCounts {
    /// Counts one violation.
    pub const fn add(&mut self, kind: ViolationKind) {
        let count = match kind {
            ViolationKind::MixedSnapshot => &mut self.mixed_snapshot,
            ViolationKind::UntrueCoverage => &mut self.untrue_coverage,
            ViolationKind::Crossed => &mut self.crossed,
            ViolationKind::FalseNotRun => &mut self.false_not_run,
            ViolationKind::DoubleRun => &mut self.double_run,
            ViolationKind::WorkAfterLeaving => &mut self.work_after_leaving,
            ViolationKind::CutInFlight => &mut self.cut_in_flight,
            ViolationKind::Reverted => &mut self.reverted,
        };
        *count += 1;
    }

    /// Returns the sum over all kinds.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.mixed_snapshot
            + self.untrue_coverage
            + self.crossed
            + self.false_not_run
            + self.double_run
            + self.work_after_leaving
            + self.cut_in_flight
            + self.reverted
    }
}
