//! The write id of a publication, which identifies its writer and the version that it replaced.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::errors::{Error, Result};
use crate::ids::OperatorName;
use crate::store_version::StoreVersion;

/// Identifies one publication of an object.
///
/// The text form `operator/uuid/base` is the write id in the store. The base links an object's
/// publications, so that they can be followed backwards through its history.
#[derive(Clone, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PublicationId {
    /// The operator who published.
    pub operator: OperatorName,
    /// A `UUIDv7`, which contains the time of the publication.
    pub id: Uuid,
    /// The version that the publication replaces, 0 for a new object.
    pub base: StoreVersion,
}

impl PublicationId {
    /// Gets the time of the publication in seconds since the Unix epoch; `None` if the UUID has no
    /// timestamp.
    #[must_use]
    pub fn unix_seconds(&self) -> Option<u64> {
        self.id.get_timestamp().map(|time| time.to_unix().0)
    }

    /// Returns `true` if this publication was made before another one, by the clocks of their
    /// operators' hosts.
    #[must_use]
    pub fn is_earlier_than(&self, other: &Self) -> bool {
        // The text order of `UUIDv7` is the order of the times in them.
        self.id < other.id
    }
}

impl fmt::Display for PublicationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}", self.operator, self.id, self.base)
    }
}

impl FromStr for PublicationId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let parse_error = || Error::parse("publication id", text, "operator/uuid/base");
        let mut parts = text.split('/');
        let (Some(operator), Some(id), Some(base), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(parse_error());
        };
        Ok(Self {
            operator: operator.parse()?,
            id: id.parse().map_err(|_| parse_error())?,
            base: base.parse()?,
        })
    }
}

impl TryFrom<String> for PublicationId {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<PublicationId> for String {
    fn from(id: PublicationId) -> Self {
        id.to_string()
    }
}
