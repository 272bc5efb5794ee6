//! Runs of the operators' tool, `alderctl`.

use std::process::Command;

use eyre::{Result, WrapErr};
use serde_json::Value;
use tokio::{task, time};

use crate::cluster::TestCluster;
use crate::condition::CONDITION_TIMEOUT;

/// A `ToolResult` is what a run of the tool left.
#[derive(Clone, Debug)]
pub struct ToolResult {
    /// The exit code.
    pub exit_code: Option<i32>,
    /// The report.
    pub report: Value,
}

impl TestCluster {
    /// Runs the tool on behalf of an operator, with all nodes of the cluster.
    ///
    /// # Errors
    /// Where it can't be started, does not end in time or prints no report.
    pub async fn alderctl(&self, operator: &str, arguments: &[&str]) -> Result<ToolResult> {
        let mut command = Command::new(&self.binaries.alderctl);
        command.args(["--json", "--operator", operator]);
        command.args(["--platform", &self.platform.address("address")?.to_string()]);
        for node in self.operator_addresses()? {
            command.args(["--node", &node.to_string()]);
        }
        command.args(arguments);
        let output_task = task::spawn_blocking(move || command.output());
        let output = time::timeout(CONDITION_TIMEOUT, output_task).await???;
        let report = serde_json::from_slice(&output.stdout)
            .wrap_err_with(|| String::from_utf8_lossy(&output.stderr).into_owned())?;
        Ok(ToolResult {
            exit_code: output.status.code(),
            report,
        })
    }
}
