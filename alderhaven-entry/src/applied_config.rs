//! The configuration as queries read it: visible only once every part of the entry has taken it over.

use std::collections::BTreeMap;
use std::sync::Arc;

use alderhaven_core::ids::{ServiceName, SnapshotId, StoreVersion};
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_core::template::MAX_DEADLINE;
use alderhaven_policy::config_registry::ConfigView;
use alderhaven_store::config_handle::{ConfigHandle, FollowerStatus};
use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::admission_controller::AdmissionController;
use crate::relay_routes::RelayRoutes;
use crate::replica_selector::ReplicaSelector;

/// An `AppliedConfig` is the view that queries are planned on; its clones share it.
///
/// Were queries planned on the view that the store's watch has just brought, the first ones on a
/// new manifest would find no relay for its targets yet and report its shards as unreachable.
#[derive(Clone, Debug)]
pub struct AppliedConfig {
    view: Arc<ArcSwap<ConfigView>>,
    /// The revision up to which the view holds every change.
    revision: Arc<ArcSwapOption<StoreVersion>>,
    changes: watch::Sender<u64>,
}

/// A `ConfigApplier` hands each change of the configuration to the parts of the entry.
#[derive(Debug)]
pub struct ConfigApplier {
    /// The configuration in force.
    pub config: ConfigHandle,
    /// What admits queries.
    pub admission: Arc<AdmissionController>,
    /// The routes through relays.
    pub routes: Arc<RelayRoutes>,
    /// What is known of the targets.
    pub selector: Arc<ReplicaSelector>,
    /// What queries read.
    pub applied: AppliedConfig,
}

/// A `RecentManifests` holds the manifests in force and those that running queries may be pinned to.
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
    /// Gets the view.
    #[must_use]
    pub fn view(&self) -> Arc<ConfigView> {
        self.view.load_full()
    }

    /// Gets a channel that changes with each change of the view.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Gets the follower's state as queries see it: the revision is one whose changes they see.
    ///
    /// Failure: an operator waits until a template is in force, and a caller's next query is answered by
    /// the one before, because the parts of the entry still take over what its watch has brought. The
    /// follower's state is read first, so that a view which is taken over after it holds its changes.
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
    /// Takes over each change of the configuration until the task is ended.
    pub async fn follow(self) {
        let mut changed = self.config.subscribe();
        let mut recent = RecentManifests::default();
        loop {
            changed.borrow_and_update();
            // Read before the view, which then holds every change up to it.
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
    /// Takes over the manifests of a view; replaced ones stay for as long as a query may run.
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

    /// Gets all manifests, those in force first, so that what they say of a target counts.
    fn current_first(&self) -> Vec<Arc<SnapshotManifest>> {
        let mut recent: Vec<&RecentManifest> = self.manifests.values().collect();
        recent.sort_by_key(|recent| recent.replaced_at.is_some());
        recent
            .into_iter()
            .map(|recent| Arc::clone(&recent.manifest))
            .collect()
    }
}
