//! What becomes of an attempt that is given up with its failure domain.

/// A `LeftFate` says whether such an attempt may run all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonedStatus {
    /// It was never sent, and will not be.
    Unsent,
    /// It was sent to a failure domain that was lost, and will hardly run.
    DomainLost,
    /// Its failure domain is silent; it may run.
    MayRun,
}
