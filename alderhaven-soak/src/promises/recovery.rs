//! Checks that requests are served again after all faults have ended.

use alderhaven_core::time::TimeSpan;

use crate::history_index::{self, HistoryIndex};
use crate::promises::{PromiseKind, Violation};
use crate::soak_history::{RequestOutcome, RequestRecord, SoakHistory};

/// The period at the end of a run whose requests are counted. The last fault ends before it, with
/// time to recover.
const RECOVERY_WINDOW: TimeSpan = TimeSpan::from_millis(2_500);
/// The share of them that must succeed. The others are allowed for requests still in flight and for
/// routes that were removed.
const MIN_SERVED_SHARE: f64 = 0.6;
/// The fewest requests that must have been sent in that period.
const MIN_REQUESTS: usize = 10;

/// Checks the requests at the end of a run that is over.
#[must_use]
pub fn check(index: &HistoryIndex) -> Vec<Violation> {
    let from = history_index::time_before(index.now, RECOVERY_WINDOW);
    let requests = index.history.requests.values();
    let counted =
        requests.filter(|request| request.sent_at >= from && may_be_served(index.history, request));
    let counted: Vec<&RequestRecord> = counted.collect();
    let served = counted.iter().filter(|request| is_served(request)).count();
    let share = served as f64 / counted.len().max(1) as f64;
    if counted.len() >= MIN_REQUESTS && share >= MIN_SERVED_SHARE {
        return Vec::new();
    }
    let observed = format!(
        "{served} of {} requests at the end were served",
        counted.len()
    );
    vec![Violation::new(PromiseKind::Recovery, "all", observed)]
}

/// Returns true if nothing but a fault stands against a request: its key is valid and its team has
/// no limit.
fn may_be_served(history: &SoakHistory, request: &RequestRecord) -> bool {
    if history.team_bounds.is_none() || request.kind.is_open() {
        return true;
    }
    let key = request.credential.key();
    let latest = history.configs.last();
    let team = key.and_then(|key| latest?.team_of(key));
    team.is_some_and(|team| !team.is_limited())
}

fn is_served(request: &RequestRecord) -> bool {
    request.end.as_ref().is_some_and(|end| match &end.outcome {
        RequestOutcome::Answered(answer) => answer.is_success(),
        _ => false,
    })
}
