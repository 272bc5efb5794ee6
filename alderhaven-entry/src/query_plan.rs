//! The plan of one query: checked values, the pinned manifest, the asked shards and the deadline.

use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::{TeamId, TemplateName};
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_core::parameters::ParameterSet;
use alderhaven_core::team::TeamPolicy;
use alderhaven_core::template::{MAX_DEADLINE, MIN_DEADLINE, QueryTemplate};
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::config_registry::ConfigView;
use bytes::Bytes;
use serde::Deserialize;

use crate::answer::{ErrorAnswer, ErrorCode};

/// A `QueryRequest` is the body of `POST /v1/query/{template}`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryRequest {
    /// The team on whose behalf the query runs.
    pub team: TeamId,
    /// The values of the template's parameters.
    #[serde(default)]
    pub parameters: ParameterSet,
    /// The time within which the answer is of use, in milliseconds; the template's at most.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

impl QueryRequest {
    /// Reads a body.
    ///
    /// # Errors
    /// The answer for the caller, which names what is wrong and where.
    pub fn parse(body: &[u8]) -> Result<Self, ErrorAnswer> {
        let refused = |reason: String| {
            let message = format!("the body is refused: {reason}");
            ErrorAnswer::not_run(ErrorCode::BadRequest, message)
        };
        // serde would also take a list with the members in their order.
        if body.trim_ascii_start().starts_with(b"[") {
            return Err(refused("allowed is an object with `team`".to_owned()));
        }
        serde_json::from_slice(body).map_err(|error| refused(error.to_string()))
    }
}

/// A `QueryPlan` is a query that may be admitted.
#[derive(Clone, Debug)]
pub struct QueryPlan {
    /// The template.
    pub template: Arc<QueryTemplate>,
    /// The team.
    pub team: Arc<TeamPolicy>,
    /// The checked values.
    pub values: ParameterSet,
    /// The canonical values as they go to targets.
    pub parameters: Bytes,
    /// The manifest that the query is pinned to.
    pub manifest: Arc<SnapshotManifest>,
    /// The positions of the asked shards in the manifest.
    pub shard_positions: Vec<usize>,
    /// The order among queries of a class at all relays: the arrival in microseconds since the
    /// Unix epoch. Clocks of entries that differ favour one entry a little and cost no correctness.
    pub order: u64,
    /// When the request came in.
    pub arrived_at: Instant,
    /// The time within which the answer is of use.
    pub deadline: TimeSpan,
}

impl QueryPlan {
    /// Makes the plan of a request that arrived at `arrived`.
    ///
    /// # Errors
    /// The answer for the caller: unknown template or team, wrong token, a parameter out of its
    /// bounds, or a service without a manifest. Nothing ran.
    pub fn build(
        view: &ConfigView,
        name: &str,
        request: QueryRequest,
        token: Option<&str>,
        arrived_at: Instant,
    ) -> Result<Self, ErrorAnswer> {
        let template = find_template(view, name)?;
        let team = find_team(view, &request.team, token)?;
        if !template.allows(&team.name) {
            return Err(ErrorAnswer::not_run(
                ErrorCode::Forbidden,
                format!("team {} may not use template {name}", team.name),
            ));
        }
        let values = template
            .bind(&team.name, request.parameters)
            .map_err(|error| ErrorAnswer::not_run(ErrorCode::BadRequest, error.to_string()))?;
        let deadline = match request.deadline_ms {
            Some(millis) => check_deadline(millis)?.min(template.deadline),
            None => template.deadline,
        };
        let manifest = find_manifest(view, &template)?;
        let positions = manifest
            .select(&template.shards, &values)
            .map_err(|error| ErrorAnswer::not_run(ErrorCode::BadRequest, error.to_string()))?;
        Ok(Self {
            parameters: Bytes::from(values.canonical_json()),
            template,
            team,
            values,
            manifest,
            shard_positions: positions,
            order: arrival_order(),
            arrived_at,
            deadline,
        })
    }

    /// Returns the same query pinned to another manifest of its service.
    ///
    /// # Errors
    /// Where the selection asks for shards that the manifest does not have.
    pub fn pinned_to(
        &self,
        manifest: Arc<SnapshotManifest>,
    ) -> Result<Self, alderhaven_core::errors::Error> {
        let positions = manifest.select(&self.template.shards, &self.values)?;
        Ok(Self {
            manifest,
            shard_positions: positions,
            ..self.clone()
        })
    }

    /// Gets the fingerprint of template and parameters.
    #[must_use]
    pub fn fingerprint(&self) -> RequestFingerprint {
        RequestFingerprint::of_canonical(self.template.name.as_str(), &self.parameters)
    }

    /// Gets the instant at which the answer is of no more use.
    #[must_use]
    pub fn expires_at(&self) -> Instant {
        self.arrived_at + self.deadline.as_duration()
    }
}

fn arrival_order() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| TimeSpan::from(elapsed).as_micros())
}

/// Checks a caller's deadline against the bounds of templates' deadlines.
fn check_deadline(millis: u64) -> Result<TimeSpan, ErrorAnswer> {
    let (least, most) = (MIN_DEADLINE.as_millis(), MAX_DEADLINE.as_millis());
    if (least..=most).contains(&millis) {
        return Ok(TimeSpan::from_millis(millis));
    }
    Err(ErrorAnswer::not_run(
        ErrorCode::BadRequest,
        format!("deadline_ms: {millis} is refused: allowed is {least} to {most}"),
    ))
}

fn find_template(view: &ConfigView, name: &str) -> Result<Arc<QueryTemplate>, ErrorAnswer> {
    name.parse::<TemplateName>()
        .ok()
        .and_then(|name| view.templates.get(&name).cloned())
        .ok_or_else(|| {
            ErrorAnswer::not_run(ErrorCode::NotFound, format!("there is no template {name}"))
        })
}

fn find_team(
    view: &ConfigView,
    name: &TeamId,
    token: Option<&str>,
) -> Result<Arc<TeamPolicy>, ErrorAnswer> {
    let team = view.teams.get(name).cloned().ok_or_else(|| {
        ErrorAnswer::not_run(ErrorCode::NotFound, format!("there is no team {name}"))
    })?;
    if team.accepts_token(token) {
        Ok(team)
    } else {
        Err(ErrorAnswer::not_run(
            ErrorCode::Unauthorized,
            format!("team {name} needs its bearer token"),
        ))
    }
}

fn find_manifest(
    view: &ConfigView,
    template: &QueryTemplate,
) -> Result<Arc<SnapshotManifest>, ErrorAnswer> {
    view.manifests
        .get(&template.service)
        .cloned()
        .ok_or_else(|| {
            ErrorAnswer::not_run(
                ErrorCode::Unavailable,
                format!("service {} has no manifest yet", template.service),
            )
        })
}
