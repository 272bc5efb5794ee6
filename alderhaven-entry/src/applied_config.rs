//! The configuration on which queries are planned. A change becomes visible only after every part
//! of the entry has applied it.

use std::collections::BTreeMap;
use std::sync::Arc;

use alderhaven_core::ids::{ServiceName, SnapshotId};
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::template::MAX_DEADLINE;
use alderhaven_policy::config_registry::ConfigView;
use alderhaven_store::config_handle::{ConfigHandle, FollowerStatus};
use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::admission_controller::AdmissionController;
use crate::relay_routes::RelayRoutes;
use crate::replica_selector::ReplicaSelector;

/// Configuration view on which queries are planned. Clones share the same view.
///
/// Planning on the newest view of the store would fail for a new manifest: there would be no relay
/// routes for its targets yet, and its shards would be reported as unreachable.
#[derive(Clone, Debug)]
pub struct AppliedConfig {
    view: Arc<ArcSwap<ConfigView>>,
    /// Every change up to this revision is contained in the view.
    revision: Arc<ArcSwapOption<StoreVersion>>,
    changes: watch::Sender<u64>,
}

/// Applies each configuration change to admission, routes and replica selection, then publishes it.
#[derive(Debug)]
pub struct ConfigApplier {
    /// The newest configuration from the store.
    pub config: ConfigHandle,
    /// Receives the services and teams.
    pub admission: Arc<AdmissionController>,
    /// Receives the targets to be reached through relays.
    pub routes: Arc<RelayRoutes>,
    /// Receives the targets to choose from.
    pub selector: Arc<ReplicaSelector>,
    /// Publishes the view to queries, after all other parts.
    pub applied: AppliedConfig,
}

/// Current manifests and replaced ones to which running queries may still be pinned.
#[derive(Debug, Default)]
struct RecentManifests {
    manifests: BTreeMap<(ServiceName, SnapshotId), RecentManifest>,
}

#[derive(Debug)]
struct RecentManifest {
    manifest: Arc<SnapshotManifest>,
    replaced_at: Option<Instant>,
}

impl Default for AppliedConfig {
    fn default() -> Self {
        Self {
            view: Arc::default(),
            revision: Arc::default(),
            changes: watch::Sender::new(0),
        }
    }
}

impl AppliedConfig {
    /// Returns the view that every part of the entry has applied.
    #[must_use]
    pub fn view(&self) -> Arc<ConfigView> {
        self.view.load_full()
    }

    /// Subscribes to a counter that increases with each published view.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the status of the configuration follower, with the revision that queries already
    /// see.
    ///
    /// Without this, an operator could see a revision as applied while queries still use the one
    /// before. The follower's status is read first, so that a view published later contains its
    /// changes.
    #[must_use]
    pub fn status(&self, config: &ConfigHandle) -> FollowerStatus {
        let status = config.status();
        let is_applied = Arc::ptr_eq(&self.view(), &config.view());
        let revision = if is_applied {
            status.revision
        } else {
            self.revision.load_full().map(|revision| *revision)
        };
        FollowerStatus { revision, ..status }
    }

    fn publish(&self, view: Arc<ConfigView>, revision: Option<StoreVersion>) {
        self.view.store(view);
        self.revision.store(revision.map(Arc::new));
        self.changes.send_modify(|count| *count += 1);
    }
}

impl ConfigApplier {
    /// Applies each change until the configuration handle is closed.
    pub async fn follow(self) {
        let mut changed = self.config.subscribe();
        let mut recent = RecentManifests::default();
        loop {
            changed.borrow_and_update();
            // Read before the view, so that the view contains every change up to it.
            let revision = self.config.complete_revision();
            let view = self.config.view();
            recent.update(&view, Instant::now());
            let manifests = recent.current_first();
            self.admission.apply(&view);
            self.routes.apply(&manifests);
            self.selector.apply(&manifests, &view);
            self.applied.publish(view, revision);
            if changed.changed().await.is_err() {
                return;
            }
        }
    }
}

impl RecentManifests {
    /// Adds the manifests of a view. Replaced ones are kept for the longest deadline of a query.
    fn update(&mut self, view: &ConfigView, now: Instant) {
        for recent in self.manifests.values_mut() {
            let manifest = &recent.manifest;
            let current = view.manifests.get(&manifest.service);
            if current.is_none_or(|current| current.snapshot != manifest.snapshot) {
                recent.replaced_at.get_or_insert(now);
            }
        }
        for manifest in view.manifests.values() {
            let key = (manifest.service.clone(), manifest.snapshot);
            let recent = RecentManifest {
                manifest: Arc::clone(manifest),
                replaced_at: None,
            };
            self.manifests.insert(key, recent);
        }
        let retention = MAX_DEADLINE.as_duration();
        self.manifests
            .retain(|_, recent| recent.replaced_at.is_none_or(|at| now - at < retention));
    }

    /// Returns all manifests, current ones first, so that their entry for a target takes
    /// precedence.
    fn current_first(&self) -> Vec<Arc<SnapshotManifest>> {
        let mut recent: Vec<&RecentManifest> = self.manifests.values().collect();
        recent.sort_by_key(|recent| recent.replaced_at.is_some());
        recent
            .into_iter()
            .map(|recent| Arc::clone(&recent.manifest))
            .collect()
    }
}
