//! Queries of a run: the base load, and the special queries of a scenario.
//!
//! The base load has its own random numbers, so that it is the same without the special queries.

use std::sync::Arc;

use alderhaven_core::errors::{Error, Result};
use alderhaven_core::ids::TeamId;
use alderhaven_core::parameters::ParameterValue;
use alderhaven_core::time::TimeSpan;
use alderhaven_standin::service_layout::DeploymentKind;
use alderhaven_standin::target_faults::POISON_MARKER;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::arrivals::{ArrivalSchedule, RatePhase};
use crate::load_query::{LoadQuery, QueryGroup, QuerySource};
use crate::run_options::RunOptions;
use crate::scenario::ScenarioKind;
use crate::workload::{Workload, WorkloadTemplate};

/// Factor on the base rate during a burst, and its length.
const BURST_FACTOR_AND_LENGTH: (f64, TimeSpan) = (5.0, TimeSpan::from_secs(1));
/// Extra load of a hot team as a multiple of its share.
const HOT_TEAM_EXTRA_FACTOR: f64 = 9.0;
/// Load of a hot key as a share of its service's capacity.
const HOT_KEY_LOAD_SHARE: f64 = 1.0;
/// Number of different poison requests.
const POISON_REQUEST_COUNT: u32 = 3;
/// Interval between two poison requests, and between two copies of the same one.
const POISON_INTERVALS: (TimeSpan, TimeSpan) =
    (TimeSpan::from_millis(800), TimeSpan::from_millis(50));

/// Draws all queries of a run in the order of their due times; equal options give equal queries.
///
/// # Errors
/// Where a template doesn't accept its parameters.
pub fn plan_queries(options: &RunOptions, workload: &Workload) -> Result<Vec<LoadQuery>> {
    let mut plan = LoadPlan::new(options, workload);
    let rate = options.load * workload.rate_at_full_load();
    plan.draw_queries(&workload.mix, rate, &base_phases(options), QueryGroup::Base)?;
    if !options.without_special_queries {
        plan.draw_special_queries()?;
    }
    plan.queries.sort_by_key(|query| query.due_at);
    Ok(plan.queries)
}

/// Returns the hot team of `hot-team`, which uses both a service with many targets and one with
/// few.
///
/// # Panics
/// Never: the names are valid.
#[must_use]
pub fn hot_team(deployment: DeploymentKind) -> TeamId {
    let name = match deployment {
        DeploymentKind::Volta => "libraries",
        DeploymentKind::Lagerblik => "inspectorate",
    };
    name.parse().expect("the constant is a valid team name")
}

/// Returns the end of a burst, counted from the start of the run.
#[must_use]
pub fn burst_end(options: &RunOptions) -> TimeSpan {
    options.event_at() + BURST_FACTOR_AND_LENGTH.1
}

/// Returns the lengths of the base load's phases, with factors on its rate.
fn base_phases(options: &RunOptions) -> Vec<(TimeSpan, f64)> {
    let whole = options.warm_up + options.measured_time;
    if options.scenario != ScenarioKind::Burst {
        return vec![(whole, 1.0)];
    }
    let (factor, length) = BURST_FACTOR_AND_LENGTH;
    let rest = whole.saturating_sub(options.event_at() + length);
    vec![(options.event_at(), 1.0), (length, factor), (rest, 1.0)]
}

struct LoadPlan<'a> {
    options: &'a RunOptions,
    workload: &'a Workload,
    query_source: QuerySource,
    queries: Vec<LoadQuery>,
}

impl<'a> LoadPlan<'a> {
    fn new(options: &'a RunOptions, workload: &'a Workload) -> Self {
        Self {
            options,
            workload,
            query_source: QuerySource::default(),
            queries: Vec::new(),
        }
    }

    /// Adds queries of a mix at `rate` times the factor of each phase.
    fn draw_queries(
        &mut self,
        mix: &[WorkloadTemplate],
        rate: f64,
        phases: &[(TimeSpan, f64)],
        group: QueryGroup,
    ) -> Result<()> {
        let seed = self.options.seed ^ (group as u64).wrapping_mul(0x9E37_79B9);
        let phases = phases
            .iter()
            .map(|(span, factor)| RatePhase {
                duration: *span,
                rate: rate * factor,
            })
            .collect();
        let mix: Vec<Arc<WorkloadTemplate>> = mix.iter().cloned().map(Arc::new).collect();
        let mut rng = StdRng::seed_from_u64(seed);
        for due in ArrivalSchedule::new(seed.wrapping_add(1), phases) {
            let query = self.query_source.draw(&mix, due, group, &mut rng)?;
            self.queries.push(query);
        }
        Ok(())
    }

    fn draw_special_queries(&mut self) -> Result<()> {
        match self.options.scenario {
            ScenarioKind::HotTeam => self.draw_hot_team(),
            ScenarioKind::HotKey => self.draw_hot_key(),
            ScenarioKind::LongAmongShort => {
                let mix = &self.workload.long_jobs;
                let rate = mix.iter().map(WorkloadTemplate::rate_at_full_load).sum();
                self.draw_queries(mix, rate, &self.whole_run(), QueryGroup::LongJob)
            }
            ScenarioKind::Poison => self.draw_poison(),
            _ => Ok(()),
        }
    }

    fn whole_run(&self) -> Vec<(TimeSpan, f64)> {
        vec![(self.options.warm_up + self.options.measured_time, 1.0)]
    }

    fn draw_hot_team(&mut self) -> Result<()> {
        let team = hot_team(self.options.deployment);
        let mut mix = Vec::new();
        for workload_template in &self.workload.mix {
            let total: f64 = workload_template.mix_entry.teams.values().sum();
            if let Some(team_share) = workload_template.mix_entry.teams.get(&team) {
                let mut hot = workload_template.clone();
                hot.mix_entry.capacity_share *= team_share / total;
                hot.mix_entry.teams = [(team.clone(), 1.0)].into_iter().collect();
                mix.push(hot);
            }
        }
        let rate: f64 = mix.iter().map(WorkloadTemplate::rate_at_full_load).sum();
        let rate = rate * self.options.load * HOT_TEAM_EXTRA_FACTOR;
        self.draw_queries(&mix, rate, &self.whole_run(), QueryGroup::HotTeam)
    }

    fn draw_hot_key(&mut self) -> Result<()> {
        let workload_template = self.single_shard_template()?;
        let rate = workload_template.rate_at_full_load() * HOT_KEY_LOAD_SHARE;
        let begin = self.queries.len();
        self.draw_queries(
            &[workload_template],
            rate,
            &self.whole_run(),
            QueryGroup::HotKey,
        )?;
        for query in &mut self.queries[begin..] {
            set_tag(query, "hot");
        }
        Ok(())
    }

    fn draw_poison(&mut self) -> Result<()> {
        let mix = [Arc::new(self.single_shard_template()?)];
        let mut rng = StdRng::seed_from_u64(self.options.seed);
        let (request_interval, resend_interval) = POISON_INTERVALS;
        for request in 0..POISON_REQUEST_COUNT {
            let first = self.options.event_at() + request_interval.mul_f64(f64::from(request));
            for entry in 0..self.options.nodes {
                let due = first + resend_interval.mul_f64(entry as f64);
                let mut query = self
                    .query_source
                    .draw(&mix, due, QueryGroup::Poison, &mut rng)?;
                set_tag(&mut query, &format!("{POISON_MARKER}-{request}"));
                query.entry_index = Some(entry);
                self.queries.push(query);
            }
        }
        Ok(())
    }

    /// Returns the first template whose queries read one shard.
    fn single_shard_template(&self) -> Result<WorkloadTemplate> {
        let single_shard = self
            .workload
            .mix
            .iter()
            .find(|workload_template| workload_template.shard_count() == 1);
        single_shard
            .cloned()
            .ok_or_else(|| Error::invalid("mix", "has no template of a single shard"))
    }
}

fn set_tag(query: &mut LoadQuery, text: &str) {
    let tag = query.workload_template.mix_entry.unique_parameter.clone();
    let value = ParameterValue::Text(text.to_owned());
    query.parameters.0.insert(tag, value);
}
