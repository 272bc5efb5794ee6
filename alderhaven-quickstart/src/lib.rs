//! The alderhaven quickstart.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
