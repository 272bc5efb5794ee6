//! Whether an attempt that did not answer may be sent again.
//!
//! Load pattern: attempts end without an answer: shed, expired in a queue, failed, or lost with
//! their connection.
//!
//! Without it: an assignment whose connection broke is sent again and made twice; a retry goes to
//! the replica that just failed, or is sent when it can no longer be back in time.
//!
//! An attempt is repeated where it certainly did not run, or where running it twice does no harm,
//! never at a replica that was tried, and never where the time left is below the expected service
//! time. What expired in a relay's queue is judged by the time left like the rest: a slow target
//! expires what another replica still runs in time.
//!
//! The budget is for retries that add load: those of attempts that never reached a target are free.

use alderhaven_core::outcome::{AttemptOutcome, NotRunReason};
use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::retry_budget::RetryBudget;

/// A `RetryDecision` says what becomes of a shard whose attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// It is sent again, to a replica that was not tried.
    Retry,
    /// It is not sent again.
    GiveUp(GiveUpReason),
}

/// A `GiveUpReason` says why an attempt is not repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUpReason {
    /// It answered.
    Answered,
    /// It may have run and must not run twice.
    MayHaveRun,
    /// The query as a whole is over, or must not run anywhere.
    Final,
    /// The time left is too short.
    NoTime,
    /// Every replica was tried, or the shard was retried often enough.
    NoReplica,
    /// The budget of retries is used up.
    NoBudget,
}

/// An `EndedAttempt` is what the decision is made on.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Whether running it twice does no harm.
    pub is_idempotent: bool,
    /// How often the shard was retried so far.
    pub retries: u32,
    /// How many replicas are left that were not tried.
    pub untried_replicas: usize,
    /// The service time that is expected.
    pub expected_service_time: TimeSpan,
    /// The query's deadline.
    pub deadline: TimePoint,
}

/// Decides on an attempt that ended, and takes from the budget where it is sent again.
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
    if consumes_budget(attempt.outcome) && !budget.take(now) {
        return RetryDecision::GiveUp(GiveUpReason::NoBudget);
    }
    RetryDecision::Retry
}

/// Returns true where the retry comes on top of work, or of a refusal, at a target.
///
/// An attempt that never reached a target has cost none: sent elsewhere, it is the first one there.
/// When a failure domain is lost, a quarter of all attempts end so until the targets are ejected,
/// and a budget for them would leave shards uncovered that the other replicas can answer.
const fn consumes_budget(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::NotRun(
            NotRunReason::NotSent | NotRunReason::NoRoute | NotRunReason::Draining
        )
    )
}

/// Gets why the outcome itself rules out a retry, if it does.
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
