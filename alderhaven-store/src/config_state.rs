//! Known state of the configuration, and the rules for accepting updates from the store and peers.
//!
//! Keeping the highest version of each object is not enough in two cases. Lists omit deleted objects,
//! so a node without the tombstone could accept a deleted object from a lagging peer. A store restored
//! from a backup serves old content under revisions that grow again. The state therefore tracks the
//! revision up to which it is complete, and compares each result of the store with what was known
//! before the call. A restored store that tells so by a new era is followed from there; what it lost
//! is carried over.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use alderhaven_core::config_object::{ObjectKey, StoredObject};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_policy::config_registry::{AcceptOutcome, ConfigRegistry};
use alderhaven_policy::restored_store;
use alderhaven_policy::restored_store::AbsentObject;
use serde::Serialize;

use crate::object_store::ObjectList;

/// Registry of configuration objects with the revision up to which it is complete.
#[derive(Debug, Default)]
pub struct ConfigState {
    registry: ConfigRegistry,
    complete_revision: Option<StoreVersion>,
    regression: Option<StoreRegression>,
    /// Carried objects that the latest list lacks, or that a peer sent since.
    lost_keys: BTreeSet<ObjectKey>,
    /// Whether the writers of lost objects have had their time to repeat their writes.
    is_grace_over: bool,
}

/// Evidence that the store's content is older than what the node knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "sign", rename_all = "snake_case")]
pub enum StoreRegression {
    /// The store's revision is below a revision that was known before the call.
    Revision {
        /// The revision known before the call.
        known: StoreVersion,
        /// The revision in the store's result.
        found: StoreVersion,
    },
    /// The store holds an older version of a known object, other content for its version, or no such
    /// object.
    Object {
        /// The object's key, written `kind/name`.
        key: String,
        /// The known version of the object.
        known: StoreVersion,
        /// The version in the store, or `None` if the store has no such object.
        found: Option<StoreVersion>,
    },
}

impl ConfigState {
    /// Returns the highest known revision. Results of calls made from now on must not be below it.
    #[must_use]
    pub fn min_revision(&self) -> StoreVersion {
        self.complete_revision
            .unwrap_or_default()
            .max(self.registry.highest_version())
    }

    /// Returns the revision up to which every change is known, or `None` before the first list.
    #[must_use]
    pub const fn complete_revision(&self) -> Option<StoreVersion> {
        self.complete_revision
    }

    /// Returns the last detected regression, until a list shows that the store has caught up.
    #[must_use]
    pub const fn regression(&self) -> Option<&StoreRegression> {
        self.regression.as_ref()
    }

    /// Returns true if objects are in force that the store lacks and that were carried over into its
    /// era. Only a list after their writers have had time to repeat the writes can remove them.
    #[must_use]
    pub fn has_lost_objects(&self) -> bool {
        let objects = self.lost_keys.iter();
        let mut objects = objects.filter_map(|key| self.registry.object(key));
        objects.any(|object| object.version.is_carried() && object.body.is_some())
    }

    /// Sets whether the next list may remove objects that were carried over.
    pub const fn set_grace_over(&mut self, is_over: bool) {
        self.is_grace_over = is_over;
    }

    /// Returns the registry of all known objects.
    #[must_use]
    pub const fn registry(&self) -> &ConfigRegistry {
        &self.registry
    }

    /// Applies a complete list of the store and returns the keys that changed.
    ///
    /// `min_revision` is the value of [`Self::min_revision`] before the call to the store.
    ///
    /// # Errors
    /// The regression, if the list is older than the known state. Nothing is applied then.
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
        let absent = self.settle_absent(&list);
        let listed = list.objects.iter().map(|object| &object.key);
        for key in listed {
            self.lost_keys.remove(key);
        }
        let carried = absent.iter().filter(|object| object.version.is_carried());
        self.lost_keys
            .extend(carried.map(|object| object.key.clone()));
        let changed = self.accept_all(list.objects.into_iter().chain(absent));
        self.complete_revision = Some(revision);
        Ok(changed)
    }

    /// Applies the changes of a watch and returns the keys that changed.
    ///
    /// `min_revision` is the value of [`Self::min_revision`] before the call to the store.
    ///
    /// # Errors
    /// The regression, if the revision is below `min_revision`. Nothing is applied then.
    pub fn apply_changes(
        &mut self,
        update: ObjectList,
        min_revision: StoreVersion,
    ) -> Result<Vec<ObjectKey>, StoreRegression> {
        if update.revision < min_revision {
            let regression = StoreRegression::Revision {
                known: min_revision,
                found: update.revision,
            };
            self.regression = Some(regression.clone());
            return Err(regression);
        }
        let changed = self.accept_all(update.objects);
        self.complete_revision = self.complete_revision.max(Some(update.revision));
        Ok(changed)
    }

    /// Applies objects from a peer and returns the keys that changed.
    ///
    /// Objects up to the complete revision are ignored: they are either known or have been deleted.
    pub fn accept_from_peer(&mut self, objects: Vec<StoredObject>) -> Vec<ObjectKey> {
        let complete_revision = self.complete_revision;
        let newer = objects.into_iter().filter(|object| {
            let is_newer = Some(object.version) > complete_revision;
            // The store itself lacks what a peer of the same era carried over.
            let era = complete_revision.map(|revision| revision.era);
            is_newer || (object.version.is_carried() && Some(object.version.era) == era)
        });
        let newer: Vec<StoredObject> = newer.collect();
        let carried = newer.iter().filter(|object| object.version.is_carried());
        self.lost_keys
            .extend(carried.map(|object| object.key.clone()));
        self.accept_all(newer)
    }

    fn accept_all(&mut self, objects: impl IntoIterator<Item = StoredObject>) -> Vec<ObjectKey> {
        let mut changed = Vec::new();
        for object in objects {
            let key = object.key.clone();
            match self.registry.accept(object) {
                AcceptOutcome::Known => {}
                AcceptOutcome::InForce
                | AcceptOutcome::Rejected(_)
                | AcceptOutcome::CarriedOver => changed.push(key),
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

    /// Returns true if the store's copy of an object is older than the known one.
    ///
    /// An object absent from a list was deleted. While a regression is recorded, it may have been lost
    /// instead, so it counts as a regression until an operator publishes the object again.
    fn is_regressed(&self, known: &StoredObject, listed: Option<&StoredObject>) -> bool {
        match listed {
            _ if known.version.is_carried() => false,
            Some(listed) => {
                listed.version < known.version
                    || (listed.version == known.version && listed.write_id != known.write_id)
            }
            None => self.regression.is_some() && known.body.is_some(),
        }
    }

    /// Returns tombstones for the known objects that a list lacks because they were deleted, and
    /// carries over those that the store lost.
    ///
    /// Tombstones carry the list's revision, because every earlier write of the object has been
    /// deleted.
    fn settle_absent(&self, list: &ObjectList) -> Vec<StoredObject> {
        let listed: BTreeSet<&ObjectKey> = list.objects.iter().map(|object| &object.key).collect();
        let known = self.registry.objects();
        known
            .filter(|known| known.body.is_some())
            .filter(|known| known.version.stored() <= list.revision)
            .filter(|known| !listed.contains(&known.key))
            .filter_map(|known| self.settle_absent_object(known, list.revision))
            .collect()
    }

    fn settle_absent_object(
        &self,
        known: &StoredObject,
        revision: StoreVersion,
    ) -> Option<StoredObject> {
        match restored_store::decide_absent(known.version, revision, self.is_grace_over) {
            AbsentObject::Remove(version) => Some(StoredObject {
                key: known.key.clone(),
                version,
                write_id: String::new(),
                body: None,
            }),
            AbsentObject::CarryOver(version) => Some(StoredObject {
                version,
                ..known.clone()
            }),
            AbsentObject::Keep => None,
        }
    }
}

impl fmt::Display for StoreRegression {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Revision { known, found } => {
                write!(
                    formatter,
                    "the store's revision {found} is below the known revision {known}"
                )
            }
            Self::Object {
                key,
                known,
                found: Some(found),
            } => write!(
                formatter,
                "the store's {key} at version {found} contradicts the known version {known}"
            ),
            Self::Object {
                key,
                known,
                found: None,
            } => write!(
                formatter,
                "the store lacks {key}, which is known at version {known}"
            ),
        }
    }
}
