//! The earlier contents of an object, stored in a separate history object.
//!
//! The platform's API keeps only the newest content. A publisher therefore records the current
//! content in the history before it replaces it. A history may contain a version that is still
//! current, but is never missing a version that a publisher has just replaced.

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::errors::{Error, Result};
use alderhaven_core::store_version::StoreVersion;
use serde::{Deserialize, Serialize};

/// The most earlier contents that are kept for one object.
pub const MAX_HISTORY_ENTRIES: usize = 16;
/// The largest JSON text of a history, in bytes, below the platform's value limit of 1 MB.
pub const MAX_HISTORY_BYTES: usize = 900 << 10;

/// The most recent earlier contents of one object.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectHistory {
    /// Sorted by version, oldest first.
    pub entries: Vec<HistoryEntry>,
}

/// One earlier content of an object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryEntry {
    /// The store version that the content had.
    pub version: StoreVersion,
    /// The id of the write that stored it, the text of a publication id if a publisher wrote it.
    pub write_id: String,
    /// The JSON text; `None` if the version was a deletion.
    pub body: Option<String>,
}

impl ObjectHistory {
    /// Gets the key under which the history of the object `key` is stored.
    #[must_use]
    pub fn history_key(key: &ObjectKey) -> ObjectKey {
        ObjectKey {
            kind: ObjectKind::History,
            name: format!("{}.{}", key.kind, key.name),
        }
    }

    /// Parses a stored history; an absent or deleted one is empty.
    ///
    /// # Errors
    /// `Error::Invalid` if the stored text is not a history.
    pub fn read(stored: Option<&StoredObject>) -> Result<Self> {
        let Some((object, body)) = stored.and_then(|stored| Some((stored, stored.body.as_ref()?)))
        else {
            return Ok(Self::default());
        };
        serde_json::from_str(body)
            .map_err(|error| Error::invalid(object.key.to_string(), error.to_string()))
    }

    /// Gets the content that the object had at `version`, if it is still kept.
    ///
    /// A history is stored without eras: it goes back with the store, so that each revision in it
    /// belongs to the content that it describes.
    #[must_use]
    pub fn entry_for_version(&self, version: StoreVersion) -> Option<&HistoryEntry> {
        let revision = version.revision;
        let mut entries = self.entries.iter();
        entries.find(|entry| entry.version.revision == revision)
    }

    /// Gets the content that the write `write_id` stored, if it is still kept.
    #[must_use]
    pub fn entry_for_write_id(&self, write_id: &str) -> Option<&HistoryEntry> {
        self.entries.iter().find(|entry| entry.write_id == write_id)
    }

    /// Adds a content unless its version is present, and drops the oldest ones beyond the limits.
    pub fn record(&mut self, object: &StoredObject) {
        if self.entry_for_version(object.version).is_some() {
            return;
        }
        self.entries.push(HistoryEntry {
            version: StoreVersion::of_revision(object.version.revision),
            write_id: object.write_id.clone(),
            body: object.body.clone(),
        });
        self.entries.sort_by_key(|entry| entry.version);
        while self.entries.len() > 1
            && (self.entries.len() > MAX_HISTORY_ENTRIES
                || self.to_json().len() > MAX_HISTORY_BYTES)
        {
            self.entries.remove(0);
        }
    }

    /// Serializes the history to the JSON text that is stored.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
