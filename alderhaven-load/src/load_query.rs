//! Queries of a run, drawn at random from the mix.

use std::sync::Arc;

use alderhaven_core::errors::{Error, Result};
use alderhaven_core::ids::TeamId;
use alderhaven_core::parameters::{ParameterSet, ParameterValue};
use alderhaven_core::time::TimeSpan;
use rand::{Rng, RngExt};

use crate::workload::WorkloadTemplate;

/// Part of a run's load that a query belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QueryGroup {
    /// Base load, drawn from the whole mix.
    Base,
    /// Extra load of the hot team.
    HotTeam,
    /// Queries that all have the same key.
    HotKey,
    /// Long-running bulk queries.
    LongJob,
    /// Requests that crash the target that runs them.
    Poison,
}

impl QueryGroup {
    /// Returns true if queries of the group have equal parameters, so that a target's run can't be
    /// attributed to one of them.
    #[must_use]
    pub const fn shares_parameters(self) -> bool {
        matches!(self, Self::HotKey | Self::Poison)
    }
}

/// One planned query.
#[derive(Clone, Debug)]
pub struct LoadQuery {
    /// Position in the order of drawing, unique within the run.
    pub number: u64,
    /// Time to send it, counted from the start of the run.
    pub due_at: TimeSpan,
    /// Template to query, with its place in the mix.
    pub workload_template: Arc<WorkloadTemplate>,
    /// Team that sends the query.
    pub team: TeamId,
    /// Parameters as the targets receive them, after binding to the template.
    pub parameters: ParameterSet,
    /// Part of the load that the query belongs to.
    pub group: QueryGroup,
    /// Entry to send it to; the next in turn if absent.
    pub entry_index: Option<usize>,
}

/// Draws queries and numbers them.
#[derive(Debug, Default)]
pub struct QuerySource {
    next_number: u64,
}

impl QuerySource {
    /// Draws the template by its rate and the team by its share.
    ///
    /// # Errors
    /// `Error::Invalid` where the template doesn't accept the parameters of the mix.
    pub fn draw(
        &mut self,
        mix: &[Arc<WorkloadTemplate>],
        due_at: TimeSpan,
        group: QueryGroup,
        rng: &mut impl Rng,
    ) -> Result<LoadQuery> {
        let rates = || mix.iter().map(|template| template.rate_at_full_load());
        let workload_template = Arc::clone(&mix[pick_weighted(rates(), rates().sum(), rng)]);
        let team_shares = workload_template.mix_entry.teams.values().copied();
        let position = pick_weighted(
            team_shares,
            workload_template.mix_entry.teams.values().sum(),
            rng,
        );
        let team = workload_template
            .mix_entry
            .teams
            .keys()
            .nth(position)
            .cloned();
        let team = team.ok_or_else(|| Error::invalid("mix.teams", "the mix entry has no team"))?;
        let number = self.next_number;
        self.next_number += 1;
        let mut given = ParameterSet::default();
        let tag = ParameterValue::Text(format!("q{number:06}"));
        given
            .0
            .insert(workload_template.mix_entry.unique_parameter.clone(), tag);
        Ok(LoadQuery {
            number,
            due_at,
            parameters: workload_template.template.bind(&team, given)?,
            workload_template,
            team,
            group,
            entry_index: None,
        })
    }
}

/// Picks a position with a probability proportional to its weight; `total` is the sum.
fn pick_weighted(weights: impl Iterator<Item = f64>, total: f64, rng: &mut impl Rng) -> usize {
    let mut remaining = rng.random::<f64>() * total;
    let mut last = 0;
    for (position, weight) in weights.enumerate() {
        if remaining < weight {
            return position;
        }
        remaining -= weight;
        last = position;
    }
    last
}
