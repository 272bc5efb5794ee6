//! The outcome of one publication.

use std::fmt;

use alderhaven_core::config_object::StoredObject;
use alderhaven_core::publication_id::PublicationId;
use alderhaven_core::store_version::StoreVersion;
use serde::Serialize;

/// The outcome of one publication as far as it is certain.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum PublishOutcome {
    /// The write took effect, and no later write is known.
    Published {
        /// The new version of the object.
        version: StoreVersion,
        /// The id that the write carries.
        id: PublicationId,
    },
    /// The write took effect, and a later one has replaced it.
    Superseded {
        /// The version that the publication created.
        version: StoreVersion,
        /// The id that the write carries.
        id: PublicationId,
        /// The object that replaced it, or a later one.
        by: StoredObject,
    },
    /// The store already holds the content; the object was not written.
    Unchanged {
        /// The version that has the content.
        version: StoreVersion,
    },
    /// The object changed after it was observed; this publication did not take effect.
    Conflict {
        /// The stored object; `None` if it no longer exists.
        current: Option<StoredObject>,
    },
    /// The publication failed; the object was not written.
    NotPublished {
        /// The last error.
        reason: String,
    },
    /// The write may have taken effect, or may still do so.
    Unknown {
        /// The id by which the write can be found later.
        id: PublicationId,
        /// The reason why the outcome could not be determined.
        reason: String,
    },
}

impl PublishOutcome {
    /// Gets the version that nodes should have in force; `None` if the content is not known to be
    /// stored.
    #[must_use]
    pub const fn version(&self) -> Option<StoreVersion> {
        match self {
            Self::Published { version, .. }
            | Self::Superseded { version, .. }
            | Self::Unchanged { version } => Some(*version),
            Self::Conflict { .. } | Self::NotPublished { .. } | Self::Unknown { .. } => None,
        }
    }
}

impl fmt::Display for PublishOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Published { version, .. } => write!(formatter, "published as version {version}"),
            Self::Superseded { version, by, .. } => write!(
                formatter,
                "published as version {version}, since replaced by {}",
                writer_text(by)
            ),
            Self::Unchanged { version } => write!(formatter, "unchanged at version {version}"),
            Self::Conflict {
                current: Some(current),
            } => write!(
                formatter,
                "NOT published: it was changed by {}",
                writer_text(current)
            ),
            Self::Conflict { current: None } => {
                formatter.write_str("NOT published: the object no longer exists")
            }
            Self::NotPublished { reason } => write!(formatter, "NOT published: {reason}"),
            Self::Unknown { id, reason } => write!(
                formatter,
                "UNKNOWN whether published as {id}: {reason}; check with `alderctl history`"
            ),
        }
    }
}

/// Describes the writer of an object: the operator, or the write id if no publisher wrote it.
#[must_use]
pub fn writer_text(object: &StoredObject) -> String {
    object.write_id.parse::<PublicationId>().map_or_else(
        |_| format!("write `{}` (version {})", object.write_id, object.version),
        |id| {
            format!(
                "{} (version {}, publication {})",
                id.operator, object.version, id.id
            )
        },
    )
}
