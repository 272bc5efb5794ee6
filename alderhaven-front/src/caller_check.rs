//! Determines the team that sends a request, and refuses requests without a valid key.

use std::sync::Arc;

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::config_lease::LeaseStatus;
use alderhaven_policy::key_verdict;
use alderhaven_policy::key_verdict::KeyVerdict;
use http::request::Parts;
use log::Level;

use crate::caller_identity::CallerIdentity;
use crate::catalog_view::{CatalogView, LiveRoute};
use crate::front_answer::{BadRequest, FrontAnswer, RefusalReason};
use crate::front_context::FrontContext;
use crate::front_event::FrontEvent;
use crate::key_fault::KeyFault;
use crate::known_team::KnownTeam;
use crate::request_refusal;
use crate::request_refusal::RequestRefusal;

/// The minimum `Retry-After` of a front whose lease doesn't allow a decision on a key. Another front
/// may have a newer proof, and this one queries again within a second.
const LEASE_RETRY_MIN: TimeSpan = TimeSpan::from_millis(150);
/// The maximum random addition to [`LEASE_RETRY_MIN`].
const LEASE_RETRY_JITTER: TimeSpan = TimeSpan::from_millis(350);

/// Determines who sent a request, and removes the key from its head.
///
/// `lease` is the status that the lease had before the view was read.
///
/// # Errors
/// The answer to a caller that is not served.
pub(crate) fn identify_caller(
    context: &FrontContext,
    view: &CatalogView,
    route: &LiveRoute,
    lease: LeaseStatus,
    head: &mut Parts,
    request_id: &str,
) -> Result<CallerIdentity, Box<FrontAnswer>> {
    let Some(teams) = &view.teams else {
        return Ok(CallerIdentity::Undetermined);
    };
    let key = context.dialect.take_caller_key(head);
    if route.rule.is_open {
        return Ok(CallerIdentity::Anyone);
    }
    let team = key.and_then(|key| teams.find(&key).ok_or(KeyFault::Unknown));
    if let Ok(team) = team {
        context.metrics.teams.observe_request(&team.name);
    }
    let reason = match key_verdict::judge_key(team, lease) {
        KeyVerdict::Accepted(team) => return Ok(CallerIdentity::Team(Arc::clone(team))),
        KeyVerdict::Refused(fault) => {
            return Err(Box::new(refuse_key(context, route, request_id, fault)));
        }
        KeyVerdict::Unconfirmed => RefusalReason::KeyUnconfirmed,
        KeyVerdict::LeaseEnded => RefusalReason::LeaseEnded,
    };
    let team = team.ok().map(Arc::as_ref);
    let answer = refuse_undecided(context, route, request_id, reason, team, lease);
    Err(Box::new(answer))
}

fn refuse_key(
    context: &FrontContext,
    route: &LiveRoute,
    request_id: &str,
    fault: KeyFault,
) -> FrontAnswer {
    context.metrics.observe_refusal(RefusalReason::UnknownKey);
    let reason = BadRequest::UnknownKey;
    FrontEvent::RequestInvalid {
        request: request_id.to_owned(),
        reason,
        version: route.version,
        key: Some(fault),
    }
    .emit(Level::Info);
    FrontAnswer::BadRequest(reason)
}

fn refuse_undecided(
    context: &FrontContext,
    route: &LiveRoute,
    request_id: &str,
    reason: RefusalReason,
    team: Option<&KnownTeam>,
    lease: LeaseStatus,
) -> FrontAnswer {
    let refusal = RequestRefusal {
        request: request_id,
        reason,
        retry_after: request_refusal::spread_retry(LEASE_RETRY_MIN, LEASE_RETRY_JITTER),
        team: team.map(|team| &team.name),
        version: Some(route.version),
        lease: Some(lease),
    };
    refusal.answer_not_run(&context.metrics, Level::Warn)
}
