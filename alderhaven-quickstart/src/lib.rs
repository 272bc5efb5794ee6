//! The quickstart: the whole path in one process, on loopback, for newcomers.
//!
//! A process starts no other, so the stand-ins, the relays and the entries run here as tasks. They
//! talk to each other over TCP as the separate binaries do.
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
