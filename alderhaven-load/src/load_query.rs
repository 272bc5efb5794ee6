//! The queries of a run, drawn from the mix.

use std::sync::Arc;

use alderhaven_core::errors::{Error, Result};
use alderhaven_core::ids::TeamId;
use alderhaven_core::parameters::{ParameterSet, ParameterValue};
use alderhaven_core::time::TimeSpan;
use rand::{Rng, RngExt};

use crate::workload::WorkloadTemplate;

/// A `QueryGroup` says to which part of a run's load a query belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QueryGroup {
    /// The even load.
    Base,
    /// What a hot team asks beyond its share.
    HotTeam,
    /// Queries of the hot key.
    HotKey,
    /// Long jobs.
    LongJob,
    /// Requests that crash targets.
    Poison,
}

impl QueryGroup {
    /// Returns true where several queries have the same parameters, so that the targets' runs can't
    /// be told apart by query.
    #[must_use]
    pub const fn shares_parameters(self) -> bool {
        matches!(self, Self::HotKey | Self::Poison)
    }
}

/// A `LoadQuery` is one query of a run.
#[derive(Clone, Debug)]
pub struct LoadQuery {
    /// The number of the query in its run.
    pub number: u64,
    /// When the query is due, since the run began.
    pub due_at: TimeSpan,
    /// The template.
    pub workload_template: Arc<WorkloadTemplate>,
    /// The team that asks.
    pub team: TeamId,
    /// The parameters as the targets receive them.
    pub parameters: ParameterSet,
    /// The part of the load.
    pub group: QueryGroup,
    /// The entry to ask; any where there is none.
    pub entry_index: Option<usize>,
}

/// A `QuerySource` draws queries and numbers them.
#[derive(Debug, Default)]
pub struct QuerySource {
    next_number: u64,
}

impl QuerySource {
    /// Draws the query that is due at `due`, each template of `mix` in proportion to its rate.
    ///
    /// # Errors
    /// `Error::Invalid` where the template does not take the parameters of the mix.
    pub fn draw(
        &mut self,
        mix: &[Arc<WorkloadTemplate>],
        due: TimeSpan,
        group: QueryGroup,
        rng: &mut impl Rng,
    ) -> Result<LoadQuery> {
        let rates = || {
            mix.iter()
                .map(|workload_template| workload_template.rate_at_full_load())
        };
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
        let team = team.ok_or_else(|| Error::invalid("mix.teams", "names no team"))?;
        let number = self.next_number;
        self.next_number += 1;
        let mut given = ParameterSet::default();
        let tag = ParameterValue::Text(format!("q{number:06}"));
        given
            .0
            .insert(workload_template.mix_entry.unique_parameter.clone(), tag);
        Ok(LoadQuery {
            number,
            due_at: due,
            parameters: workload_template.template.bind(&team, given)?,
            workload_template,
            team,
            group,
            entry_index: None,
        })
    }
}

/// Picks a position in proportion to the weights, which add up to `total`.
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
