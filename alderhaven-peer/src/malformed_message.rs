//! Error of a message that can't be decoded.

use std::fmt;

/// Reason for which a message from another process was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MalformedMessage {
    /// The bytes can't be decoded; holds the decoder's error.
    Undecodable(String),
    /// The message has this unsupported protocol version.
    UnsupportedProtocol(u32),
    /// The field of this name is missing or out of range.
    InvalidField(&'static str),
}

impl fmt::Display for MalformedMessage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Undecodable(reason) => write!(formatter, "the message is undecodable: {reason}"),
            Self::UnsupportedProtocol(version) => {
                write!(formatter, "protocol version {version} is not supported")
            }
            Self::InvalidField(field) => write!(formatter, "field `{field}` is missing or invalid"),
        }
    }
}

impl std::error::Error for MalformedMessage {}
