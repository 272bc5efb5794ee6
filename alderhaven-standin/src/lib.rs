//! Test doubles of the external systems: the platform's object API and host list, and targets.
//!
//! Tests, the quickstart and the load tool embed [`fake_store::FakeStore`],
//! [`platform_server::PlatformServer`] and [`target_fleet::TargetFleet`]; `alder-standin` runs them
//! as processes. Faults are injected by method calls or over HTTP.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod attempt_head;
pub mod crowd;
pub mod fake_store;
pub mod fleet_control;
pub mod fleet_services;
pub mod held_indexes;
pub mod held_request;
pub mod http_connection;
pub mod http_server;
pub mod object_set;
pub mod object_table;
pub mod platform_faults;
pub mod platform_server;
pub mod process_usage;
pub mod rate_limiter;
pub mod registration;
pub mod rows;
pub mod run_log;
pub mod service_layout;
pub mod service_time;
pub mod target_faults;
pub mod target_fleet;
pub mod target_lifecycle;
pub mod target_server;
pub mod target_spec;
pub mod target_state;
