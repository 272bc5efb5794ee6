//! Shared types of alderhaven: ids, quantities, templates, teams, manifests, coverage and outcomes.
//!
//! All other crates depend on this one. Its only I/O is reading settings files, printing the result
//! of a settings check, and writing the log.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod boot_clock;
pub mod carry_state;
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
pub mod publication_id;
pub mod quantities;
pub mod settings;
pub mod startup;
pub mod store_version;
pub mod team;
pub mod template;
pub mod time;
pub mod token_hash;
pub mod value_check;
pub mod wall_clock;
