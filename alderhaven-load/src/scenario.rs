//! The scenarios: the load pattern and the faults of a run.

use std::fmt;
use std::str::FromStr;

use alderhaven_core::errors::Error;
use alderhaven_core::ids::{ServiceName, ShardId};
use alderhaven_standin::target_faults::TargetFaults;
use alderhaven_standin::target_fleet::TargetFleet;
use alderhaven_standin::target_server::TargetServer;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

/// A `ScenarioKind` is a load pattern with its faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ScenarioKind {
    /// A steady load on sound targets.
    Steady,
    /// Some replicas are slower by a factor during the whole run.
    SlowTarget,
    /// A steady load above the targets' capacity.
    Overload,
}

impl ScenarioKind {
    /// All scenarios.
    pub const ALL: [Self; 3] = [Self::Steady, Self::SlowTarget, Self::Overload];

    /// Gets the load that the scenario has unless another is asked for.
    #[must_use]
    pub const fn default_load(self) -> f64 {
        match self {
            Self::Steady => 0.7,
            Self::SlowTarget => 0.5,
            Self::Overload => 2.0,
        }
    }
}

impl fmt::Display for ScenarioKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Steady => "steady",
            Self::SlowTarget => "slow-target",
            Self::Overload => "overload",
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

/// Makes a share of the targets slower by a factor, at most one replica of each shard.
///
/// Where all replicas of a shard are slow no choice of replica can help. Equal seeds pick equal
/// targets.
pub fn slow_down(fleet: &TargetFleet, factor: f64, share: f64, seed: u64) {
    let mut targets: Vec<&TargetServer> = fleet.targets().collect();
    let wanted = portion(targets.len(), share);
    targets.shuffle(&mut StdRng::seed_from_u64(seed));
    let mut slowed: Vec<(ServiceName, ShardId)> = Vec::new();
    for target in targets {
        let spec = target.state().spec();
        let place = (spec.service.clone(), spec.shard);
        if slowed.len() < wanted && !slowed.contains(&place) {
            slowed.push(place);
            target.state().set_faults(TargetFaults {
                slow_factor: factor,
                ..target.state().faults()
            });
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates, which is what a bound wants"
)]
fn portion(count: usize, share: f64) -> usize {
    (count as f64 * share).round() as usize
}
