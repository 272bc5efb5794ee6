//! Fairness of the served work between teams.
//!
//! Teams compete within a service and a class. Their fair shares divide the work that was served
//! there in proportion to the weights, with no share above what the team offered (max-min
//! fairness). The result doesn't depend on how much was served, nor on differences between classes.

use std::collections::BTreeMap;

use alderhaven_core::class::QueryClass;
use alderhaven_core::ids::{ServiceName, TeamId};

/// Teams with a smaller fair share, in slot seconds, are ignored: a few queries would decide their
/// result.
const MIN_FAIR_SHARE_SECONDS: f64 = 5.0;

/// Work of one team within a service and a class, in slot seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamWork {
    /// Weight of the team among its competitors.
    pub weight: f64,
    /// Work of all the team's queries.
    pub offered: f64,
    /// Work of the team's queries that were answered in time.
    pub served: f64,
}

/// Work of all teams by service and class.
#[derive(Clone, Debug, Default)]
pub struct FairnessTally {
    groups: BTreeMap<(ServiceName, QueryClass), BTreeMap<TeamId, TeamWork>>,
}

impl FairnessTally {
    /// Returns the work of a team for update, zero at first.
    pub fn work_mut(
        &mut self,
        service: &ServiceName,
        class: QueryClass,
        team: &TeamId,
    ) -> &mut TeamWork {
        let group = self.groups.entry((service.clone(), class)).or_default();
        group.entry(team.clone()).or_default()
    }

    /// Returns the lowest ratio of served work to fair share among the teams, at most 1.
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

/// Divides the served work in proportion to the weights, to each team at most what it offered.
#[must_use]
pub fn fair_shares(team_work: &[TeamWork]) -> Vec<f64> {
    let mut remaining: f64 = team_work.iter().map(|work| work.served).sum();
    let mut shares = vec![0.0; team_work.len()];
    let mut unsatisfied: Vec<usize> = (0..team_work.len()).collect();
    // Each round satisfies the teams that offered less than their proportional share, and divides
    // the rest again. It ends when no such team is left.
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
