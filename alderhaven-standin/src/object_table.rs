//! State of the platform's object API: revisions, conditional writes, tombstones and history.

use std::collections::BTreeMap;

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::StoreEra;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_store::object_store;
use alderhaven_store::object_store::{ConditionalWrite, ObjectList, WatchOutcome, WriteOutcome};

/// How many revisions a watch may lag behind before it must list again.
pub const DEFAULT_HISTORY_REVISIONS: u64 = 10_000;

/// Versioned objects, without network, clock or faults.
#[derive(Clone, Debug)]
pub struct ObjectTable {
    objects: BTreeMap<ObjectKey, StoredObject>,
    revision: StoreVersion,
    history_revisions: u64,
    /// How many times the store came back from an older copy. The versions of `objects` are without
    /// it, as in the store's interface.
    era: StoreEra,
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
            revision: StoreVersion::of_revision(0),
            history_revisions,
            era: StoreEra(0),
        }
    }

    /// Returns the revision of the last write; 0 before the first.
    #[must_use]
    pub const fn revision(&self) -> StoreVersion {
        self.revision
    }

    /// Returns the era, which results bear in their versions.
    #[must_use]
    pub const fn era(&self) -> StoreEra {
        self.era
    }

    /// Sets the era.
    #[must_use]
    pub fn in_era(self, era: StoreEra) -> Self {
        Self { era, ..self }
    }

    /// Returns the objects of the given kinds, without tombstones.
    #[must_use]
    pub fn list(&self, kinds: &[ObjectKind]) -> ObjectList {
        let objects = self
            .of_kinds(kinds)
            .filter(|object| object.body.is_some())
            .cloned()
            .collect();
        let list = ObjectList {
            revision: self.revision,
            objects,
        };
        list.in_era(self.era)
    }

    /// Returns an object or its tombstone; none if the key was never written.
    #[must_use]
    pub fn get(&self, key: &ObjectKey) -> Option<StoredObject> {
        self.objects.get(key).map(|object| self.to_result(object))
    }

    /// Returns what a client reads, which learns the era of an absent object too.
    #[must_use]
    pub fn read(&self, key: &ObjectKey) -> Option<StoredObject> {
        self.get(key)
            .or_else(|| object_store::absent_object(key, self.era))
    }

    /// Writes or deletes an object if its revision is the expected one; 0 expects no object.
    pub fn write(&mut self, write: ConditionalWrite) -> WriteOutcome {
        let current = self.objects.get(&write.key);
        let is_expected = match current {
            None => write.expected.revision == 0,
            Some(object) if object.body.is_none() => {
                write.expected.revision == 0 || write.expected.revision == object.version.revision
            }
            Some(object) => write.expected.revision == object.version.revision,
        };
        if !is_expected {
            return WriteOutcome::Conflict(self.read(&write.key));
        }
        self.revision.revision += 1;
        let object = StoredObject {
            key: write.key.clone(),
            version: self.revision,
            write_id: write.write_id,
            body: write.body,
        };
        self.objects.insert(write.key, object);
        WriteOutcome::Written(self.revision.in_era(self.era))
    }

    /// Returns the changes after a revision in the order of versions, tombstones included.
    ///
    /// The outcome is `Compacted` for a revision older than the history, and for one newer than the
    /// table's, as after a restore from a backup.
    #[must_use]
    pub fn changes(&self, kinds: &[ObjectKind], after: StoreVersion) -> WatchOutcome {
        let newest = self.revision.revision;
        let oldest = newest.saturating_sub(self.history_revisions);
        if after.revision < oldest || after.revision > newest {
            return WatchOutcome::Compacted;
        }
        let mut objects: Vec<StoredObject> = self
            .of_kinds(kinds)
            .filter(|object| object.version.revision > after.revision)
            .cloned()
            .collect();
        objects.sort_by_key(|object| object.version);
        let changes = ObjectList {
            revision: self.revision,
            objects,
        };
        WatchOutcome::of_changes(after, changes.in_era(self.era))
    }

    fn to_result(&self, object: &StoredObject) -> StoredObject {
        StoredObject {
            version: object.version.in_era(self.era),
            ..object.clone()
        }
    }

    fn of_kinds(&self, kinds: &[ObjectKind]) -> impl Iterator<Item = &StoredObject> {
        self.objects
            .values()
            .filter(|object| kinds.contains(&object.key.kind))
    }
}
