//! Harness of the end-to-end tests: starts the binaries on loopback, injects faults by signals to
//! child processes, polls conditions and sends queries as callers do. All child processes end with
//! the test.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod caller;
pub mod child_process;
pub mod cluster;
pub mod cluster_changes;
pub mod cluster_options;
pub mod condition;
pub mod operator_tool;
pub mod operator_view;
pub mod platform_client;
pub mod scratch_directory;
