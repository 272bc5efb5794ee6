//! Runs entries, relays and stand-ins of the platform and the targets as tasks of one process, and
//! sends sample queries through them.
//!
//! The parts communicate over TCP on loopback, as the separate binaries do.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod answer_oracle;
pub mod answer_text;
pub mod example_objects;
pub mod expected_rows;
pub mod local_system;
pub mod query_reply;
pub mod query_run;
pub mod run_totals;
pub mod sample_query;
pub mod sample_source;
