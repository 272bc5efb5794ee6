//! Once all faults are over callers are served.

use alderhaven_core::time::TimeSpan;

use crate::history_index::{self, HistoryIndex};
use crate::promises::{PromiseKind, Violation};
use crate::soak_history::{RequestOutcome, RequestRecord};

/// The span at the end of a run whose requests are counted; the faults are over some seconds before.
const RECOVERY_WINDOW: TimeSpan = TimeSpan::from_millis(2_500);
/// The share of them that is to be answered with success. What is left are requests at the very end,
/// and those on routes that were taken away.
const MIN_SERVED_SHARE: f64 = 0.6;
/// The fewest requests that tell something.
const MIN_REQUESTS: usize = 10;

/// Checks the last seconds of a run that has ended.
#[must_use]
pub fn check(index: &HistoryIndex) -> Vec<Violation> {
    let from = history_index::time_before(index.now, RECOVERY_WINDOW);
    let requests = index.history.requests.values();
    let counted: Vec<&RequestRecord> = requests.filter(|request| request.sent_at >= from).collect();
    let served = counted.iter().filter(|request| is_served(request)).count();
    let share = served as f64 / counted.len().max(1) as f64;
    if counted.len() >= MIN_REQUESTS && share >= MIN_SERVED_SHARE {
        return Vec::new();
    }
    let observed = format!("{served} of {} served at the end", counted.len());
    vec![Violation::new(PromiseKind::Recovery, "all", observed)]
}

fn is_served(request: &RequestRecord) -> bool {
    request.end.as_ref().is_some_and(|end| match &end.outcome {
        RequestOutcome::Answered(answer) => answer.is_success(),
        _ => false,
    })
}
