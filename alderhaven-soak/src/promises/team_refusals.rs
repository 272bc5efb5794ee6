//! Checks that refused requests of teams never ran, and that no key is refused that every
//! configuration of the run holds.

use crate::history_index::HistoryIndex;
use crate::promises::{PromiseKind, Violation};
use crate::soak_history::RequestRecord;

/// The status for a key that is unknown, missing, malformed or sent twice.
const UNKNOWN_KEY_STATUS: u16 = 401;
/// The statuses with which a front refuses a request without running it.
const REFUSAL_STATUSES: [u16; 3] = [UNKNOWN_KEY_STATUS, 429, 503];

/// Checks the refused requests of a run with teams.
#[must_use]
pub fn check(index: &HistoryIndex) -> Vec<Violation> {
    if index.history.team_bounds.is_none() {
        return Vec::new();
    }
    let requests = index.history.requests.iter();
    let violations = requests.filter_map(|(id, request)| {
        let observed = check_request(index, id, request)?;
        Some(Violation::new(PromiseKind::TeamRefusal, id, observed))
    });
    violations.collect()
}

fn check_request(index: &HistoryIndex, id: &str, request: &RequestRecord) -> Option<String> {
    let status = request.status()?;
    let run = index.arrivals(id).iter().find(|arrival| arrival.is_run);
    if let Some(run) = run.filter(|_| REFUSAL_STATUSES.contains(&status)) {
        return Some(format!("got {status} and ran on {}", run.target));
    }
    if status != UNKNOWN_KEY_STATUS {
        return None;
    }
    if request.kind.is_open() {
        return Some(format!("got {status} on a route that is open to all"));
    }
    let key = index.key_history(request)?;
    let is_always_valid = key.config_count == index.history.configs.len();
    is_always_valid.then(|| {
        format!(
            "got {status} with a key of {} that is always valid",
            key.team
        )
    })
}
