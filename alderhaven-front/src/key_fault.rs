//! Why a request has no valid key.

use serde::Serialize;

/// What is wrong with the key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyFault {
    /// The request has none.
    Missing,
    /// The request has several.
    Duplicated,
    /// The key is not in the form that the protocol requires.
    Malformed,
    /// The key has no characters.
    Empty,
    /// No team has the key.
    Unknown,
}
