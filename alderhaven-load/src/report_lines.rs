//! The reading of saved result lines.

use eyre::{Result, WrapErr};
use serde::Deserialize;

use crate::run_line::{RatioLine, RunLine};

/// A `ReportLines` is the content of saved files, in their order.
#[derive(Clone, Debug, Default)]
pub struct ReportLines {
    /// The results.
    pub runs: Vec<RunLine>,
    /// The ratios.
    pub ratios: Vec<RatioLine>,
}

/// A `SavedLine` is one line of a file: a ratio has fields that a result has not.
#[derive(Deserialize)]
#[serde(untagged)]
enum SavedLine {
    Ratio(RatioLine),
    Run(Box<RunLine>),
}

impl ReportLines {
    /// Adds the lines of a file's text; empty lines are passed over.
    ///
    /// # Errors
    /// Where a line is neither a result nor a ratio, with its number.
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
