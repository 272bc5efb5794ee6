//! The exit codes of `alderctl`, so that a job can tell what became of its command.

use std::process::ExitCode;

use serde::Serialize;

/// An `ExitStatus` is the closed set of results of a command, from the best to the worst.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitStatus {
    /// 0: everything that was asked for is done.
    Done,
    /// 1: something failed, and nothing took effect.
    Failed,
    /// 2: arguments, settings or files are refused.
    Invalid,
    /// 3: published, and not in force on every node within the wait.
    Lagging,
    /// 4: another operator's publication came first or has not been looked at.
    Conflict,
    /// 5: it is unknown whether a publication took effect.
    Unknown,
}

impl ExitStatus {
    /// Gets the exit code.
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
