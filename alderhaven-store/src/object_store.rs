//! The edge towards the platform's object API.
//!
//! Over HTTP/1.1 the API has these calls; `kinds` is a list with commas:
//!
//! | Call | Answer |
//! |---|---|
//! | `GET /objects?kinds=K` | 200 [`ObjectList`] |
//! | `GET /objects/{kind}/{name}` | 200 [`StoredObject`], 404 |
//! | `PUT /objects/{kind}/{name}`, `if-version`, `write-id`, body | 200 and 409: [`StoredObject`]; 409 with `null` for none |
//! | `DELETE /objects/{kind}/{name}`, `if-version`, `write-id` | as `PUT`; leaves a tombstone |
//! | `GET /watch?kinds=K&after=V&wait_ms=N` | 200 [`ObjectList`] of what changed after V (empty when the wait ends), 410 where V is too old |
//!
//! 429 (with `retry-after-ms`) says that the call was above the rate and did nothing. 503 says that
//! the API is out of service and did nothing. A call without an answer may have taken effect.

use std::fmt;
use std::future::Future;

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::StoreVersion;
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// The request header with the version that the object must have, 0 for "must not exist".
pub const IF_VERSION_HEADER: &str = "if-version";
/// The request header with the writer's unique id of the write.
pub const WRITE_ID_HEADER: &str = "write-id";
/// The response header of a 429 with the milliseconds to wait.
pub const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";
/// The largest value that the platform holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A `Result` whose error is [`StoreError`].
pub type StoreResult<T> = Result<T, StoreError>;

/// An `ObjectList` is a set of objects as of one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    /// The store's revision.
    pub revision: StoreVersion,
    /// The objects, tombstones included in a watch.
    pub objects: Vec<StoredObject>,
}

/// A `ConditionalWrite` writes an object if it still has the expected version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConditionalWrite {
    /// The object.
    pub key: ObjectKey,
    /// The version that the object must have, 0 where it must not exist or be a tombstone.
    pub expected: StoreVersion,
    /// The unique id by which the writer knows its own write again.
    pub write_id: String,
    /// The new JSON text, none to delete the object.
    pub body: Option<String>,
}

/// A `WriteOutcome` is the answer to a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect with this version.
    Written(StoreVersion),
    /// The object had another version, and nothing was written.
    Conflict(Option<StoredObject>),
}

/// A `WatchOutcome` is the answer to one call of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// What changed, in the order of versions; empty where nothing did.
    Changes(ObjectList),
    /// The revision to resume from is too old: list again.
    Compacted,
}

/// A `StoreError` says why a call has no answer, and whether it may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The call did nothing: it was not sent, or the API refused it before it took effect.
    NotDone {
        /// What happened.
        reason: String,
        /// How long the API asks the caller to wait.
        retry_after: Option<TimeSpan>,
    },
    /// The call may have taken effect: it was sent and its answer is lost.
    Unknown {
        /// What happened.
        reason: String,
    },
}

impl StoreError {
    /// Returns an error for a call that did nothing.
    pub fn not_done(reason: impl fmt::Display) -> Self {
        Self::NotDone {
            reason: reason.to_string(),
            retry_after: None,
        }
    }

    /// Returns an error for a call that may have taken effect.
    pub fn unknown(reason: impl fmt::Display) -> Self {
        Self::Unknown {
            reason: reason.to_string(),
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotDone { reason, .. } => write!(formatter, "the store did nothing: {reason}"),
            Self::Unknown { reason } => {
                write!(formatter, "the store's answer is lost: {reason}")
            }
        }
    }
}

impl std::error::Error for StoreError {}

/// An `ObjectStore` is the platform's object API as the system uses it.
pub trait ObjectStore: Send + Sync + 'static {
    /// Lists all objects of the kinds.
    fn list(&self, kinds: &[ObjectKind]) -> impl Future<Output = StoreResult<ObjectList>> + Send;

    /// Lists all objects of the kinds from a copy that may be seconds old, where the store has one that
    /// costs it less. A watch from the list's revision brings what the copy lacks.
    fn list_stale(
        &self,
        kinds: &[ObjectKind],
    ) -> impl Future<Output = StoreResult<ObjectList>> + Send {
        self.list(kinds)
    }

    /// Gets one object; none where it was never written.
    fn get(
        &self,
        key: &ObjectKey,
    ) -> impl Future<Output = StoreResult<Option<StoredObject>>> + Send;

    /// Writes or deletes an object if it still has the expected version.
    fn write(
        &self,
        write: ConditionalWrite,
    ) -> impl Future<Output = StoreResult<WriteOutcome>> + Send;

    /// Waits until an object of the kinds changes after `after`, at most for `wait`.
    fn watch(
        &self,
        kinds: &[ObjectKind],
        after: StoreVersion,
        wait: TimeSpan,
    ) -> impl Future<Output = StoreResult<WatchOutcome>> + Send;
}
