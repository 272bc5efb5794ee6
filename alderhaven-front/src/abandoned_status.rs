//! Whether an attempt that was abandoned with its failure domain may still run.

/// Whether an abandoned attempt may run at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonedStatus {
    /// Nothing was sent, and nothing will be.
    Unsent,
    /// Sent to a failure domain that counts as lost. It is assumed not to run.
    DomainLost,
    /// Sent to a failure domain that is silent but may still be working. It may run.
    MayRun,
}
