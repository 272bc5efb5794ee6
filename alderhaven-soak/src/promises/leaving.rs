//! A target that leaves gets no work after some seconds.

use crate::history_index::HistoryIndex;
use crate::promises::{PromiseKind, Violation};
use crate::soak_history::{ArrivalRecord, DisruptionSubject};
use crate::target_fleet::DRAIN_TIME;

/// Checks a request that reached a target, which may be leaving.
#[must_use]
pub fn check_arrival(index: &HistoryIndex, arrival: &ArrivalRecord) -> Option<Violation> {
    let mut leavings = index.history.leaving_targets.iter();
    let (_, said) = leavings.find(|(target, _)| *target == arrival.target)?;
    let request = index.request(arrival)?;
    let subject = DisruptionSubject::Target(arrival.target.clone());
    let is_held = arrival.at > *said + DRAIN_TIME
        && index.is_front_undisrupted(request.front, *said, arrival.at)
        && index.is_store_undisrupted(*said, arrival.at)
        && index.is_undisrupted(&subject, *said, arrival.at);
    is_held.then(|| {
        let after = arrival.at.since(*said);
        let seen = format!("{} came {after} after it was leaving", arrival.request_id);
        Violation::new(PromiseKind::LeavingLeftAlone, &arrival.target, seen)
    })
}
