//! Parsing of answers whose entries come from several writers, any of which may malform its own.

use alderhaven_core::logging;
use log::Level;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// The entries of an answer that can be read.
#[derive(Debug)]
pub struct ReadableEntries<T> {
    /// The entries.
    pub entries: Vec<T>,
    /// The number of entries that can't be read.
    pub skipped: usize,
}

#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum EntriesEvent {
    /// Entries of an answer were skipped; the others are used.
    StoreEntriesUnreadable { entries: usize },
}

impl<T: DeserializeOwned> ReadableEntries<T> {
    /// Parses each entry on its own.
    #[must_use]
    pub fn parse(texts: &[Box<RawValue>]) -> Self {
        let parsed = texts.iter().map(|text| serde_json::from_str(text.get()));
        let entries: Vec<T> = parsed.flatten().collect();
        Self {
            skipped: texts.len() - entries.len(),
            entries,
        }
    }
}

impl<T> ReadableEntries<T> {
    /// Returns the entries, and logs how many were skipped.
    #[must_use]
    pub fn into_entries(self) -> Vec<T> {
        if self.skipped > 0 {
            let event = EntriesEvent::StoreEntriesUnreadable {
                entries: self.skipped,
            };
            logging::emit(Level::Warn, &event);
        }
        self.entries
    }
}
