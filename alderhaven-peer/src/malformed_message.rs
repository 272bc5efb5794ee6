//! The error of a message that can't be read.

use std::fmt;

/// A `MalformedMessage` says why a message from another process was dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MalformedMessage {
    /// The bytes are no such message.
    Undecodable(String),
    /// The message is of a protocol version that is not spoken here.
    UnsupportedProtocol(u32),
    /// A field is missing or out of bounds.
    InvalidField(&'static str),
}

impl fmt::Display for MalformedMessage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Undecodable(reason) => write!(formatter, "undecodable: {reason}"),
            Self::UnsupportedProtocol(version) => {
                write!(formatter, "of protocol version {version}")
            }
            Self::InvalidField(field) => write!(formatter, "`{field}` is missing or out of bounds"),
        }
    }
}

impl std::error::Error for MalformedMessage {}
