//! Newtypes for names and numbers that identify teams, services, targets, nodes and versions.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result};

/// Maximum length of a name in bytes, which is that of object names in the platform's API.
pub const MAX_NAME_LENGTH: usize = 63;

const NAME_RULE: &str =
    "1 to 63 of a-z, 0-9, `-`, `_`, `.` and `:`, beginning with a letter or digit";

const PLATFORM_NAME_RULE: &str =
    "a text without control characters that neither begins nor ends with white space";

fn is_valid_name(text: &str) -> bool {
    let first_is_alphanumeric = text
        .bytes()
        .next()
        .is_some_and(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit());
    first_is_alphanumeric
        && text.len() <= MAX_NAME_LENGTH
        && text.bytes().all(|byte| {
            byte.is_ascii_lowercase()
                || byte.is_ascii_digit()
                || matches!(byte, b'-' | b'_' | b'.' | b':')
        })
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                if is_valid_name(text) {
                    Ok(Self(text.to_owned()))
                } else {
                    Err(Error::parse($kind, text, NAME_RULE))
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $number:ty, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $number);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                text.parse()
                    .map(Self)
                    .map_err(|_| Error::parse($kind, text, "a whole number, 0 or more"))
            }
        }
    };
}

name_id!(
    /// Name of the team on whose behalf a query runs.
    TeamId,
    "team"
);
name_id!(
    /// Name of a query template, unique among templates.
    TemplateName,
    "template name"
);
name_id!(
    /// Name of a service whose shards are queried.
    ServiceName,
    "service name"
);
name_id!(
    /// Name of a target, a server that holds a replica of a shard.
    TargetId,
    "target"
);
name_id!(
    /// Name of a process of the system, such as an entry or a relay.
    NodeId,
    "node"
);
name_id!(
    /// Name of a host that nodes or targets run on.
    HostId,
    "host"
);
name_id!(
    /// Name of a person or job that publishes configuration.
    OperatorName,
    "operator"
);
name_id!(
    /// Name of a part of the platform that fails as a whole.
    FailureDomain,
    "failure domain"
);

number_id!(
    /// Number of a shard within its service.
    ShardId,
    u32,
    "shard"
);
number_id!(
    /// Number of a service's manifest; newer manifests have higher numbers.
    SnapshotId,
    u64,
    "snapshot"
);
number_id!(
    /// Version number of a shard's index.
    IndexVersion,
    u64,
    "index version"
);
number_id!(
    /// Number of times that the object store came back from an older copy of its objects.
    StoreEra,
    u64,
    "store era"
);
number_id!(
    /// Number that distinguishes a restarted process from its previous runs.
    IncarnationNumber,
    u64,
    "incarnation"
);

impl TeamId {
    /// Creates the id of a team whose name a platform gives. Unlike the names of published objects,
    /// it may be any text that a header carries unchanged.
    ///
    /// # Errors
    /// `Error::Parse` if the text is empty, begins or ends with white space, or has control
    /// characters.
    pub fn of_platform(text: &str) -> Result<Self> {
        let is_control = |byte: u8| byte.is_ascii_control() && byte != b'\t';
        if text.is_empty() || text.trim() != text || text.bytes().any(is_control) {
            return Err(Error::parse("team", text, PLATFORM_NAME_RULE));
        }
        Ok(Self(text.to_owned()))
    }
}

/// Unique id of one attempt at one target, also across restarts of a process.
///
/// The text form is two hexadecimal numbers, `origin-sequence`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct AttemptId {
    /// A random number that the process draws when it starts.
    pub origin: u64,
    /// A counter of the attempts since the process started.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}-{:x}", self.origin, self.sequence)
    }
}

impl FromStr for AttemptId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let parse_error =
            || Error::parse("attempt id", text, "two hexadecimal numbers joined by `-`");
        let (origin, sequence) = text.split_once('-').ok_or_else(parse_error)?;
        Ok(Self {
            origin: u64::from_str_radix(origin, 16).map_err(|_| parse_error())?,
            sequence: u64::from_str_radix(sequence, 16).map_err(|_| parse_error())?,
        })
    }
}
