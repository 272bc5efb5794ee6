//! The alderhaven ctl.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
