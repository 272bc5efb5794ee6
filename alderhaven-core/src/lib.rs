//! The vocabulary of alderhaven: ids, quantities, templates, teams, manifests, coverage and outcomes.
//!
//! Every other crate builds on this one. It does no I/O except for reading a settings file and
//! setting up the log.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod class;
pub mod config_object;
pub mod coverage;
pub mod errors;
pub mod fingerprint;
pub mod ids;
pub mod log_queue;
pub mod logging;
pub mod manifest;
pub mod outcome;
pub mod parameters;
pub mod process_clock;
pub mod quantities;
pub mod settings;
pub mod startup;
pub mod team;
pub mod template;
pub mod time;
pub mod value_check;
