//! Why a body could not be read.

use std::fmt;

use alderhaven_core::quantities::ByteSize;

/// Failure to read a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLarge,
    /// It ended early or is malformed.
    Incomplete,
    /// The memory for bodies is used up, or others needed what this one occupied.
    NoMemory {
        /// What had arrived of the body.
        received: ByteSize,
    },
}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => formatter.write_str("the body is too large"),
            Self::Incomplete => formatter.write_str("the body is incomplete"),
            Self::NoMemory { received } => write!(
                formatter,
                "the memory for bodies is used up after {received} of this one"
            ),
        }
    }
}

impl std::error::Error for BodyError {}
