//! The promises, held against what was seen.

use serde::Serialize;

use crate::history_index::HistoryIndex;
use crate::soak_options::PromiseScope;

pub mod answers;
pub mod at_most_once;
pub mod config;
pub mod deadlines;
pub mod evacuation;
pub mod leaving;
pub mod recovery;
pub mod repeat_budget;
pub mod stops;

/// A `PromiseKind` is one of the promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PromiseKind {
    /// A caller gets the whole answer to its own request.
    OwnAnswer,
    /// A merged answer holds the parts that it names, from the shards of one configuration, and enough
    /// of them.
    TrueCoverage,
    /// A proper request is not called wrong.
    NotDenied,
    /// A request that is not idempotent runs once at most, and no request on more targets than allowed.
    AtMostOnce,
    /// What is said not to have run has not, and never will.
    NotRun,
    /// A target gets only what callers sent, unchanged.
    NothingInvented,
    /// A target that leaves gets no work after some seconds.
    LeavingLeftAlone,
    /// The targets of an evacuated failure domain get no work after some seconds.
    EvacuatedLeftAlone,
    /// An accepted configuration is in force within seconds.
    ConfigInForce,
    /// A process never goes back to an older configuration.
    ConfigKept,
    /// A front that serves or is asked to stop cuts no request that it has sent to a target.
    NothingCut,
    /// Repeats stay within the budget that all fronts share.
    RepeatBudget,
    /// A target is told no more time than the caller has.
    TimeLeft,
    /// Callers get a final answer in time.
    AnswerInTime,
    /// Nothing is sent for a caller that has gone.
    CallerGone,
    /// A process ends only where it is told to.
    ProcessLives,
    /// Once all faults are over callers are served.
    Recovery,
}

/// A `Violation` is a promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The promise.
    pub promise: PromiseKind,
    /// The request, target or front.
    pub subject: String,
    /// What was seen.
    #[serde(rename = "seen")]
    pub observed: String,
}

impl Violation {
    /// Returns a broken promise.
    #[must_use]
    pub fn new(promise: PromiseKind, subject: &str, observed: impl Into<String>) -> Self {
        Self {
            promise,
            subject: subject.to_owned(),
            observed: observed.into(),
        }
    }
}

/// Gets the promises that a history breaks; `is_over` says that the run has ended.
#[must_use]
pub fn check(index: &HistoryIndex, scope: PromiseScope, is_over: bool) -> Vec<Violation> {
    let mut violations = answers::check(index);
    violations.extend(at_most_once::check(index));
    violations.extend(config::check_no_regression(index));
    violations.extend(stops::check(index));
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
    if is_over {
        violations.extend(recovery::check(index));
    }
    violations
}
