//! The error type of the crate, with a small constructor for each case.

use std::fmt;

/// A `Result` whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An `Error` says which value was refused and what is allowed in its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// A text could not be read as the named kind of value.
    Parse {
        /// The kind of value that was expected.
        kind: &'static str,
        /// The text as it was given.
        text: String,
        /// What is allowed.
        allowed: String,
    },
    /// A field holds a value outside of its bounds.
    Invalid {
        /// The field's path, for example `shards.by_key_hash.parameter`.
        field: String,
        /// What is wrong and what is allowed.
        reason: String,
    },
    /// A file could not be read.
    File {
        /// The file's path as it was given.
        path: String,
        /// The cause given by the operating system or the parser.
        reason: String,
    },
}

impl Error {
    /// Returns an error for a text that is not a value of `kind`.
    pub fn parse(kind: &'static str, text: impl Into<String>, allowed: impl Into<String>) -> Self {
        Self::Parse {
            kind,
            text: text.into(),
            allowed: allowed.into(),
        }
    }

    /// Returns an error for a field whose value is out of bounds.
    pub fn invalid(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self::Invalid {
            field: field.into(),
            reason: reason.into(),
        }
    }

    /// Returns an error for a file that can't be read or parsed.
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
