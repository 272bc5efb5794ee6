//! Changes of the teams during a run.

use serde::Serialize;

/// A change of one team. A `usize` selects the team, modulo their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TeamChange {
    /// The operator removes a key of the team and adds a new one.
    RotateKey(usize),
    /// The operator lowers the team's limit far below what its callers send.
    LowerLimit(usize),
    /// The operator raises the limit again.
    RaiseLimit(usize),
    /// Nearly all callers send requests of the team.
    StartSurge(usize),
    /// Callers send their usual requests again.
    EndSurge,
}
