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
            let works: Vec<TeamWork> = group.values().copied().collect();
            for ((team, work), due) in group.iter().zip(fair_shares(&works)) {
                let total = totals.entry(team).or_default();
                total.0 += work.served.min(due);
                total.1 += due;
            }
        }
        totals
            .values()
            .filter(|(_, due)| *due >= MIN_FAIR_SHARE_SECONDS)
            .map(|(served, due)| served / due)
            .fold(1.0, f64::min)
    }
}

/// Shares the served work out by weight, to each at most what it offered.
#[must_use]
pub fn fair_shares(works: &[TeamWork]) -> Vec<f64> {
    let mut left: f64 = works.iter().map(|work| work.served).sum();
    let mut dues = vec![0.0; works.len()];
    let mut open: Vec<usize> = (0..works.len()).collect();
    // Each round gives the teams that want less than their part all that they want, and the rest is
    // shared anew; a round without such a team is the last.
    while !open.is_empty() {
        let weights: f64 = open.iter().map(|team| works[*team].weight).sum();
        let part = |team: usize| left * works[team].weight / weights;
        let (modest, others): (Vec<usize>, Vec<usize>) = open
            .iter()
            .partition(|team| works[**team].offered <= part(**team));
        if modest.is_empty() {
            for team in &others {
                dues[*team] = part(*team);
            }
            break;
        }
        for team in &modest {
            dues[*team] = works[*team].offered;
        }
        left -= modest.iter().map(|team| works[*team].offered).sum::<f64>();
        open = others;
    }
    dues
}
