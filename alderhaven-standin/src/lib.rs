//! The alderhaven standin.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
