//! Query templates: named queries that operators publish and callers run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::class::{AnswerPreference, QueryClass};
use crate::errors::{Error, Result};
use crate::ids::{ServiceName, ShardId, TeamId, TemplateName};
use crate::parameters::{MAX_PARAMETERS, ParameterSet, ParameterSpec, ParameterValue};
use crate::quantities::Share;
use crate::time::TimeSpan;

/// Maximum number of shards that a template may list.
pub const MAX_LISTED_SHARDS: usize = 4096;
/// Maximum number of rows that a top-n merge may keep.
pub const MAX_TOP_ROWS: usize = 10_000;
/// Maximum deadline of a template.
pub const MAX_DEADLINE: TimeSpan = TimeSpan::from_secs(60);
/// Minimum deadline of a template.
pub const MIN_DEADLINE: TimeSpan = TimeSpan::from_millis(1);

/// Named query with typed parameters over the shards of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryTemplate {
    /// The name by which callers run the template, which is also its object's name.
    pub name: TemplateName,
    /// The service whose shards the query runs on.
    pub service: ServiceName,
    /// The specifications of the parameters by name.
    #[serde(default)]
    pub parameters: BTreeMap<String, ParameterSpec>,
    /// Fixed parameter values by team. A query that gives another value is refused.
    #[serde(default)]
    pub team_values: BTreeMap<TeamId, ParameterSet>,
    /// The teams that may use the template. If empty, all teams may.
    #[serde(default)]
    pub teams: Vec<TeamId>,
    /// How the requested shards are selected.
    pub shards: ShardSelection,
    /// How the rows of the shards are merged into one answer.
    pub merge: MergeRule,
    /// Whether the query may safely run more than once.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// The priority class of the queries.
    #[serde(default)]
    pub class: QueryClass,
    /// The time after which an answer is of no use.
    pub deadline: TimeSpan,
    /// The time after which a query with `preference: latency` may answer with partial coverage.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_by: Option<TimeSpan>,
    /// The minimum covered share for such a partial answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub min_coverage: Option<Share>,
    /// Whether the query favors coverage or latency.
    #[serde(default)]
    pub preference: AnswerPreference,
}

const fn default_idempotent() -> bool {
    true
}

/// Rule that selects the shards that a query requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "select", rename_all = "snake_case", deny_unknown_fields)]
pub enum ShardSelection {
    /// Every shard of the manifest.
    All,
    /// The shard to which the hash of a parameter maps.
    ByKeyHash {
        /// The name of the parameter that holds the key.
        parameter: String,
    },
    /// The shards whose key range contains the key, or overlaps the range from one key to another.
    ByKeyRange {
        /// The name of the parameter with the key or the range's lower end.
        from: String,
        /// The name of the parameter with the range's upper end, inclusive.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        to: Option<String>,
    },
    /// The listed shards.
    Listed {
        /// The numbers of the shards, from 1 to [`MAX_LISTED_SHARDS`] of them.
        shards: Vec<ShardId>,
    },
}

/// Rule that merges the rows of the shards into one answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "rule", rename_all = "snake_case", deny_unknown_fields)]
pub enum MergeRule {
    /// All rows, in shard order.
    Concatenate,
    /// The `limit` rows with the highest (or lowest) numbers in `field`.
    TopN {
        /// The field to order by.
        field: String,
        /// The number of rows to keep.
        limit: usize,
        /// Whether to keep the lowest numbers, lowest first.
        #[serde(default)]
        ascending: bool,
    },
    /// One row with the sum of `field` over all rows.
    Sum {
        /// The field to add up.
        field: String,
    },
    /// One row for each distinct value of `field`: the first in shard order.
    DistinctBy {
        /// The field whose values are compared.
        field: String,
    },
}

impl QueryTemplate {
    /// Validates the template and returns all errors.
    #[must_use]
    pub fn check(&self) -> Vec<Error> {
        let mut errors = Vec::new();
        self.check_times(&mut errors);
        self.check_parameters(&mut errors);
        self.check_shards(&mut errors);
        self.check_merge(&mut errors);
        errors
    }

    /// Combines the caller's values, the team's fixed values and the defaults.
    ///
    /// # Errors
    /// `Error::Invalid` for an unknown, missing or out-of-bounds parameter, or if the caller's value
    /// differs from the team's fixed one.
    pub fn bind(&self, team: &TeamId, given: ParameterSet) -> Result<ParameterSet> {
        let fixed = self.team_values.get(team);
        let mut bound = given;
        for (name, value) in fixed.into_iter().flat_map(|values| &values.0) {
            if bound.get(name).is_some_and(|given| given != value) {
                return Err(Error::invalid(
                    format!("parameters.{name}"),
                    format!("is fixed to `{value}` for team {team}"),
                ));
            }
            bound.0.insert(name.clone(), value.clone());
        }
        if let Some(unknown) = bound
            .0
            .keys()
            .find(|name| !self.parameters.contains_key(*name))
        {
            return Err(Error::invalid(
                format!("parameters.{unknown}"),
                format!("is not a parameter of template {}", self.name),
            ));
        }
        for (name, spec) in &self.parameters {
            match (bound.get(name), &spec.default) {
                (Some(value), _) => spec.kind.check(name, value)?,
                (None, Some(default)) => {
                    bound.0.insert(name.clone(), default.clone());
                }
                (None, None) => {
                    return Err(Error::invalid(
                        format!("parameters.{name}"),
                        format!("is required: {}", spec.kind),
                    ));
                }
            }
        }
        Ok(bound)
    }

    /// Returns true if `team` may use the template.
    #[must_use]
    pub fn allows(&self, team: &TeamId) -> bool {
        self.teams.is_empty() || self.teams.contains(team)
    }

    fn check_times(&self, errors: &mut Vec<Error>) {
        if !(MIN_DEADLINE..=MAX_DEADLINE).contains(&self.deadline) {
            errors.push(Error::invalid(
                "deadline",
                format!(
                    "{} is refused: allowed is {MIN_DEADLINE} to {MAX_DEADLINE}",
                    self.deadline
                ),
            ));
        }
        match self.preference {
            AnswerPreference::Latency => self.check_latency_preference(errors),
            AnswerPreference::Coverage => {
                if self.answer_by.is_some() || self.min_coverage.is_some() {
                    errors.push(Error::invalid(
                        "answer_by",
                        "answer_by and min_coverage go with `preference: latency` only",
                    ));
                }
            }
        }
    }

    fn check_latency_preference(&self, errors: &mut Vec<Error>) {
        match self.answer_by {
            None => errors.push(Error::invalid(
                "answer_by",
                "is required with `preference: latency`",
            )),
            Some(span) if span >= self.deadline || span == TimeSpan::ZERO => {
                errors.push(Error::invalid(
                    "answer_by",
                    format!("{span} is refused: allowed is above 0 and below the deadline"),
                ));
            }
            Some(_) => {}
        }
        if self.min_coverage.is_none() {
            errors.push(Error::invalid(
                "min_coverage",
                "is required with `preference: latency`",
            ));
        }
        if !self.idempotent {
            errors.push(Error::invalid(
                "preference",
                "a non-idempotent template can't answer with partial coverage",
            ));
        }
    }

    fn check_parameters(&self, errors: &mut Vec<Error>) {
        if self.parameters.len() > MAX_PARAMETERS {
            errors.push(Error::invalid(
                "parameters",
                format!("at most {MAX_PARAMETERS} parameters are allowed"),
            ));
        }
        for (name, spec) in &self.parameters {
            if let Some(default) = &spec.default
                && let Err(error) = spec.kind.check(name, default)
            {
                errors.push(error);
            }
            if let crate::parameters::ParameterKind::Integer { min, max } = &spec.kind
                && min > max
            {
                errors.push(Error::invalid(
                    format!("parameters.{name}"),
                    format!("min {min} is above max {max}"),
                ));
            }
        }
        for (team, values) in &self.team_values {
            for (name, value) in &values.0 {
                let result = self.parameters.get(name).map_or_else(
                    || {
                        Err(Error::invalid(
                            format!("team_values.{team}.{name}"),
                            "is not a parameter of the template",
                        ))
                    },
                    |spec| spec.kind.check(name, value),
                );
                errors.extend(result.err());
            }
        }
    }

    fn check_shards(&self, errors: &mut Vec<Error>) {
        let key_parameters: Vec<&String> = match &self.shards {
            ShardSelection::All => Vec::new(),
            ShardSelection::ByKeyHash { parameter } => vec![parameter],
            ShardSelection::ByKeyRange { from, to } => {
                std::iter::once(from).chain(to.as_ref()).collect()
            }
            ShardSelection::Listed { shards } => {
                if shards.is_empty() || shards.len() > MAX_LISTED_SHARDS {
                    errors.push(Error::invalid(
                        "shards.shards",
                        format!("1 to {MAX_LISTED_SHARDS} shards are allowed"),
                    ));
                }
                Vec::new()
            }
        };
        for parameter in key_parameters {
            if !self.parameters.contains_key(parameter) {
                errors.push(Error::invalid(
                    "shards",
                    format!("`{parameter}` is not a parameter of the template"),
                ));
            }
        }
        if !self.idempotent && !matches!(self.shards, ShardSelection::ByKeyHash { .. }) {
            errors.push(Error::invalid(
                "shards",
                "a non-idempotent template must request exactly one shard: allowed is `select: by_key_hash`",
            ));
        }
    }

    fn check_merge(&self, errors: &mut Vec<Error>) {
        let (field, limit) = match &self.merge {
            MergeRule::Concatenate => return,
            MergeRule::TopN { field, limit, .. } => (field, Some(*limit)),
            MergeRule::Sum { field } | MergeRule::DistinctBy { field } => (field, None),
        };
        if field.is_empty() {
            errors.push(Error::invalid("merge.field", "must not be empty"));
        }
        if limit.is_some_and(|limit| limit == 0 || limit > MAX_TOP_ROWS) {
            errors.push(Error::invalid(
                "merge.limit",
                format!("allowed is 1 to {MAX_TOP_ROWS}"),
            ));
        }
    }
}

/// Returns the text form of a shard key, which is hashed or compared with key ranges.
#[must_use]
pub fn key_text(value: &ParameterValue) -> String {
    value.to_string()
}
