//! What a front does next to keep its lease.

use crate::query_receiver::QueryReceiver;

/// One step; the caller carries it out at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// List the configuration from the store.
    ListStore,
    /// Send a query.
    Query {
        /// Number of the query.
        number: u64,
        /// The front to query.
        receiver: QueryReceiver,
    },
}
