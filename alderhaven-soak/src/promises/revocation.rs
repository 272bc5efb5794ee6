//! Checks that requests with a removed key don't run once the bound has passed, on any front,
//! disrupted or not.

use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::history_index::HistoryIndex;
use crate::promises::{PromiseKind, Violation};
use crate::soak_history::{DisruptionSubject, RESTORE_KIND, RequestRecord};
use crate::soak_plan::MAX_COPY_AGE_MS;

/// Checks the requests that ran.
#[must_use]
pub fn check(index: &HistoryIndex) -> Vec<Violation> {
    let bounds = index.history.team_bounds.as_ref();
    let Some(bounds) = bounds.filter(|bounds| bounds.is_revoke_strict) else {
        return Vec::new();
    };
    let bound = TimeSpan::from_millis(bounds.revoke_ms);
    let requests = index.history.requests.iter();
    let violations = requests.filter_map(|(id, request)| {
        let observed = check_request(index, id, request, bound)?;
        Some(Violation::new(PromiseKind::Revocation, id, observed))
    });
    violations.collect()
}

fn check_request(
    index: &HistoryIndex,
    id: &str,
    request: &RequestRecord,
    bound: TimeSpan,
) -> Option<String> {
    if request.kind.is_open() {
        return None;
    }
    let removed_at = index.key_history(request)?.removed_at?;
    if request.sent_at <= removed_at + bound || was_lost(index, removed_at, request.sent_at, bound)
    {
        return None;
    }
    let run = index.arrivals(id).iter().find(|arrival| arrival.is_run)?;
    let is_undisrupted = index.is_undisrupted(&DisruptionSubject::Machine, request.sent_at, run.at);
    is_undisrupted.then(|| {
        let after = request.sent_at.since(removed_at);
        format!(
            "ran on {} though sent {after} after the removal",
            run.target
        )
    })
}

/// Returns true if the store may have lost the removal, and the operator has repeated it less than
/// the bound ago. Until then the key may be valid in the store.
fn was_lost(
    index: &HistoryIndex,
    removed_at: TimePoint,
    sent_at: TimePoint,
    bound: TimeSpan,
) -> bool {
    let mut disruptions = index.history.disruptions.iter();
    disruptions.any(|disruption| {
        disruption.kind == RESTORE_KIND
            && disruption.from >= removed_at
            && disruption.from.since(removed_at) <= TimeSpan::from_millis(MAX_COPY_AGE_MS)
            && disruption
                .until
                .is_none_or(|until| sent_at <= until + bound)
    })
}
