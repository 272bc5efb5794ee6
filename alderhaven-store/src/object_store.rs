//! Interface to the platform's object API, with the types and headers of its HTTP calls.

use std::fmt;
use std::future::Future;

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::StoreEra;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use http::HeaderName;
use serde::{Deserialize, Serialize};

/// Request header with the version that the object must have, or 0 if there must be no object or only
/// a tombstone.
pub const IF_VERSION_HEADER: &str = "if-version";
/// Request header with the unique id of the write, chosen by the writer.
pub const WRITE_ID_HEADER: &str = "write-id";
/// Response header of a 429 with the milliseconds to wait before the next call.
pub const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";
/// Response header of every call with the store's era, which rises each time that the store comes back
/// from an older copy of its objects. A store without the header is in its first era.
pub const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");
/// Maximum size of an object's body in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Result of a call to the platform.
pub type StoreResult<T> = Result<T, StoreError>;

/// Objects as of one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    /// The store's revision at which the list was taken.
    pub revision: StoreVersion,
    /// The objects. The result of a watch includes tombstones; a list doesn't.
    pub objects: Vec<StoredObject>,
}

/// Write or deletion that takes effect only if the object has the expected version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConditionalWrite {
    /// The key of the object to write.
    pub key: ObjectKey,
    /// The version that the object must have, or 0 if there must be no object or only a tombstone.
    pub expected: StoreVersion,
    /// The unique id by which the writer recognizes its own write.
    pub write_id: String,
    /// The new JSON text, or `None` to delete the object.
    pub body: Option<String>,
}

/// Result of a conditional write that the store has decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and gave the object this version.
    Written(StoreVersion),
    /// The object has another version and was not written. Contains the current object, if any.
    Conflict(Option<StoredObject>),
}

/// Result of one watch call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The changes in the order of their versions; empty if there were none in time.
    Changes(ObjectList),
    /// The store can't tell the changes since the given revision, so the caller must list again. Its
    /// history is shorter, or it came back from an older copy.
    Compacted,
}

impl ObjectList {
    /// Moves a list that may be seconds old to the era before its own, unless that is the first.
    ///
    /// It may be of before the store came back. Its revisions then are above those of newer writes.
    #[must_use]
    pub fn of_previous_era(self) -> Self {
        let StoreEra(era) = self.revision.era;
        self.in_era(StoreEra(era.saturating_sub(1)))
    }

    /// Sets the era of the revision and of all objects.
    #[must_use]
    pub fn in_era(mut self, era: StoreEra) -> Self {
        self.revision = self.revision.in_era(era);
        for object in &mut self.objects {
            object.version = object.version.in_era(era);
        }
        self
    }
}

/// Returns what a read of an absent object returns in an era.
#[must_use]
pub fn absent_object(key: &ObjectKey, era: StoreEra) -> Option<StoredObject> {
    let is_era_told = era > StoreEra::default();
    is_era_told.then(|| StoredObject {
        key: key.clone(),
        version: StoreVersion::default().in_era(era),
        write_id: String::new(),
        body: None,
    })
}

impl ConditionalWrite {
    /// Checks that the store made the write in the era of the expected version.
    ///
    /// # Errors
    /// `Unknown` in another era: there the expected revision may belong to other content, which the
    /// write then replaced unseen.
    pub fn check_era(&self, era: StoreEra) -> StoreResult<()> {
        let expects_object = self.expected.revision > 0;
        if expects_object && self.expected.era != era {
            return Err(StoreError::unknown(format!(
                "the write expects a version of era {}, and the store is in era {era}",
                self.expected.era
            )));
        }
        Ok(())
    }
}

impl WatchOutcome {
    /// Returns the outcome of a watch from `after`. Changes of another era say nothing about the
    /// objects up to their revision.
    #[must_use]
    pub fn of_changes(after: StoreVersion, changes: ObjectList) -> Self {
        if changes.revision.era == after.era {
            Self::Changes(changes)
        } else {
            Self::Compacted
        }
    }
}

/// Failed call to the platform, classified by whether it may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect: it was not sent, or the API refused it.
    NotDone {
        /// A description of the cause.
        reason: String,
        /// How long to wait before the next call, if known.
        retry_after: Option<TimeSpan>,
    },
    /// The call was sent and may have taken effect, but has no usable response.
    Unknown {
        /// A description of the cause.
        reason: String,
    },
}

impl StoreError {
    /// Creates an error for a call that had no effect.
    pub fn not_done(reason: impl fmt::Display) -> Self {
        Self::NotDone {
            reason: reason.to_string(),
            retry_after: None,
        }
    }

    /// Creates an error for a call that may have taken effect.
    pub fn unknown(reason: impl fmt::Display) -> Self {
        Self::Unknown {
            reason: reason.to_string(),
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotDone { reason, .. } => {
                write!(formatter, "store call had no effect: {reason}")
            }
            Self::Unknown { reason } => {
                write!(formatter, "store call may have taken effect: {reason}")
            }
        }
    }
}

impl std::error::Error for StoreError {}

/// Access to the platform's object API.
///
/// The API has these calls over HTTP/1.1; `kinds` is a comma-separated list:
///
/// | Call | Response |
/// |---|---|
/// | `GET /objects?kinds=K` | 200 [`ObjectList`] |
/// | `GET /objects/{kind}/{name}` | 200 [`StoredObject`], 404 |
/// | `PUT /objects/{kind}/{name}`, `if-version`, `write-id`, body | 200 with the written [`StoredObject`], or 409 with the current one or `null` |
/// | `DELETE /objects/{kind}/{name}`, `if-version`, `write-id` | like `PUT`; leaves a tombstone |
/// | `GET /watch?kinds=K&after=V&wait_ms=N` | 200 [`ObjectList`] of the changes after V, empty after N ms without any; 410 if V is too old |
///
/// 429 (with `retry-after-ms`) means that the call exceeded the rate limit and had no effect, 503 that
/// the API is unavailable and the call had no effect. All responses have the header `store-era`. A call without a response may have taken effect.
pub trait ObjectStore: Send + Sync + 'static {
    /// Lists all objects of the given kinds.
    fn list(&self, kinds: &[ObjectKind]) -> impl Future<Output = StoreResult<ObjectList>> + Send;

    /// Lists all objects of the given kinds from a replica that may be seconds old, if the store has a
    /// cheaper one. A watch from the list's revision returns the missing changes.
    fn list_stale(
        &self,
        kinds: &[ObjectKind],
    ) -> impl Future<Output = StoreResult<ObjectList>> + Send {
        self.list(kinds)
    }

    /// Reads one object, or `None` if the store has no such object.
    ///
    /// In later eras than the first, an absent object is returned as deleted, at revision 0, so that
    /// the caller learns the era.
    fn get(
        &self,
        key: &ObjectKey,
    ) -> impl Future<Output = StoreResult<Option<StoredObject>>> + Send;

    /// Writes or deletes an object if it has the expected version.
    fn write(
        &self,
        write: ConditionalWrite,
    ) -> impl Future<Output = StoreResult<WriteOutcome>> + Send;

    /// Waits for at most `wait` until an object of the given kinds changes after revision `after`.
    fn watch(
        &self,
        kinds: &[ObjectKind],
        after: StoreVersion,
        wait: TimeSpan,
    ) -> impl Future<Output = StoreResult<WatchOutcome>> + Send;
}
