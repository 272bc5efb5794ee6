//! Which runs have a part that half of the seeds draw.

use std::str::FromStr;

/// Whether the runs of all seeds have a part, none, or those that draw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunMode {
    /// The runs of half of the seeds.
    Drawn,
    /// All runs.
    On,
    /// No run.
    Off,
}

impl RunMode {
    /// Returns true if a run has the part; `is_drawn` is what its seed draws.
    #[must_use]
    pub const fn is_on(self, is_drawn: bool) -> bool {
        match self {
            Self::Drawn => is_drawn,
            Self::On => true,
            Self::Off => false,
        }
    }
}

impl FromStr for RunMode {
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
