//! Parser of saved result lines.

use eyre::{Result, WrapErr};
use serde::Deserialize;

use crate::run_line::{RatioLine, RunLine};

/// Content of saved files, in their order.
#[derive(Clone, Debug, Default)]
pub struct ReportLines {
    /// Results of single runs.
    pub runs: Vec<RunLine>,
    /// Ratios between the policies' results.
    pub ratios: Vec<RatioLine>,
}

/// One line of a file; a ratio is recognized by its own fields.
#[derive(Deserialize)]
#[serde(untagged)]
enum SavedLine {
    Ratio(RatioLine),
    Run(Box<RunLine>),
}

impl ReportLines {
    /// Parses the lines of a file's text and adds them; blank lines are skipped.
    ///
    /// # Errors
    /// Where a line is neither a result nor a ratio; the error names path and line number.
    pub fn add(&mut self, path: &str, text: &str) -> Result<()> {
        for (position, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            let saved = serde_json::from_str(line)
                .wrap_err_with(|| format!("{path}:{}: not a result line", position + 1))?;
            match saved {
                SavedLine::Ratio(ratio) => self.ratios.push(ratio),
                SavedLine::Run(run) => self.runs.push(*run),
            }
        }
        Ok(())
    }
}
