//! Changes of a lease that operators need to know of.

/// A change of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// The first proof of the process.
    Obtained,
    /// The last proof is older than the bound allows.
    Lost,
    /// A new proof after a loss.
    Recovered,
}
