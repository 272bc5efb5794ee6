//! The alderhaven entry.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
