//! Shared access to the configuration in force and to the state of its synchronization.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::config_object::{ObjectKey, StoredObject};
use alderhaven_core::ids::StoreEra;
use alderhaven_core::logging;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::config_registry::ConfigView;
use alderhaven_policy::exchange::exchange_message::ObjectStamp;
use arc_swap::ArcSwap;
use log::Level;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::config_state::{ConfigState, StoreRegression};
use crate::object_store::StoreResult;

/// Handle to the configuration in force. Clones share the same state.
#[derive(Clone, Debug)]
pub struct ConfigHandle {
    shared: Arc<SharedConfig>,
}

#[derive(Debug)]
struct SharedConfig {
    /// Lock-free for readers, which load it for each request. Stored only while `state` is locked, so
    /// that views are published in order.
    view: ArcSwap<ConfigView>,
    state: Mutex<ConfigState>,
    sync_record: Mutex<SyncRecord>,
    view_changes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct SyncRecord {
    state: StoreSyncState,
    last_answer_at: Option<Instant>,
}

/// State of the synchronization with the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum StoreSyncState {
    /// The store has not answered yet.
    #[default]
    Waiting,
    /// The store answers, and its changes are applied.
    Following,
    /// Calls to the store fail. The node uses the configuration that it has accepted.
    Lost {
        /// The last error.
        reason: String,
    },
    /// The store's state is older than the known one. The node keeps the configuration that it has
    /// accepted.
    #[serde(rename = "backwards")]
    Regressed {
        /// The evidence of the regression.
        regression: StoreRegression,
    },
}

/// Status of the configuration and its synchronization, for state dumps and reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FollowerStatus {
    /// The state of the synchronization with the store.
    #[serde(rename = "contact")]
    pub sync_state: StoreSyncState,
    /// The revision up to which every change is known, or `None` before the first list.
    pub revision: Option<StoreVersion>,
    /// The store's era of that revision.
    pub era: StoreEra,
    /// Whether objects are in force that the store lost and that were not written again.
    pub has_lost_objects: bool,
    /// The highest known version of any object, from the store or from peers.
    pub highest_version: StoreVersion,
    /// The time since the last list or watch result that was compared with the known state.
    #[serde(rename = "since_contact")]
    pub time_since_answer: Option<TimeSpan>,
    /// The number of known objects, including tombstones.
    #[serde(rename = "objects")]
    pub object_count: usize,
    /// The objects whose latest content is invalid.
    pub rejected: Vec<RejectedStatus>,
}

/// Object whose latest content is invalid. Its last valid content stays in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RejectedStatus {
    /// The object's key, written `kind/name`.
    pub key: String,
    /// The version of the rejected content.
    pub version: StoreVersion,
    /// The store's era of the version.
    pub era: StoreEra,
    /// All errors found in the content.
    pub errors: Vec<String>,
}

/// Log events about the configuration and the store.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum ConfigEvent<'a> {
    StoreFollowed {
        revision: StoreVersion,
    },
    StoreLost {
        reason: &'a str,
    },
    /// The store came back from an older copy.
    StoreRestored {
        era: StoreEra,
        revision: StoreVersion,
        /// The objects in force that the store lost.
        carried: Vec<String>,
    },
    #[serde(rename = "store_backwards")]
    StoreRegressed {
        reason: String,
    },
    ConfigChanged {
        key: String,
        version: StoreVersion,
    },
    ConfigRejected(RejectedStatus),
}

impl Default for ConfigHandle {
    fn default() -> Self {
        Self {
            shared: Arc::new(SharedConfig {
                view: ArcSwap::default(),
                state: Mutex::default(),
                sync_record: Mutex::default(),
                view_changes: watch::Sender::new(0),
            }),
        }
    }
}

impl ConfigHandle {
    /// Returns the configuration in force.
    #[must_use]
    pub fn view(&self) -> Arc<ConfigView> {
        self.shared.view.load_full()
    }

    /// Returns a receiver that is notified of each new view.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.shared.view_changes.subscribe()
    }

    /// Applies objects from a peer and publishes the resulting changes.
    pub fn accept(&self, objects: Vec<StoredObject>) {
        let mut state = self.lock_state();
        let changed = state.accept_from_peer(objects);
        self.publish(&state, &changed);
    }

    /// Returns the versions of all known objects, including tombstones, for comparison with peers.
    #[must_use]
    pub fn stamps(&self) -> Vec<ObjectStamp> {
        let state = self.lock_state();
        state.registry().objects().map(ObjectStamp::from).collect()
    }

    /// Returns a known object or tombstone, for a peer that lacks it.
    #[must_use]
    pub fn object(&self, key: &ObjectKey) -> Option<StoredObject> {
        self.lock_state().registry().object(key).cloned()
    }

    /// Returns the revision up to which every change is known, or `None` before the first list.
    #[must_use]
    pub fn complete_revision(&self) -> Option<StoreVersion> {
        self.lock_state().complete_revision()
    }

    /// Returns the status of the configuration and its synchronization.
    #[must_use]
    pub fn status(&self) -> FollowerStatus {
        let (sync_state, last_answer_at) = {
            let record = self.lock_sync_record();
            (record.state.clone(), record.last_answer_at)
        };
        let state = self.lock_state();
        FollowerStatus {
            sync_state,
            revision: state.complete_revision(),
            era: state.complete_revision().unwrap_or_default().era,
            has_lost_objects: state.has_lost_objects(),
            highest_version: state.registry().highest_version(),
            time_since_answer: last_answer_at.map(|instant| instant.elapsed().into()),
            object_count: state.registry().objects().count(),
            rejected: rejected_objects(&state),
        }
    }

    /// Returns true if objects are in force that the store lost and that were not written again.
    pub(crate) fn has_lost_objects(&self) -> bool {
        self.lock_state().has_lost_objects()
    }

    /// Sets whether the next list may remove such objects.
    pub(crate) fn set_grace_over(&self, is_over: bool) {
        self.lock_state().set_grace_over(is_over);
    }

    pub(crate) fn min_revision(&self) -> StoreVersion {
        self.lock_state().min_revision()
    }

    /// Applies a result of the store to the state and publishes the resulting changes.
    pub(crate) fn apply(
        &self,
        apply: impl FnOnce(&mut ConfigState) -> Result<Vec<ObjectKey>, StoreRegression>,
    ) -> Result<(), StoreRegression> {
        let mut state = self.lock_state();
        let previous = state.complete_revision();
        let result = apply(&mut state);
        let revision = state.complete_revision().unwrap_or_default();
        if previous.is_some_and(|previous| previous.era < revision.era) {
            log_restore(&state, revision);
        }
        if let Ok(changed) = &result {
            self.publish(&state, changed);
        }
        drop(state);
        let sync_state = match &result {
            Ok(_) => StoreSyncState::Following,
            Err(regression) => StoreSyncState::Regressed {
                regression: regression.clone(),
            },
        };
        self.lock_sync_record().last_answer_at = Some(Instant::now());
        self.set_sync_state(sync_state, revision);
        result.map(drop)
    }

    /// Records that a call to the store failed.
    pub(crate) fn record_failure(&self, reason: &str) {
        let is_regressed = matches!(
            self.lock_sync_record().state,
            StoreSyncState::Regressed { .. }
        );
        // A regression is more severe than a failed call and stays until the store has caught up.
        if !is_regressed {
            let reason = reason.to_owned();
            self.set_sync_state(StoreSyncState::Lost { reason }, StoreVersion::default());
        }
    }

    /// Records the failure of a call, if it failed, and returns the result unchanged.
    pub(crate) fn record_result<T>(&self, result: StoreResult<T>) -> StoreResult<T> {
        result.inspect_err(|error| self.record_failure(&error.to_string()))
    }

    fn publish(&self, state: &ConfigState, changed: &[ObjectKey]) {
        if changed.is_empty() {
            return;
        }
        self.shared.view.store(Arc::new(state.registry().view()));
        self.shared.view_changes.send_modify(|count| *count += 1);
        log_changes(state, changed);
    }

    fn set_sync_state(&self, sync_state: StoreSyncState, revision: StoreVersion) {
        let mut record = self.lock_sync_record();
        // Logs changes of the state only, not every failed call of an outage.
        let has_changed =
            std::mem::discriminant(&record.state) != std::mem::discriminant(&sync_state);
        if has_changed {
            log_sync_state(&sync_state, revision);
        }
        record.state = sync_state;
    }

    fn lock_state(&self) -> MutexGuard<'_, ConfigState> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_sync_record(&self) -> MutexGuard<'_, SyncRecord> {
        self.shared
            .sync_record
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn rejected_objects(state: &ConfigState) -> Vec<RejectedStatus> {
    state
        .registry()
        .rejected()
        .iter()
        .map(|(key, object)| RejectedStatus {
            key: key.to_string(),
            version: object.version,
            era: object.version.era,
            errors: object.errors.iter().map(ToString::to_string).collect(),
        })
        .collect()
}

fn log_changes(state: &ConfigState, changed: &[ObjectKey]) {
    for key in changed {
        if !state.registry().rejected().contains_key(key) {
            let version = state
                .registry()
                .objects()
                .find(|object| object.key == *key)
                .map(|object| object.version)
                .unwrap_or_default();
            let key = key.to_string();
            logging::emit(Level::Info, &ConfigEvent::ConfigChanged { key, version });
        }
    }
    let names: Vec<String> = changed.iter().map(ToString::to_string).collect();
    for status in rejected_objects(state) {
        if names.contains(&status.key) {
            logging::emit(Level::Warn, &ConfigEvent::ConfigRejected(status));
        }
    }
}

fn log_restore(state: &ConfigState, revision: StoreVersion) {
    let objects = state.registry().objects();
    let carried = objects.filter(|object| object.version.is_carried());
    let event = ConfigEvent::StoreRestored {
        era: revision.era,
        revision,
        carried: carried.map(|object| object.key.to_string()).collect(),
    };
    logging::emit(Level::Error, &event);
}

fn log_sync_state(sync_state: &StoreSyncState, revision: StoreVersion) {
    match sync_state {
        StoreSyncState::Waiting => {}
        StoreSyncState::Following => {
            logging::emit(Level::Info, &ConfigEvent::StoreFollowed { revision });
        }
        StoreSyncState::Lost { reason } => {
            logging::emit(Level::Warn, &ConfigEvent::StoreLost { reason });
        }
        StoreSyncState::Regressed { regression } => {
            let reason = regression.to_string();
            logging::emit(Level::Error, &ConfigEvent::StoreRegressed { reason });
        }
    }
}
