//! The scenarios: the load pattern and the faults of a run.

use std::fmt;
use std::str::FromStr;

use alderhaven_core::errors::Error;
use serde::{Deserialize, Serialize};

/// A `ScenarioKind` is a load pattern with its faults.
///
/// Faults and changes come when a quarter of the measured time is over, so that each run has its
/// own steady part to compare with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ScenarioKind {
    /// A steady load on sound targets.
    Steady,
    /// Some replicas are slower by a factor during the whole run.
    SlowTarget,
    /// A steady load above the targets' capacity.
    Overload,
    /// Five times the load for a second.
    Burst,
    /// One team offers ten times its share.
    HotTeam,
    /// One key is asked as often as its whole service can answer.
    HotKey,
    /// Long jobs at the services that urgent queries ask.
    LongAmongShort,
    /// Some targets leave by the host list, which lags, and stop after a while.
    TargetLeaving,
    /// All services change their index versions, and one its number of shards.
    SnapshotChange,
    /// Requests that crash the target that runs them, sent again through every entry.
    Poison,
    /// The open connections of some targets stop answering; new ones work.
    SilentConnections,
    /// Some targets start anew and are slow at first.
    ColdStart,
    /// All targets of a failure domain are down for a while.
    DomainLoss,
    /// A relay dies.
    RelayCrash,
    /// The object API and the host list are out of service for a while.
    StoreOutage,
    /// Two operators publish the same template at the same time, again and again.
    PublishRace,
}

impl ScenarioKind {
    /// All scenarios.
    pub const ALL: [Self; 16] = [
        Self::Steady,
        Self::SlowTarget,
        Self::Overload,
        Self::Burst,
        Self::HotTeam,
        Self::HotKey,
        Self::LongAmongShort,
        Self::TargetLeaving,
        Self::SnapshotChange,
        Self::Poison,
        Self::SilentConnections,
        Self::ColdStart,
        Self::DomainLoss,
        Self::RelayCrash,
        Self::StoreOutage,
        Self::PublishRace,
    ];

    /// Gets the load that the scenario has unless another is asked for.
    #[must_use]
    pub const fn default_load(self) -> f64 {
        match self {
            Self::Steady => 0.7,
            Self::Overload => 2.0,
            Self::RelayCrash | Self::StoreOutage | Self::PublishRace => 0.6,
            _ => 0.5,
        }
    }

    /// Returns true where the scenario is judged by a second run without its special queries.
    #[must_use]
    pub const fn has_comparison_run(self) -> bool {
        matches!(self, Self::HotTeam | Self::HotKey | Self::LongAmongShort)
    }
}

impl fmt::Display for ScenarioKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Steady => "steady",
            Self::SlowTarget => "slow-target",
            Self::Overload => "overload",
            Self::Burst => "burst",
            Self::HotTeam => "hot-team",
            Self::HotKey => "hot-key",
            Self::LongAmongShort => "long-among-short",
            Self::TargetLeaving => "target-leaving",
            Self::SnapshotChange => "snapshot-change",
            Self::Poison => "poison",
            Self::SilentConnections => "silent-connections",
            Self::ColdStart => "cold-start",
            Self::DomainLoss => "domain-loss",
            Self::RelayCrash => "relay-crash",
            Self::StoreOutage => "store-outage",
            Self::PublishRace => "publish-race",
        })
    }
}

impl FromStr for ScenarioKind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.to_string() == text)
            .ok_or_else(|| {
                let names = Self::ALL.map(|kind| kind.to_string()).join(", ");
                Error::parse("scenario", text, format!("one of {names}"))
            })
    }
}
