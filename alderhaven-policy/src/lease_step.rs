//! What a front does next to keep its lease.

/// One step; the caller carries it out at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// List the configuration from the store.
    ListStore,
    /// Send a query.
    Query {
        /// Number of the query.
        number: u64,
        /// Place in the order of the group, never the own one.
        receiver: usize,
    },
}
