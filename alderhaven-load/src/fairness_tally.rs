//! How fairly work was served: each team's served work against what it was due.
//!
//! Teams compete within a service and a class. There each is due a part of the work that was
//! served, in proportion to its weight and at most what it offered (max-min fairness). So the
//! figure judges the distribution alone, not how much was served and not that classes differ.

use std::collections::BTreeMap;

use alderhaven_core::class::QueryClass;
use alderhaven_core::ids::{ServiceName, TeamId};

/// The least due work, in seconds of a slot, that a team is judged by: below it a few queries
/// decide the figure.
const MIN_FAIR_SHARE_SECONDS: f64 = 5.0;

/// A `TeamWork` is the work of one team within a service and a class, in seconds of a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamWork {
    /// The team's weight.
    pub weight: f64,
    /// What it asked for.
    pub offered: f64,
    /// What it received in time.
    pub served: f64,
}

/// A `FairShare` gathers the work of all teams.
#[derive(Clone, Debug, Default)]
pub struct FairnessTally {
    groups: BTreeMap<(ServiceName, QueryClass), BTreeMap<TeamId, TeamWork>>,
}

impl FairnessTally {
    /// Gets the work of a team within a service and a class.
    pub fn work_mut(
        &mut self,
        service: &ServiceName,
        class: QueryClass,
        team: &TeamId,
    ) -> &mut TeamWork {
        let group = self.groups.entry((service.clone(), class)).or_default();
        group.entry(team.clone()).or_default()
    }

    /// Gets the lowest team's share of its due, at most 1.
    #[must_use]
    pub fn fairness(&self) -> f64 {
        let mut totals: BTreeMap<&TeamId, (f64, f64)> = BTreeMap::new();
        for group in self.groups.values() {
            let team_work: Vec<TeamWork> = group.values().copied().collect();
            for ((team, work), fair_share) in group.iter().zip(fair_shares(&team_work)) {
                let total = totals.entry(team).or_default();
                total.0 += work.served.min(fair_share);
                total.1 += fair_share;
            }
        }
        totals
            .values()
            .filter(|(_, fair_share)| *fair_share >= MIN_FAIR_SHARE_SECONDS)
            .map(|(served, fair_share)| served / fair_share)
            .fold(1.0, f64::min)
    }
}

/// Shares the served work out by weight, to each at most what it offered.
#[must_use]
pub fn fair_shares(team_work: &[TeamWork]) -> Vec<f64> {
    let mut remaining: f64 = team_work.iter().map(|work| work.served).sum();
    let mut shares = vec![0.0; team_work.len()];
    let mut unsatisfied: Vec<usize> = (0..team_work.len()).collect();
    // Each round gives the teams that want less than their part all that they want, and the rest is
    // shared anew; a round without such a team is the last.
    while !unsatisfied.is_empty() {
        let weights: f64 = unsatisfied.iter().map(|team| team_work[*team].weight).sum();
        let proportional_share = |team: usize| remaining * team_work[team].weight / weights;
        let (satisfied, others): (Vec<usize>, Vec<usize>) = unsatisfied
            .iter()
            .partition(|team| team_work[**team].offered <= proportional_share(**team));
        if satisfied.is_empty() {
            for team in &others {
                shares[*team] = proportional_share(*team);
            }
            break;
        }
        for team in &satisfied {
            shares[*team] = team_work[*team].offered;
        }
        remaining -= satisfied
            .iter()
            .map(|team| team_work[*team].offered)
            .sum::<f64>();
        unsatisfied = others;
    }
    shares
}
