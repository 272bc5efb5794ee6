//! Fronts cut no request that they have sent to a target, and end only where they are told to.

use crate::history_index::HistoryIndex;
use crate::promises::{PromiseKind, Violation};
use crate::soak_history::{
    ArrivalRecord, DisruptionSubject, ProcessRecord, RequestOutcome, RequestRecord,
};

/// Checks the requests whose connections were closed, and the ends of processes.
#[must_use]
pub fn check(index: &HistoryIndex) -> Vec<Violation> {
    let requests = index.history.requests.iter();
    let cut = requests.filter_map(|(id, request)| check_request(index, id, request));
    let lives = index.history.processes.iter();
    cut.chain(lives.filter_map(check_process)).collect()
}

fn check_request(index: &HistoryIndex, id: &str, request: &RequestRecord) -> Option<Violation> {
    let end = request.end.as_ref()?;
    if !matches!(end.outcome, RequestOutcome::Closed) {
        return None;
    }
    let life = index.process_at(request.front, request.sent_at)?;
    let is_front_sound = !life.is_killed
        && index.is_undisrupted(
            &DisruptionSubject::Front(request.front),
            request.sent_at,
            end.at,
        );
    // The answer of a sound target was under way, or was there.
    let is_sound = |arrival: &&&ArrivalRecord| {
        let subject = DisruptionSubject::Target(arrival.target.clone());
        arrival.is_answered && index.is_undisrupted(&subject, request.sent_at, end.at)
    };
    let arrival = index.arrivals(id).iter().find(is_sound)?;
    is_front_sound.then(|| {
        let asked = if life.stop_requested_at.is_some() {
            "during its stop"
        } else {
            "while it served"
        };
        let seen = format!(
            "{} cut it {asked}, sent to {}",
            request.front, arrival.target
        );
        Violation::new(PromiseKind::NothingCut, id, seen)
    })
}

fn check_process(life: &ProcessRecord) -> Option<Violation> {
    let is_alone = life.ended_at.is_some() && !life.is_killed && life.stop_requested_at.is_none();
    is_alone.then(|| {
        let front = life.front.to_string();
        Violation::new(PromiseKind::ProcessLives, &front, "it ended by itself")
    })
}
