//! The targets of the current manifests, addressed by dense index.
//!
//! Readers hold a table through an `Arc` while a new one replaces it. Targets that remain keep their
//! statistics, so that no count is lost.

use std::collections::HashMap;
use std::sync::Arc;

use alderhaven_core::ids::{FailureDomain, TargetId};

use crate::target_stats::TargetStats;

/// The position of a target in its table.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct TargetIndex(pub u32);

/// One target of a table.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// The target's identifier.
    pub target: TargetId,
    /// The number of requests that the target declares to run at a time, at least 1.
    pub slots: u32,
    /// Whether the target is in this process's failure domain.
    pub is_in_own_domain: bool,
    /// Whether the target is draining and gets no new work.
    pub is_draining: bool,
    /// The target's load as seen from this process.
    pub stats: Arc<TargetStats>,
}

/// The declared properties of one target.
#[derive(Clone, Debug)]
pub struct TargetListing {
    /// The target's identifier.
    pub target: TargetId,
    /// The failure domain that the target runs in.
    pub domain: FailureDomain,
    /// The number of requests that the target declares to run at a time.
    pub slots: u32,
    /// Whether the target is draining.
    pub is_draining: bool,
}

/// An immutable set of targets with shared statistics.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    entries: Vec<TargetEntry>,
    indexes: HashMap<TargetId, TargetIndex>,
}

impl ReplicaTable {
    /// Builds a table of `listings`; targets that are in `before` keep their statistics.
    #[must_use]
    pub fn build(
        before: &Self,
        listings: impl IntoIterator<Item = TargetListing>,
        own_domain: &FailureDomain,
    ) -> Self {
        let mut table = Self::default();
        for listing in listings {
            if table.indexes.contains_key(&listing.target) {
                continue;
            }
            let known = before
                .index_of(&listing.target)
                .and_then(|index| before.get(index));
            let stats = known.map(|entry| Arc::clone(&entry.stats));
            let index = TargetIndex(u32::try_from(table.entries.len()).unwrap_or(u32::MAX));
            table.indexes.insert(listing.target.clone(), index);
            table.entries.push(TargetEntry {
                is_in_own_domain: listing.domain == *own_domain,
                target: listing.target,
                slots: listing.slots.max(1),
                is_draining: listing.is_draining,
                stats: stats.unwrap_or_default(),
            });
        }
        table
    }

    /// Returns the index of a target.
    #[must_use]
    pub fn index_of(&self, target: &TargetId) -> Option<TargetIndex> {
        self.indexes.get(target).copied()
    }

    /// Returns the target at an index.
    #[must_use]
    pub fn get(&self, index: TargetIndex) -> Option<&TargetEntry> {
        self.entries.get(index.0 as usize)
    }

    /// Returns all targets, in index order.
    #[must_use]
    pub fn entries(&self) -> &[TargetEntry] {
        &self.entries
    }
}
