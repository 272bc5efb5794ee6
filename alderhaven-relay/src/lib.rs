//! The alderhaven relay.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
