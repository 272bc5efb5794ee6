//! Checks that a leaving target gets no requests after the drain time.

use crate::history_index::HistoryIndex;
use crate::promises::{PromiseKind, Violation};
use crate::soak_history::{ArrivalRecord, DisruptionSubject};
use crate::target_fleet::DRAIN_TIME;

/// Checks an arrival at a target that may be leaving.
#[must_use]
pub fn check_arrival(index: &HistoryIndex, arrival: &ArrivalRecord) -> Option<Violation> {
    let mut leaving_targets = index.history.leaving_targets.iter();
    let (_, leaving_since) = leaving_targets.find(|(target, _)| *target == arrival.target)?;
    let request = index.request(arrival)?;
    let subject = DisruptionSubject::Target(arrival.target.clone());
    let is_violated = arrival.at > *leaving_since + DRAIN_TIME
        && index.is_front_undisrupted(request.front, *leaving_since, arrival.at)
        && index.is_store_undisrupted(*leaving_since, arrival.at)
        && index.is_undisrupted(&subject, *leaving_since, arrival.at);
    is_violated.then(|| {
        let after = arrival.at.since(*leaving_since);
        let observed = format!(
            "{} arrived {after} after the target reported that it is leaving",
            arrival.request_id
        );
        Violation::new(PromiseKind::LeavingLeftAlone, &arrival.target, observed)
    })
}
