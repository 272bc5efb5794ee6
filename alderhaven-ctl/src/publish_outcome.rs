//! What became of one publication.

use std::fmt;

use alderhaven_core::config_object::StoredObject;
use alderhaven_core::ids::StoreVersion;
use serde::Serialize;

use crate::publication_id::PublicationId;

/// A `PublishOutcome` says what became of one publication, and no more than is known.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum PublishOutcome {
    /// The publication is the object's newest content.
    Published {
        /// The version.
        version: StoreVersion,
        /// The publication.
        id: PublicationId,
    },
    /// The publication took effect, and another one has replaced it since.
    Superseded {
        /// The version that the publication had.
        version: StoreVersion,
        /// The publication.
        id: PublicationId,
        /// The content that replaced it, or a later one.
        by: StoredObject,
    },
    /// The store holds the content already; nothing was written.
    Unchanged {
        /// The version that holds it.
        version: StoreVersion,
    },
    /// Another publication came first; nothing was written.
    Conflict {
        /// The content that the store holds instead of the one that was seen.
        current: Option<StoredObject>,
    },
    /// Nothing was written.
    NotPublished {
        /// Why.
        reason: String,
    },
    /// The publication may or may not have taken effect, or may still do so.
    Unknown {
        /// The publication, to look for later.
        id: PublicationId,
        /// Why.
        reason: String,
    },
}

impl PublishOutcome {
    /// Gets the version that nodes should have in force; none where nothing was published.
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
                formatter.write_str("NOT published: the object is gone")
            }
            Self::NotPublished { reason } => write!(formatter, "NOT published: {reason}"),
            Self::Unknown { id, reason } => write!(
                formatter,
                "UNKNOWN whether published as {id}: {reason}; look again with `alderctl history`"
            ),
        }
    }
}

/// Gets the words that name who wrote an object's content.
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
