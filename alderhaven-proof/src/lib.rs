//! The harness of the end-to-end proofs: real processes on loopback, and faults by signal.
//!
//! A proof starts the binaries, waits on conditions that it polls, ends or freezes a process by the
//! id of the child that it started, and judges what callers received. All children end with it.
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
