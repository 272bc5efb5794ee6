//! Receiver of a query for a proof.

/// Which front a query goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryReceiver {
    /// The front at a place of the order; never the own one.
    Place(usize),
    /// Any other front of the own failure domain, or of all if there is none.
    OwnDomain,
    /// Any other front.
    Any,
}
