//! The queries of a run, drawn from the mix.

use std::sync::Arc;

use alderhaven_core::errors::{Error, Result};
use alderhaven_core::ids::TeamId;
use alderhaven_core::parameters::{ParameterSet, ParameterValue};
use alderhaven_core::time::TimeSpan;
use rand::{Rng, RngExt};

use crate::workload::{MixedTemplate, Workload};

/// A `LoadQuery` is one query of a run.
#[derive(Clone, Debug)]
pub struct LoadQuery {
    /// The number of the query in its run.
    pub number: u64,
    /// When the query is due, since the run began.
    pub due: TimeSpan,
    /// The template.
    pub mixed: Arc<MixedTemplate>,
    /// The team that asks.
    pub team: TeamId,
    /// The parameters as the targets receive them.
    pub parameters: ParameterSet,
}

/// A `QuerySource` draws queries from a workload's mix.
#[derive(Debug)]
pub struct QuerySource {
    mix: Vec<Arc<MixedTemplate>>,
    total: f64,
    next_number: u64,
}

impl QuerySource {
    /// Returns a source that asks each template in proportion to its rate.
    #[must_use]
    pub fn new(workload: &Workload) -> Self {
        Self {
            mix: workload.mix.iter().cloned().map(Arc::new).collect(),
            total: workload.rate_at_full_load(),
            next_number: 0,
        }
    }

    /// Draws the query that is due at `due`.
    ///
    /// # Errors
    /// `Error::Invalid` where the template does not take the parameters of the mix.
    pub fn draw(&mut self, due: TimeSpan, rng: &mut impl Rng) -> Result<LoadQuery> {
        let rates = self.mix.iter().map(|mixed| mixed.rate_at_full_load());
        let mixed = Arc::clone(&self.mix[pick(rates, self.total, rng)]);
        let parts = mixed.entry.teams.values().copied();
        let position = pick(parts, mixed.entry.teams.values().sum(), rng);
        let team = mixed.entry.teams.keys().nth(position).cloned();
        let team = team.ok_or_else(|| Error::invalid("mix.teams", "names no team"))?;
        let number = self.next_number;
        self.next_number += 1;
        let mut given = ParameterSet::default();
        let tag = ParameterValue::Text(format!("q{number:06}"));
        given.0.insert(mixed.entry.tag.clone(), tag);
        Ok(LoadQuery {
            number,
            due,
            parameters: mixed.template.bind(&team, given)?,
            mixed,
            team,
        })
    }
}

/// Picks a position in proportion to the weights, which add up to `total`.
fn pick(weights: impl Iterator<Item = f64>, total: f64, rng: &mut impl Rng) -> usize {
    let mut left = rng.random::<f64>() * total;
    let mut last = 0;
    for (position, weight) in weights.enumerate() {
        if left < weight {
            return position;
        }
        left -= weight;
        last = position;
    }
    last
}
