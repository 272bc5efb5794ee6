//! The exit codes of `alderctl`, by which scripts tell the outcomes of commands apart.

use std::process::ExitCode;

use serde::Serialize;

/// The result of a command, ordered from best to worst.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitStatus {
    /// 0: the command succeeded.
    Done,
    /// 1: a call to the store or a node failed; the publications concerned were not written.
    Failed,
    /// 2: arguments, settings or files are invalid.
    Invalid,
    /// 3: published, but not in force on every node within the wait.
    Lagging,
    /// 4: another operator's publication came first or has not been reviewed.
    Conflict,
    /// 5: a publication may or may not have taken effect.
    Unknown,
}

impl ExitStatus {
    /// Gets the process exit code.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Invalid => 2,
            Self::Lagging => 3,
            Self::Conflict => 4,
            Self::Unknown => 5,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}
