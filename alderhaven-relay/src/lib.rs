//! Relay: keeps the connections to targets and runs the attempts of entries there.
//!
//! Each target has its own queue and its own concurrency limit.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod connection_probe;
pub mod dispatch_options;
pub mod dispatcher_table;
pub mod metrics;
pub mod node;
pub mod peer_server;
pub mod relay_attempt;
pub mod settings;
pub mod target_call;
pub mod target_connections;
pub mod target_dispatcher;
