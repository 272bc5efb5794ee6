//! The teams of a run and the faults that concern them, derived from the seed alone.

use alderhaven_core::time::TimeSpan;
use alderhaven_platform_standin::team_bounds::TeamBounds;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::link_proxy::LinkMode;
use crate::soak_fault::SoakFault;
use crate::soak_plan::{FAULT_FREE_START, SoakStep};
use crate::soak_team::SoakTeam;
use crate::team_change::TeamChange;

/// Distinguishes the draws here from those of the other faults of a seed.
const SEED_MASK: u64 = 0x7465_616d;
/// The names of the teams. The first one has no limit.
const TEAM_NAMES: [&str; 4] = ["amber", "birch", "cedar", "dune"];
/// The range of the limits, from below a team's usual requests to above them.
const RATE_PER_S: std::ops::Range<u32> = 8..80;
/// The range of the spans of isolation, which exceed every bound of [`REVOKE_MS`].
const ISOLATION_MS: std::ops::Range<u64> = 5_500..9_000;
/// The bounds within which a removed key must stop working.
const REVOKE_MS: [u64; 2] = [3_000, 5_000];
/// The parts by which a limit may be exceeded. Credit has to be valid for some time, so that none of
/// them is 0.
const QUOTA_OVERSHOOTS: [f64; 3] = [0.05, 0.1, 0.2];
/// The range of the spans for which a limit is lowered, long enough for the bound to be checked.
const LOWERED_MS: std::ops::Range<u64> = 9_000..18_000;
/// The range of the spans of a surge.
const SURGE_MS: std::ops::Range<u64> = 1_000..5_000;
/// The range of the time between two draws.
const INTERVAL_MS: std::ops::Range<u64> = 200..1_800;

/// The teams at the start of a run and the settings that concern them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TeamPlan {
    /// The settings of all fronts.
    pub bounds: TeamBounds,
    /// The teams of the first configuration.
    pub teams: Vec<SoakTeam>,
}

impl TeamPlan {
    /// Returns true if runs of a seed have teams by default, which half of the seeds do.
    #[must_use]
    pub fn is_drawn(seed: u64) -> bool {
        StdRng::seed_from_u64(!(seed ^ SEED_MASK)).random_bool(0.5)
    }

    /// Draws the teams and settings of a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ SEED_MASK);
        let bounds = TeamBounds {
            is_revoke_strict: rng.random_bool(0.75),
            revoke_ms: REVOKE_MS[rng.random_range(0..REVOKE_MS.len())],
            quota_window_s: f64::from(rng.random_range(2..=5)),
            quota_overshoot: QUOTA_OVERSHOOTS[rng.random_range(0..QUOTA_OVERSHOOTS.len())],
            quota_slack: f64::from(rng.random_range(5..=20)),
        };
        let teams = TEAM_NAMES.iter().enumerate().map(|(index, name)| {
            let rate = if index == 0 {
                0.0
            } else {
                f64::from(rng.random_range(RATE_PER_S))
            };
            let rank = rng.random_range(0..3);
            SoakTeam::new(name, rank, rate, rate)
        });
        Self {
            teams: teams.collect(),
            bounds,
        }
    }

    /// Draws changes of the teams and faults that outlast the bounds, up to `faults_end`.
    #[must_use]
    pub fn steps(seed: u64, faults_end: TimeSpan) -> Vec<SoakStep> {
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(2) ^ SEED_MASK);
        let mut steps = Vec::new();
        let mut at = FAULT_FREE_START;
        while at < faults_end {
            let index = rng.random_range(0..usize::MAX >> 1);
            let (fault, span, end) = draw_fault(&mut rng, index);
            // Limits and surges that don't end in time would hide whether all fronts recover.
            if at + span < faults_end {
                steps.push(SoakStep { at, fault });
                steps.extend(end.map(|end| SoakStep {
                    at: at + span,
                    fault: SoakFault::ChangeTeam(end),
                }));
            }
            at = at + TimeSpan::from_millis(rng.random_range(INTERVAL_MS));
        }
        steps
    }
}

/// Draws a fault, how long it lasts, and the change that ends it, if it doesn't end by itself.
fn draw_fault(rng: &mut StdRng, index: usize) -> (SoakFault, TimeSpan, Option<TeamChange>) {
    let isolation = TimeSpan::from_millis(rng.random_range(ISOLATION_MS));
    let lowered = TimeSpan::from_millis(rng.random_range(LOWERED_MS));
    let surge = TimeSpan::from_millis(rng.random_range(SURGE_MS));
    let change = SoakFault::ChangeTeam;
    match rng.random_range(0..100) {
        0..35 => (change(TeamChange::RotateKey(index)), TimeSpan::ZERO, None),
        35..55 => {
            let end = TeamChange::RaiseLimit(index);
            (change(TeamChange::LowerLimit(index)), lowered, Some(end))
        }
        55..75 => {
            let end = TeamChange::EndSurge;
            (change(TeamChange::StartSurge(index)), surge, Some(end))
        }
        75..82 => {
            let fault = SoakFault::StoreLink(index, LinkMode::Blocked, isolation);
            (fault, isolation, None)
        }
        82..87 => (SoakFault::CutStore(isolation), isolation, None),
        87..95 => (SoakFault::FreezeFront(index, isolation), isolation, None),
        95..98 => (SoakFault::KillFront(index), TimeSpan::ZERO, None),
        _ => (SoakFault::KillAll, TimeSpan::ZERO, None),
    }
}
