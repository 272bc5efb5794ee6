//! State of the platform's object API: revisions, conditional writes, tombstones and history.

use std::collections::BTreeMap;

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::StoreVersion;
use alderhaven_store::object_store::{ConditionalWrite, ObjectList, WatchOutcome, WriteOutcome};

/// How many revisions a watch may lag behind before it must list again.
pub const DEFAULT_HISTORY_REVISIONS: u64 = 10_000;

/// Versioned objects, without network, clock or faults.
#[derive(Clone, Debug)]
pub struct ObjectTable {
    objects: BTreeMap<ObjectKey, StoredObject>,
    revision: StoreVersion,
    history_revisions: u64,
}

impl Default for ObjectTable {
    fn default() -> Self {
        Self::new(DEFAULT_HISTORY_REVISIONS)
    }
}

impl ObjectTable {
    /// Creates an empty table whose watches may lag behind by `history_revisions`.
    #[must_use]
    pub const fn new(history_revisions: u64) -> Self {
        Self {
            objects: BTreeMap::new(),
            revision: StoreVersion(0),
            history_revisions,
        }
    }

    /// Returns the revision of the last write; 0 before the first.
    #[must_use]
    pub const fn revision(&self) -> StoreVersion {
        self.revision
    }

    /// Returns the objects of the given kinds, without tombstones.
    #[must_use]
    pub fn list(&self, kinds: &[ObjectKind]) -> ObjectList {
        let objects = self
            .of_kinds(kinds)
            .filter(|object| object.body.is_some())
            .cloned()
            .collect();
        ObjectList {
            revision: self.revision,
            objects,
        }
    }

    /// Returns an object or its tombstone; none if the key was never written.
    #[must_use]
    pub fn get(&self, key: &ObjectKey) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    /// Writes or deletes an object if its version is the expected one; 0 expects no object.
    pub fn write(&mut self, write: ConditionalWrite) -> WriteOutcome {
        let current = self.objects.get(&write.key);
        let is_expected = match current {
            None => write.expected == StoreVersion(0),
            Some(object) if object.body.is_none() => {
                write.expected == StoreVersion(0) || write.expected == object.version
            }
            Some(object) => write.expected == object.version,
        };
        if !is_expected {
            return WriteOutcome::Conflict(current.cloned());
        }
        self.revision.0 += 1;
        let object = StoredObject {
            key: write.key.clone(),
            version: self.revision,
            write_id: write.write_id,
            body: write.body,
        };
        self.objects.insert(write.key, object);
        WriteOutcome::Written(self.revision)
    }

    /// Returns the changes after a revision in the order of versions, tombstones included.
    ///
    /// The outcome is `Compacted` for a revision older than the history, and for one newer than the
    /// table's, as after a restore from a backup.
    #[must_use]
    pub fn changes(&self, kinds: &[ObjectKind], after: StoreVersion) -> WatchOutcome {
        let oldest = self.revision.0.saturating_sub(self.history_revisions);
        if after.0 < oldest || after > self.revision {
            return WatchOutcome::Compacted;
        }
        let mut objects: Vec<StoredObject> = self
            .of_kinds(kinds)
            .filter(|object| object.version > after)
            .cloned()
            .collect();
        objects.sort_by_key(|object| object.version);
        WatchOutcome::Changes(ObjectList {
            revision: self.revision,
            objects,
        })
    }

    fn of_kinds(&self, kinds: &[ObjectKind]) -> impl Iterator<Item = &StoredObject> {
        self.objects
            .values()
            .filter(|object| kinds.contains(&object.key.kind))
    }
}
