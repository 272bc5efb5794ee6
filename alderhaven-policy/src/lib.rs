//! The decisions of alderhaven, without network, clock or async: time and randomness are passed in.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config_registry;
pub mod drain;
mod drain_lifecycle;
pub mod entry_answer;
pub mod exchange;
pub mod hashing;
pub mod membership;
pub mod subset;
