//! What a node knows of the configuration, and which news of it may be taken.
//!
//! The registry keeps the higher version of each object. That alone does not hold off two kinds of
//! old news. A list leaves out deleted objects, so a node that listed after a deletion has no
//! tombstone with which to refuse a lagging peer's copy: the object would come back. And a store
//! that was restored from an old copy shows old content under versions that grow again. The state
//! therefore remembers up to which revision it knows everything, and compares each answer of the
//! store with what was known before the call.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use alderhaven_core::config_object::{ObjectKey, StoredObject};
use alderhaven_core::ids::StoreVersion;
use alderhaven_policy::config_registry::{AcceptOutcome, ConfigRegistry};
use serde::Serialize;

use crate::object_store::ObjectList;

/// A `ConfigState` holds the registry and the revision up to which it is complete.
#[derive(Debug, Default)]
pub struct ConfigState {
    registry: ConfigRegistry,
    complete_revision: Option<StoreVersion>,
    regression: Option<StoreRegression>,
}

/// A `StoreRegression` says how the store's content went back behind what the node knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "sign", rename_all = "snake_case")]
pub enum StoreRegression {
    /// The store's revision is below one that was known before the call.
    Revision {
        /// The revision that was known.
        known: StoreVersion,
        /// The revision that the store answered with.
        found: StoreVersion,
    },
    /// The store holds an older or another content of an object than is known.
    Object {
        /// The object.
        key: String,
        /// The version that is known.
        known: StoreVersion,
        /// The version that the store holds, none where it has no such object.
        found: Option<StoreVersion>,
    },
}

impl ConfigState {
    /// Gets the highest revision heard of, which an answer to a later call may not fall below.
    #[must_use]
    pub fn min_revision(&self) -> StoreVersion {
        self.complete_revision
            .unwrap_or_default()
            .max(self.registry.highest_version())
    }

    /// Gets the revision up to which every change is known, none before the first list.
    #[must_use]
    pub const fn complete_revision(&self) -> Option<StoreVersion> {
        self.complete_revision
    }

    /// Gets how the store went backwards; it stays until the store has caught up.
    #[must_use]
    pub const fn regression(&self) -> Option<&StoreRegression> {
        self.regression.as_ref()
    }

    /// Gets the registry.
    #[must_use]
    pub const fn registry(&self) -> &ConfigRegistry {
        &self.registry
    }

    /// Takes a whole list of the store; `floor` is [`Self::floor`] from before the call.
    ///
    /// Returns the keys that changed.
    ///
    /// # Errors
    /// How the store went backwards; nothing is taken then.
    pub fn apply_list(
        &mut self,
        list: ObjectList,
        min_revision: StoreVersion,
    ) -> Result<Vec<ObjectKey>, StoreRegression> {
        if let Some(regression) = self.find_regression(&list, min_revision) {
            self.regression = Some(regression.clone());
            return Err(regression);
        }
        self.regression = None;
        let revision = list.revision;
        let removed = self.deletion_tombstones(&list);
        let changed = self.accept_all(list.objects.into_iter().chain(removed));
        self.complete_revision = Some(revision);
        Ok(changed)
    }

    /// Takes the changes of a watch; `floor` is [`Self::floor`] from before the call.
    ///
    /// Returns the keys that changed.
    ///
    /// # Errors
    /// How the store went backwards; nothing is taken then.
    pub fn apply_changes(
        &mut self,
        changes: ObjectList,
        min_revision: StoreVersion,
    ) -> Result<Vec<ObjectKey>, StoreRegression> {
        if changes.revision < min_revision {
            let regression = StoreRegression::Revision {
                known: min_revision,
                found: changes.revision,
            };
            self.regression = Some(regression.clone());
            return Err(regression);
        }
        let changed = self.accept_all(changes.objects);
        self.complete_revision = self.complete_revision.max(Some(changes.revision));
        Ok(changed)
    }

    /// Takes objects that a peer knows and returns the keys that changed.
    ///
    /// Up to the complete revision the node knows every object that is not deleted, so a peer's
    /// object of that age is either known or was deleted meanwhile; it is left out.
    pub fn accept_from_peer(&mut self, objects: Vec<StoredObject>) -> Vec<ObjectKey> {
        let complete_at = self.complete_revision;
        let newer = objects
            .into_iter()
            .filter(|object| Some(object.version) > complete_at);
        self.accept_all(newer)
    }

    fn accept_all(&mut self, objects: impl IntoIterator<Item = StoredObject>) -> Vec<ObjectKey> {
        let mut changed = Vec::new();
        for object in objects {
            let key = object.key.clone();
            match self.registry.accept(object) {
                AcceptOutcome::Known => {}
                AcceptOutcome::InForce | AcceptOutcome::Rejected(_) => changed.push(key),
            }
        }
        changed
    }

    fn find_regression(
        &self,
        list: &ObjectList,
        min_revision: StoreVersion,
    ) -> Option<StoreRegression> {
        if list.revision < min_revision {
            return Some(StoreRegression::Revision {
                known: min_revision,
                found: list.revision,
            });
        }
        let listed: BTreeMap<&ObjectKey, &StoredObject> = list
            .objects
            .iter()
            .map(|object| (&object.key, object))
            .collect();
        self.registry
            .objects()
            .filter(|known| known.version <= list.revision)
            .find(|known| self.is_regressed(known, listed.get(&known.key).copied()))
            .map(|known| StoreRegression::Object {
                key: known.key.to_string(),
                known: known.version,
                found: listed.get(&known.key).map(|object| object.version),
            })
    }

    /// Returns true where the store holds less of an object than is known.
    ///
    /// An absent object was deleted, unless the store has gone backwards before: then it may as
    /// well have been lost, and only an operator who publishes it again can tell.
    fn is_regressed(&self, known: &StoredObject, listed: Option<&StoredObject>) -> bool {
        match listed {
            Some(listed) => {
                listed.version < known.version
                    || (listed.version == known.version && listed.write_id != known.write_id)
            }
            None => self.regression.is_some() && known.body.is_some(),
        }
    }

    /// Gets tombstones for the known objects that a list shows to be deleted.
    ///
    /// Their version is the list's: whatever was written up to then is gone.
    fn deletion_tombstones(&self, list: &ObjectList) -> Vec<StoredObject> {
        let listed: BTreeSet<&ObjectKey> = list.objects.iter().map(|object| &object.key).collect();
        self.registry
            .objects()
            .filter(|known| known.body.is_some())
            .filter(|known| known.version <= list.revision && !listed.contains(&known.key))
            .map(|known| StoredObject {
                key: known.key.clone(),
                version: list.revision,
                write_id: String::new(),
                body: None,
            })
            .collect()
    }
}

impl fmt::Display for StoreRegression {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Revision { known, found } => {
                write!(
                    formatter,
                    "revision {found} is below the known revision {known}"
                )
            }
            Self::Object {
                key,
                known,
                found: Some(found),
            } => write!(
                formatter,
                "{key} has version {found}, and version {known} is known"
            ),
            Self::Object {
                key,
                known,
                found: None,
            } => write!(
                formatter,
                "{key} is absent, and its version {known} is known"
            ),
        }
    }
}
