//! Soak test with fault injection: runs real front processes on loopback, injects faults while
//! callers send requests over persistent connections, and checks the recorded history against the
//! promises.
#![forbid(unsafe_code)]

pub mod caller_credential;
pub mod config_spread;
pub mod crash_caller;
pub mod directory_cache;
pub mod front_process;
pub mod history_index;
pub mod key_history;
pub mod link_proxy;
pub mod promises;
pub mod run_mode;
pub mod seed_cases;
pub mod shard_records;
pub mod soak_caller;
pub mod soak_fault;
pub mod soak_history;
pub mod soak_operator;
pub mod soak_options;
pub mod soak_plan;
pub mod soak_report;
pub mod soak_run;
pub mod soak_team;
pub mod soak_workload;
pub mod stall_detector;
pub mod target_fleet;
pub mod team_change;

pub mod team_plan;
