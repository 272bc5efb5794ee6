//! The commands of `alderctl`: checking configuration files, comparing them with the store,
//! publishing them and following them until every node has them in force.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod change_plan;
pub mod command_report;
pub mod commands;
pub mod control_settings;
pub mod exit_status;
pub mod field_change;
pub mod file_check;
pub mod file_problem;
pub mod in_force;
pub mod line_index;
pub mod node_commands;
pub mod node_probe;
pub mod node_status;
pub mod object_file;
pub mod object_history;
pub mod operator_client;
pub mod publish_outcome;
pub mod publisher;
pub mod report_text;
pub mod retry_options;
