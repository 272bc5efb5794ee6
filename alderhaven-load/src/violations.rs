//! The kinds of broken promises that the oracle tells apart, and their counts.

use serde::{Deserialize, Serialize};

/// A `ViolationKind` is a promise that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// An answer mixes snapshots, or names one that was never published.
    MixedSnapshot,
    /// The coverage is not what the rows and the targets' runs show.
    UntrueCoverage,
    /// An answer has rows of another query.
    Crossed,
    /// A request was refused as not run, and a target ran it.
    FalseNotRun,
    /// A non-idempotent request ran twice.
    DoubleRun,
    /// A target ran work too long after it began to leave.
    WorkAfterLeaving,
    /// A connection was cut while its request was in flight.
    CutInFlight,
    /// A node's configuration went back to an earlier one.
    Reverted,
}

/// A `ViolationCounts` counts the violations of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViolationCounts {
    /// Answers with mixed or unknown snapshots.
    pub mixed_snapshot: u64,
    /// Answers with untrue coverage.
    pub untrue_coverage: u64,
    /// Answers with rows of another query.
    pub crossed: u64,
    /// Refusals as not run of what ran.
    pub false_not_run: u64,
    /// Non-idempotent requests that ran twice.
    pub double_run: u64,
    /// Runs at targets that were leaving.
    pub work_after_leaving: u64,
    /// Requests whose connection was cut.
    pub cut_in_flight: u64,
    /// Steps back of the configuration.
    pub reverted: u64,
}

impl ViolationCounts {
    /// Counts a violation.
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

    /// Gets the number of all violations.
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
