//! Whether runs have teams.

use std::str::FromStr;

use crate::team_plan::TeamPlan;

/// Which runs have teams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TeamMode {
    /// The runs of half of the seeds.
    Drawn,
    /// All runs.
    On,
    /// No run.
    Off,
}

impl TeamMode {
    /// Returns true if the run of a seed has teams.
    #[must_use]
    pub fn has_teams(self, seed: u64) -> bool {
        match self {
            Self::Drawn => TeamPlan::is_drawn(seed),
            Self::On => true,
            Self::Off => false,
        }
    }
}

impl FromStr for TeamMode {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "drawn" => Ok(Self::Drawn),
            "on" => Ok(Self::On),
            "off" => Ok(Self::Off),
            _ => Err(format!("{text} is none of drawn, on and off")),
        }
    }
}
