//! Exchange of configuration objects between nodes, so that changes reach every node even while
//! the store is down.
//!
//! A few nodes watch the store for each kind of object and announce changes to random peers, which
//! fetch the objects and announce them in turn. A node that misses an announcement notices a
//! different digest on a peer's gossip, compares versions and fetches. A node only replaces an
//! object by a higher store version, deletions included, so the order of arrival does not matter.

pub mod exchange_message;
pub mod exchange_options;
mod fetching;
pub mod object_exchange;
pub mod object_index;
pub mod peer_set;
pub mod watch_plan;
