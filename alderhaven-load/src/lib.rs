//! The alderhaven load.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
