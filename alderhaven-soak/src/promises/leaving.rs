//! A target that leaves gets no work after some seconds.

use crate::history_index::HistoryIndex;
use crate::promises::{PromiseKind, Violation};
use crate::soak_history::{ArrivalRecord, TroubleSubject};
use crate::target_crew::DRAIN;

/// Checks a request that reached a target, which may be leaving.
#[must_use]
pub fn check_arrival(index: &HistoryIndex, arrival: &ArrivalRecord) -> Option<Violation> {
    let mut leavings = index.history.leavings.iter();
    let (_, said) = leavings.find(|(target, _)| *target == arrival.target)?;
    let request = index.request(arrival)?;
    let subject = TroubleSubject::Target(arrival.target.clone());
    let is_held = arrival.at > *said + DRAIN
        && index.is_front_calm(request.front, *said, arrival.at)
        && index.is_store_calm(*said, arrival.at)
        && index.is_calm(&subject, *said, arrival.at);
    is_held.then(|| {
        let after = arrival.at.since(*said);
        let seen = format!("{} came {after} after it was leaving", arrival.request_id);
        Violation::new(PromiseKind::LeavingLeftAlone, &arrival.target, seen)
    })
}
