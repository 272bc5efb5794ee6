//! Checks that requests which crash targets are refused, and others are not refused for that.

use std::collections::BTreeMap;

use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::history_index::{HistoryIndex, SETTLING_TIME};
use crate::promises::{PromiseKind, Violation};
use crate::soak_history::RequestOutcome;
use crate::soak_workload;

/// The retries that may reach targets later than the settling time after the third crash.
const MAX_LATE_RETRIES: usize = 3;
/// Retry times from this on are those of refusals for crashes.
const CRASH_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(20);

/// Checks the crashing requests of a run.
#[must_use]
pub fn check_late_retries(index: &HistoryIndex) -> Vec<Violation> {
    let mut arrivals: BTreeMap<&str, Vec<(TimePoint, &str)>> = BTreeMap::new();
    for arrival in &index.history.arrivals {
        if arrival.is_run && soak_workload::crashes_targets(&arrival.path) {
            let of_path = arrivals.entry(&arrival.path).or_default();
            of_path.push((arrival.at, &arrival.request_id));
        }
    }
    let paths = arrivals.into_iter();
    paths
        .filter_map(|(path, arrivals)| check_path(index, path, &arrivals))
        .collect()
}

/// Counts attempts of callers through fronts that were in touch, while the store was stable.
fn check_path(
    index: &HistoryIndex,
    path: &str,
    arrivals: &[(TimePoint, &str)],
) -> Option<Violation> {
    let (third_crash, _) = arrivals.get(2)?;
    let settled_at = *third_crash + SETTLING_TIME;
    let mut late: Vec<&str> = arrivals
        .iter()
        .filter(|(at, id)| *at > settled_at && is_in_touch(index, id, *at))
        .map(|(_, id)| *id)
        .collect();
    late.sort_unstable();
    late.dedup();
    (late.len() > MAX_LATE_RETRIES).then(|| {
        let observed = format!("reached targets later in {}: {late:?}", late.len());
        Violation::new(PromiseKind::CrashBudget, path, observed)
    })
}

fn is_in_touch(index: &HistoryIndex, request_id: &str, at: TimePoint) -> bool {
    let request = index.history.requests.get(request_id);
    request.is_some_and(|request| {
        index.is_front_undisrupted(request.front, request.sent_at, at)
            && index.is_store_undisrupted(request.sent_at, at)
    })
}

/// Checks that no other request is refused for crashes.
#[must_use]
pub fn check_sound(index: &HistoryIndex) -> Vec<Violation> {
    let requests = index.history.requests.iter();
    let refused = requests.filter(|(_, request)| {
        let RequestOutcome::Answered(answer) = (match &request.end {
            Some(end) => &end.outcome,
            None => return false,
        }) else {
            return false;
        };
        let is_long = answer.retry_after >= Some(CRASH_RETRY_AFTER);
        answer.status == 503 && is_long && !soak_workload::crashes_targets(&request.path)
    });
    refused
        .map(|(id, request)| {
            let observed = format!("{} was refused for crashes", request.path);
            Violation::new(PromiseKind::NotBlamed, id, observed)
        })
        .collect()
}
