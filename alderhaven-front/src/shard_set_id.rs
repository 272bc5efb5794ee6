//! What tells one set of shards from another.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// A `ShardSet` stands for the services of a gathered route: routes over the same ones share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ShardSetId(u64);

impl ShardSetId {
    /// Gets the set of one service.
    #[must_use]
    pub fn of_service(service: &str) -> Self {
        Self::of_services(&[service])
    }

    /// Gets the set of these services.
    #[must_use]
    pub fn of_services<S: Hash>(services: &[S]) -> Self {
        let mut hasher = DefaultHasher::new();
        services.hash(&mut hasher);
        Self(hasher.finish())
    }
}
