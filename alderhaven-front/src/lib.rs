//! The front process: accepts callers' requests, sends them to targets and returns the answers.
//! Each host runs one.
//!
//! A deployment's protocol is implemented by a [`wire_dialect::WireDialect`]. Configuration and
//! targets come from an object store and from peers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod abandoned_status;
pub mod admission_permit;
pub mod attempt;
pub mod attempt_phase;
mod caller_check;
pub mod caller_connection;
pub mod caller_identity;
pub mod caller_limits;
pub mod caller_server;
pub mod caller_service;
pub mod catalog;
mod catalog_state;
pub mod catalog_view;
pub mod control_socket;
pub mod crash_reporter;
pub mod crash_tracker;
mod credit_check;
pub mod credit_group;
pub mod credit_keeper;
pub mod credit_limits;
pub mod credit_messages;
pub mod credit_metrics;
pub mod credit_permit;
pub mod credit_status;
pub mod directory_service;
pub mod evacuated_domain;
pub mod event_log;
pub mod front_answer;
pub mod front_context;
pub mod front_directory;
pub mod front_event;
pub mod front_intake;
pub mod front_listeners;
pub mod front_metrics;
pub mod front_node;
pub mod front_options;
pub mod front_status;
pub mod group_links;
pub mod group_plan;
pub mod group_server;
pub mod key_fault;
pub mod known_team;
pub mod lease_keeper;
pub mod lease_links;
pub mod lease_report;
pub mod query_admission;
pub mod query_call;
pub mod query_run;
mod request_refusal;
pub mod route_destination;
pub mod route_rule;
pub mod route_state;
pub mod routing_config;
mod run_record;
pub mod service_rule;
pub mod service_targets;
pub mod shard_reply;
pub mod shard_set_id;
pub mod shard_state;
mod stop_check;
pub mod store_availability;
pub mod store_follower;
mod suspect_check;
pub mod target_entry;
pub mod target_handle;
pub mod target_pool;
pub mod team_directory;
pub mod team_metrics;
pub mod trial_registry;
pub mod warmup_rule;
pub mod wire_dialect;
