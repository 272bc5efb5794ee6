//! Runs of `alderctl`, the operators' tool.

use std::process::Command;

use eyre::{Result, WrapErr};
use serde_json::Value;
use tokio::{task, time};

use crate::cluster::TestCluster;
use crate::condition::CONDITION_TIMEOUT;

/// The result of a run of `alderctl`.
#[derive(Clone, Debug)]
pub struct ToolResult {
    /// The exit code; `None` if a signal ended the process.
    pub exit_code: Option<i32>,
    /// The JSON report from stdout.
    pub report: Value,
}

impl TestCluster {
    /// Runs `alderctl` as the given operator, with the addresses of all nodes.
    ///
    /// # Errors
    /// It can't be started, does not end in time or prints no valid report.
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
