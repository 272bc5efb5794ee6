//! Scenarios: the load pattern and the faults of a run.

use std::fmt;
use std::str::FromStr;

use alderhaven_core::errors::Error;
use serde::{Deserialize, Serialize};

/// Load pattern with its faults.
///
/// Faults and changes occur after a quarter of the measured time; the part before serves as
/// reference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ScenarioKind {
    /// Steady load on healthy targets.
    Steady,
    /// Some replicas are slow during the whole run.
    SlowTarget,
    /// Steady load above the targets' capacity.
    Overload,
    /// Five times the load for one second.
    Burst,
    /// One team offers ten times its share.
    HotTeam,
    /// Queries of a single key take the whole capacity of its service.
    HotKey,
    /// Long-running queries at the services of urgent queries.
    LongAmongShort,
    /// Some targets leave; the host list shows it late, and they stop after a delay.
    TargetLeaving,
    /// All services get a new index version, and one a new number of shards.
    SnapshotChange,
    /// Requests that crash the target that runs them, repeated through every entry.
    Poison,
    /// The open connections of some targets stop answering; new ones work.
    SilentConnections,
    /// Some targets restart and are slow at first.
    ColdStart,
    /// All targets of a failure domain are down for some seconds.
    DomainLoss,
    /// One relay crashes.
    RelayCrash,
    /// Object API and host list are unavailable for some seconds.
    StoreOutage,
    /// Two operators repeatedly publish the same template at the same time.
    PublishRace,
}

impl ScenarioKind {
    /// All scenarios, in the order of the command's help.
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

    /// Returns the load if none is given.
    #[must_use]
    pub const fn default_load(self) -> f64 {
        match self {
            Self::Steady => 0.7,
            Self::Overload => 2.0,
            Self::RelayCrash | Self::StoreOutage | Self::PublishRace => 0.6,
            _ => 0.5,
        }
    }

    /// Returns true if the result is compared with that of a second run without special queries.
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
