//! The decisions of alderhaven, without network, clock or async: time and randomness are passed in.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod admit_decision;
pub mod config_registry;
pub mod connection_health;
pub mod crash_strike;
pub mod fair_queue;
mod health_machine;
pub mod hedging;
pub mod latency_window;
pub mod leaving_targets;
pub mod load_meter;
pub mod policy_kind;
pub mod quarantine;
pub mod query_gather;
pub mod relay_queue;
pub mod replica_choice;
pub mod replica_table;
pub mod retry;
pub mod retry_budget;
pub mod row_merge;
pub mod running_mean;
pub mod service_capacity;
pub mod service_lane;
pub mod service_means;
pub mod share_meter;
pub mod store_budget;
pub mod target_gauge;
pub mod target_limit;
pub mod team_quota;
pub mod token_bucket;
