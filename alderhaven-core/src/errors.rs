//! Error type for invalid text, field values and files.

use std::fmt;

/// Result with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Rejected value, together with what is allowed instead.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// A text could not be parsed as a value of `kind`.
    Parse {
        /// The expected kind of value, for example `team`.
        kind: &'static str,
        /// The rejected text.
        text: String,
        /// A description of the allowed texts.
        allowed: String,
    },
    /// A field has an invalid value.
    Invalid {
        /// The field's path, for example `shards.by_key_hash.parameter`.
        field: String,
        /// What is wrong with the value, and what is allowed.
        reason: String,
    },
    /// A file could not be read or parsed.
    File {
        /// The path that was given.
        path: String,
        /// The message of the operating system, the parser or the validation.
        reason: String,
    },
}

impl Error {
    /// Creates an error for a text that is not a valid `kind`.
    pub fn parse(kind: &'static str, text: impl Into<String>, allowed: impl Into<String>) -> Self {
        Self::Parse {
            kind,
            text: text.into(),
            allowed: allowed.into(),
        }
    }

    /// Creates an error for a field with an invalid value.
    pub fn invalid(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self::Invalid {
            field: field.into(),
            reason: reason.into(),
        }
    }

    /// Creates an error for a file that can't be read, parsed or accepted.
    pub fn file(path: impl Into<String>, reason: impl fmt::Display) -> Self {
        Self::File {
            path: path.into(),
            reason: reason.to_string(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Parse {
                kind,
                text,
                allowed,
            } => write!(formatter, "`{text}` is not a {kind}: allowed is {allowed}"),
            Self::Invalid { field, reason } => write!(formatter, "{field}: {reason}"),
            Self::File { path, reason } => write!(formatter, "{path}: {reason}"),
        }
    }
}

impl std::error::Error for Error {}
