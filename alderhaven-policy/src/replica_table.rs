//! The targets of the present manifests, by dense index.
//!
//! Readers hold the table through an `Arc` while a new one takes its place (read-copy-update); the
//! gauges of targets that stay are carried over, so that no count is lost.

use std::collections::HashMap;
use std::sync::Arc;

use alderhaven_core::ids::{FailureDomain, TargetId};

use crate::target_stats::TargetStats;

/// A `TargetIndex` is the place of a target in its table.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct TargetIndex(pub u32);

/// A `TargetEntry` is one target of a table.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// The target.
    pub target: TargetId,
    /// Its declared slots.
    pub slots: u32,
    /// Whether it runs in the failure domain of this process.
    pub is_in_own_domain: bool,
    /// Whether it drains, and gets no new work.
    pub is_draining: bool,
    /// Its load as it is seen from here.
    pub stats: Arc<TargetStats>,
}

/// A `TargetListing` is what is declared of one target.
#[derive(Clone, Debug)]
pub struct TargetListing {
    /// The target.
    pub target: TargetId,
    /// The failure domain that it runs in.
    pub domain: FailureDomain,
    /// Its declared slots.
    pub slots: u32,
    /// Whether it drains.
    pub is_draining: bool,
}

/// A `ReplicaTable` holds the targets of the present manifests.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    entries: Vec<TargetEntry>,
    indexes: HashMap<TargetId, TargetIndex>,
}

impl ReplicaTable {
    /// Builds the table of these targets, with the gauges of `before` for those that stay.
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
            let gauge = known.map(|entry| Arc::clone(&entry.stats));
            let index = TargetIndex(u32::try_from(table.entries.len()).unwrap_or(u32::MAX));
            table.indexes.insert(listing.target.clone(), index);
            table.entries.push(TargetEntry {
                is_in_own_domain: listing.domain == *own_domain,
                target: listing.target,
                slots: listing.slots.max(1),
                is_draining: listing.is_draining,
                stats: gauge.unwrap_or_default(),
            });
        }
        table
    }

    /// Gets the index of a target.
    #[must_use]
    pub fn index_of(&self, target: &TargetId) -> Option<TargetIndex> {
        self.indexes.get(target).copied()
    }

    /// Gets a target by its index.
    #[must_use]
    pub fn get(&self, index: TargetIndex) -> Option<&TargetEntry> {
        self.entries.get(index.0 as usize)
    }

    /// Gets all targets.
    #[must_use]
    pub fn entries(&self) -> &[TargetEntry] {
        &self.entries
    }
}
