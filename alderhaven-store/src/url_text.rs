//! Encoding of names of other writers in paths and queries.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC};

use crate::object_store::{StoreError, StoreResult};

/// All bytes except those that mean themselves anywhere in a URL. A blank becomes `%20` and `+` becomes
/// `%2B`, which stores that read queries as forms decode alike.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Encodes a name as a value in a query.
#[must_use]
pub fn encode_query_value(name: &[u8]) -> String {
    percent_encoding::percent_encode(name, RESERVED).to_string()
}

/// Encodes the name of an object as one segment of a path.
///
/// # Errors
/// `NotDone` if no segment names the object: an empty segment names its parent, and `.` and `..` may be
/// resolved on the way, even if they are encoded.
pub fn encode_path_segment(name: &str) -> StoreResult<String> {
    match name {
        "" | "." | ".." => Err(StoreError::not_done(format!(
            "`{name}` is not a valid object name"
        ))),
        _ => Ok(encode_query_value(name.as_bytes())),
    }
}
