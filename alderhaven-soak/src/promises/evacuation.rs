//! Checks that the targets of an evacuated failure domain get no requests after a time bound.

use alderhaven_core::time::TimeSpan;

use crate::history_index::HistoryIndex;
use crate::promises::{PromiseKind, Violation};
use crate::soak_history::{ArrivalRecord, EvacuationRecord};
use crate::soak_workload;

/// The time within which an evacuation must take effect.
pub const EVACUATION_BOUND: TimeSpan = TimeSpan::from_secs(5);

/// Checks an arrival at a target whose failure domain may be evacuated.
#[must_use]
pub fn check_arrival(index: &HistoryIndex, arrival: &ArrivalRecord) -> Option<Violation> {
    let mut evacuations = index.history.evacuations.iter();
    let evacuation = evacuations.find(|evacuation| is_in_force(evacuation, arrival))?;
    let request = index.request(arrival)?;
    let is_violated = index.is_front_undisrupted(request.front, evacuation.accepted_at, arrival.at)
        && index.is_store_undisrupted(evacuation.accepted_at, arrival.at);
    is_violated.then(|| {
        let after = arrival.at.since(evacuation.accepted_at);
        let observed = format!(
            "{} arrived {after} after the evacuation",
            arrival.request_id
        );
        Violation::new(PromiseKind::EvacuatedLeftAlone, &arrival.target, observed)
    })
}

fn is_in_force(evacuation: &EvacuationRecord, arrival: &ArrivalRecord) -> bool {
    let is_over = evacuation.revoked_at.is_some_and(|over| arrival.at >= over);
    evacuation.domain == soak_workload::target_domain(&arrival.target)
        && arrival.at > evacuation.accepted_at + EVACUATION_BOUND
        && !is_over
}
