//! Plan of one query: validated parameters, the manifest it is pinned to, its shards and its
//! deadline.

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

/// Body of `POST /v1/query/{template}`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryRequest {
    /// The team for which the query runs.
    pub team: TeamId,
    /// Values of the template's parameters.
    #[serde(default)]
    pub parameters: ParameterSet,
    /// Time limit for the answer in milliseconds. The template's deadline is the maximum.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

impl QueryRequest {
    /// Parses the body of a request.
    ///
    /// # Errors
    /// `BadRequest`, with the position and the cause.
    pub fn parse(body: &[u8]) -> Result<Self, ErrorAnswer> {
        let refused = |reason: String| {
            let message = format!("the body is refused: {reason}");
            ErrorAnswer::not_run(ErrorCode::BadRequest, message)
        };
        // serde would also accept an array with the fields in order.
        if body.trim_ascii_start().starts_with(b"[") {
            return Err(refused("allowed is an object with `team`".to_owned()));
        }
        serde_json::from_slice(body).map_err(|error| refused(error.to_string()))
    }
}

/// A validated query, ready for admission.
#[derive(Clone, Debug)]
pub struct QueryPlan {
    /// The template that the query uses.
    pub template: Arc<QueryTemplate>,
    /// Policy of the team for which the query runs.
    pub team: Arc<TeamPolicy>,
    /// The validated parameters.
    pub values: ParameterSet,
    /// The parameters as canonical JSON, as they are sent to targets.
    pub parameters: Bytes,
    /// The manifest to which the query is pinned.
    pub manifest: Arc<SnapshotManifest>,
    /// Positions in the manifest of the shards to query.
    pub shard_positions: Vec<usize>,
    /// Sort key among queries of one class at all relays: the arrival time in microseconds since
    /// the Unix epoch. Clock differences between entries affect fairness, but not correctness.
    pub order: u64,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// Time limit for the answer, counted from the arrival.
    pub deadline: TimeSpan,
}

impl QueryPlan {
    /// Validates a request that arrived at `arrived_at` and plans it.
    ///
    /// # Errors
    /// The error for the caller: an unknown template or team, a wrong token, an invalid parameter,
    /// or a service without a manifest. Nothing ran.
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
    /// An error if the query selects shards that the manifest does not have.
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

    /// Returns the fingerprint of the template's name and the parameters.
    #[must_use]
    pub fn fingerprint(&self) -> RequestFingerprint {
        RequestFingerprint::of_canonical(self.template.name.as_str(), &self.parameters)
    }

    /// When the deadline passes.
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

/// Checks a caller's deadline against the allowed range of deadlines.
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
