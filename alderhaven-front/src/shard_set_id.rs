//! Identifies a set of services.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Hash of an ordered list of services. Routes over the same list share one admission gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ShardSetId(u64);

impl ShardSetId {
    /// Returns the id of a set with a single service.
    #[must_use]
    pub fn of_service(service: &str) -> Self {
        Self::of_services(&[service])
    }

    /// Returns the id of these services, which depends on their order.
    #[must_use]
    pub fn of_services<S: Hash>(services: &[S]) -> Self {
        let mut hasher = DefaultHasher::new();
        services.hash(&mut hasher);
        Self(hasher.finish())
    }
}
