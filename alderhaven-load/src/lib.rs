//! Load test tool: open-loop load on a complete system with stand-ins of platform and targets, and
//! an oracle that checks every answer against the targets' run log.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod answer_oracle;
pub mod arrivals;
pub mod caller_pool;
pub mod cpu_clock;
pub mod crashable_runtime;
pub mod expected_rows;
pub mod fairness_tally;
pub mod fault_script;
pub mod load_driver;
pub mod load_plan;
pub mod load_query;
pub mod query_reply;
pub mod report;
pub mod report_lines;
pub mod report_page;
pub mod report_plot;
pub mod run_line;
pub mod run_options;
pub mod run_tally;
pub mod scenario;
pub mod scenario_figures;
pub mod test_bed;
pub mod test_run;
pub mod violations;
pub mod workload;
