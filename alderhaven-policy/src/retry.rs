//! Decides whether a failed attempt is retried at another replica.
//!
//! An attempt is retried only if it certainly didn't run or if it is idempotent, never at a replica
//! that was tried, and never if the remaining time is shorter than the expected service time.
//! Retries take from [`RetryBudget`], except those of attempts that were not sent, had no route or
//! met a draining target, which add no load.

use alderhaven_core::outcome::{AttemptOutcome, NotRunReason};
use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::retry_budget::RetryBudget;

/// Decision on a shard whose attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Send the attempt to a replica that was not tried.
    Retry,
    /// Don't retry.
    GiveUp(GiveUpReason),
}

/// Why an attempt is not retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUpReason {
    /// It was answered.
    Answered,
    /// It may have run and is not idempotent.
    MayHaveRun,
    /// The query was cancelled or is quarantined, so that no attempt may run.
    Final,
    /// The remaining time is shorter than the expected service time.
    NoTime,
    /// All replicas were tried, or the shard has reached its limit of retries.
    NoReplica,
    /// The retry budget is used up.
    NoBudget,
}

/// An attempt that ended, with the state of its shard.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Whether the query may run twice.
    pub is_idempotent: bool,
    /// Number of retries of the shard so far, as
    /// [`QueryGather::retries`](crate::query_gather::QueryGather::retries) counts them.
    pub retries: u32,
    /// Number of replicas of the shard that were not tried.
    pub untried_replicas: usize,
    /// Expected time of a retry at its target.
    pub expected_service_time: TimeSpan,
    /// Deadline of the query.
    pub deadline: TimePoint,
}

/// Decides whether to retry an attempt, and takes from the budget if the retry adds load.
pub fn decide(attempt: EndedAttempt, budget: &mut RetryBudget, now: TimePoint) -> RetryDecision {
    if let Some(reason) = give_up_reason(attempt) {
        return RetryDecision::GiveUp(reason);
    }
    let remaining = now.until(attempt.deadline);
    if remaining == TimeSpan::ZERO || remaining < attempt.expected_service_time {
        return RetryDecision::GiveUp(GiveUpReason::NoTime);
    }
    if attempt.untried_replicas == 0 || attempt.retries >= budget.options().max_per_shard {
        return RetryDecision::GiveUp(GiveUpReason::NoReplica);
    }
    if !adds_no_load(attempt.outcome) && !budget.take(now) {
        return RetryDecision::GiveUp(GiveUpReason::NoBudget);
    }
    RetryDecision::Retry
}

/// Returns true if an attempt with this outcome has put no load on a target, so that a retry takes
/// nothing from the budget.
///
/// An attempt that was not sent, had no route or met a draining target has put no load on a target.
/// When a failure domain is lost, many attempts end like this until its targets are ejected; if
/// their retries used up the budget, shards that other replicas can answer would stay uncovered.
pub(crate) const fn adds_no_load(outcome: AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::NotRun(
            NotRunReason::NotSent | NotRunReason::NoRoute | NotRunReason::Draining
        )
    )
}

/// Returns why the outcome itself rules out a retry, if it does.
fn give_up_reason(attempt: EndedAttempt) -> Option<GiveUpReason> {
    match attempt.outcome {
        AttemptOutcome::Answered => Some(GiveUpReason::Answered),
        AttemptOutcome::Failed | AttemptOutcome::Unknown | AttemptOutcome::VersionGone => {
            (!attempt.is_idempotent).then_some(GiveUpReason::MayHaveRun)
        }
        AttemptOutcome::NotRun(reason) => match reason {
            NotRunReason::NotSent
            | NotRunReason::Shed
            | NotRunReason::Draining
            | NotRunReason::Expired
            | NotRunReason::QueueFull
            | NotRunReason::NoRoute => None,
            NotRunReason::Cancelled | NotRunReason::Quarantined => Some(GiveUpReason::Final),
        },
    }
}
