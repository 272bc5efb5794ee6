//! The promises to callers, targets and operators, and their checks against a recorded history.

use serde::Serialize;

use crate::history_index::HistoryIndex;
use crate::soak_options::PromiseScope;

pub mod answers;
pub mod at_most_once;
pub mod config;
pub mod crashing_requests;
pub mod deadlines;
pub mod evacuation;
pub mod leaving;
pub mod recovery;
pub mod repeat_budget;
pub mod revocation;
pub mod stops;
pub mod team_identity;
pub mod team_quota;
pub mod team_refusals;

/// A promise that is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PromiseKind {
    /// A caller gets the whole answer to its own request, and a target's failure with its own
    /// status.
    OwnAnswer,
    /// A merged answer contains the parts that it names. They are from the shards of one
    /// configuration, and enough of these are covered.
    TrueCoverage,
    /// A valid request is not rejected as invalid.
    NotDenied,
    /// A non-idempotent request runs at most once, and no request runs on more targets than
    /// allowed.
    AtMostOnce,
    /// A request that is refused as not run has not run and never will.
    NotRun,
    /// A target gets only requests that callers sent, unchanged.
    NothingInvented,
    /// A leaving target gets no requests after a time bound.
    LeavingLeftAlone,
    /// The targets of an evacuated failure domain get no requests after a time bound.
    EvacuatedLeftAlone,
    /// An accepted configuration is applied within a time bound.
    ConfigInForce,
    /// A process never reverts to an older configuration.
    ConfigKept,
    /// A front, also a stopping one, aborts no request that a target answers.
    NothingCut,
    /// The repeats of all fronts together stay within the budget.
    RepeatBudget,
    /// A target is told no more time than the caller has left.
    TimeLeft,
    /// A request ends within the caller's timeout.
    AnswerInTime,
    /// No attempt is sent for a caller that has disconnected.
    CallerGone,
    /// A process ends only if it is stopped or killed.
    ProcessLives,
    /// Targets see no key and only the team of the request's key, and no request without a valid key
    /// runs.
    TeamIdentity,
    /// All fronts together run no more requests of a team than its limit allows.
    TeamQuota,
    /// A request with a removed key does not run after a time bound.
    Revocation,
    /// A refused request of a team has not run, and a key that is always valid is not refused as
    /// unknown.
    TeamRefusal,
    /// A request that crashes each target that runs it is refused after a few retries.
    CrashBudget,
    /// No other request is refused for crashes.
    NotBlamed,
    /// Requests are served again after all faults have ended.
    Recovery,
}

/// A broken promise, with the evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The broken promise.
    pub promise: PromiseKind,
    /// The id of the request or target, the service or the front's host; `all` for the whole run.
    pub subject: String,
    /// What the history shows.
    #[serde(rename = "seen")]
    pub observed: String,
}

impl Violation {
    /// Creates the violation of a promise.
    #[must_use]
    pub fn new(promise: PromiseKind, subject: &str, observed: impl Into<String>) -> Self {
        Self {
            promise,
            subject: subject.to_owned(),
            observed: observed.into(),
        }
    }
}

/// Returns the violations in a history. Recovery is only checked if the run is over.
#[must_use]
pub fn check(index: &HistoryIndex, scope: PromiseScope, is_over: bool) -> Vec<Violation> {
    let mut violations = answers::check(index);
    violations.extend(at_most_once::check(index));
    violations.extend(config::check_no_regression(index));
    violations.extend(stops::check(index));
    violations.extend(team_identity::check(index));
    violations.extend(team_refusals::check(index));
    violations.extend(crashing_requests::check_sound(index));
    if scope == PromiseScope::Untimed {
        return violations;
    }
    violations.extend(config::check_in_force(index));
    for arrival in &index.history.arrivals {
        violations.extend(leaving::check_arrival(index, arrival));
        violations.extend(evacuation::check_arrival(index, arrival));
    }
    violations.extend(repeat_budget::check(index));
    violations.extend(deadlines::check(index));
    violations.extend(revocation::check(index));
    violations.extend(crashing_requests::check_late_retries(index));
    violations.extend(team_quota::check(index));
    if is_over {
        violations.extend(recovery::check(index));
    }
    violations
}
