//! The entry process: it serves callers, sends queries to shards through relays, and merges the
//! replies.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission_controller;
pub mod admission_permit;
pub mod answer;
pub mod applied_config;
pub mod caller_intake;
pub mod caller_server;
pub mod claim_ledger;
pub mod claim_metrics;
pub mod claim_peers;
pub mod claimed_runner;
pub mod entry_directory;
pub mod group_follower;
pub mod held_answers;
pub mod link_monitor;
pub mod link_options;
pub mod metrics;
pub mod node;
pub mod query_plan;
pub mod query_runner;
pub mod relay_link;
pub mod relay_routes;
pub mod replica_selector;
pub mod request_record;
pub mod running_query;
pub mod settings;
pub mod template_runs;
