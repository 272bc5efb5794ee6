//! The earlier contents of one object, kept in an object of their own.
//!
//! The platform's API keeps the newest content only. A publisher therefore records what it is about
//! to replace before it replaces it: a history can name a version that is still the newest, but it
//! never lacks one that a publisher replaced.

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::errors::{Error, Result};
use alderhaven_core::ids::StoreVersion;
use serde::{Deserialize, Serialize};

/// The most earlier contents that are kept of an object.
pub const MAX_HISTORY_ENTRIES: usize = 16;
/// The most bytes of JSON of a history, below the platform's largest value of 1 MB.
pub const MAX_HISTORY_BYTES: usize = 900 << 10;

/// An `ObjectHistory` holds the latest earlier contents of one object, oldest first.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectHistory {
    /// The contents in the order of their versions.
    pub entries: Vec<HistoryEntry>,
}

/// A `HistoryEntry` is one content that an object had.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryEntry {
    /// The store version that the content had.
    pub version: StoreVersion,
    /// The write id under which it was written.
    pub write_id: String,
    /// The JSON text; none where the object was deleted.
    pub body: Option<String>,
}

impl ObjectHistory {
    /// Gets the key of the history of an object.
    #[must_use]
    pub fn history_key(key: &ObjectKey) -> ObjectKey {
        ObjectKey {
            kind: ObjectKind::History,
            name: format!("{}.{}", key.kind, key.name),
        }
    }

    /// Reads a history as it is stored; an object without one has an empty history.
    ///
    /// # Errors
    /// `Error::Invalid` where the stored text is not a history.
    pub fn read(stored: Option<&StoredObject>) -> Result<Self> {
        let Some((object, body)) = stored.and_then(|stored| Some((stored, stored.body.as_ref()?)))
        else {
            return Ok(Self::default());
        };
        serde_json::from_str(body)
            .map_err(|error| Error::invalid(object.key.to_string(), error.to_string()))
    }

    /// Gets the entry of a version.
    #[must_use]
    pub fn entry_for_version(&self, version: StoreVersion) -> Option<&HistoryEntry> {
        self.entries.iter().find(|entry| entry.version == version)
    }

    /// Gets the entry that was written under a write id.
    #[must_use]
    pub fn entry_for_write_id(&self, write_id: &str) -> Option<&HistoryEntry> {
        self.entries.iter().find(|entry| entry.write_id == write_id)
    }

    /// Adds a content, and drops the oldest ones that no longer fit.
    pub fn record(&mut self, object: &StoredObject) {
        if self.entry_for_version(object.version).is_some() {
            return;
        }
        self.entries.push(HistoryEntry {
            version: object.version,
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

    /// Gets the JSON text that is stored.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
