//! Whether runs have requests that crash targets.

use std::str::FromStr;

use crate::crash_caller::CrashCaller;

/// Which runs have requests that crash targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// The runs of half of the seeds.
    Drawn,
    /// All runs.
    On,
    /// No run.
    Off,
}

impl CrashMode {
    /// Returns true if the run of a seed has such requests.
    #[must_use]
    pub fn has_crashing_requests(self, seed: u64) -> bool {
        match self {
            Self::Drawn => CrashCaller::is_drawn(seed),
            Self::On => true,
            Self::Off => false,
        }
    }
}

impl FromStr for CrashMode {
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
