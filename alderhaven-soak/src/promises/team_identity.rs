//! Checks that targets see no key and only the right team, and that requests without a valid key
//! don't run.

use crate::history_index::HistoryIndex;
use crate::promises::{PromiseKind, Violation};
use crate::soak_history::{ArrivalRecord, RequestRecord};

/// Checks the arrivals of a run with teams.
#[must_use]
pub fn check(index: &HistoryIndex) -> Vec<Violation> {
    if index.history.team_bounds.is_none() {
        return Vec::new();
    }
    let arrivals = index.history.arrivals.iter();
    arrivals
        .filter_map(|arrival| {
            let request = index.request(arrival)?;
            let observed = check_arrival(index, request, arrival)?;
            let subject = &arrival.request_id;
            Some(Violation::new(PromiseKind::TeamIdentity, subject, observed))
        })
        .collect()
}

fn check_arrival(
    index: &HistoryIndex,
    request: &RequestRecord,
    arrival: &ArrivalRecord,
) -> Option<String> {
    let target = &arrival.target;
    if arrival.has_key {
        return Some(format!("a key reached {target}"));
    }
    let team = index.team_of(request);
    let teams: Vec<&str> = arrival.teams.iter().map(String::as_str).collect();
    match (team, teams.as_slice()) {
        // An open route needs no key, and a front may leave its requests without a team.
        (_, []) if request.kind.is_open() => None,
        (Some(team), [told]) if *told == team => None,
        (None, _) if !request.kind.is_open() => Some(format!(
            "reached {target} without a key that was ever valid"
        )),
        _ => Some(format!("team {team:?} arrived at {target} as {teams:?}")),
    }
}
