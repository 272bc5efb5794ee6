//! Checks that requests end in time, that targets are told the remaining time, and that no attempt
//! is sent for a caller that has disconnected.

use alderhaven_core::time::TimeSpan;

use crate::history_index::HistoryIndex;
use crate::promises::{PromiseKind, Violation};
use crate::soak_history::{ArrivalRecord, DisruptionSubject, RequestOutcome, RequestRecord};

/// The tolerance of all time bounds, for transfer and scheduling delays.
const TIME_TOLERANCE: TimeSpan = TimeSpan::from_millis(500);

/// Checks the ends of requests, and the arrivals at targets.
#[must_use]
pub fn check(index: &HistoryIndex) -> Vec<Violation> {
    let requests = index.history.requests.iter();
    let late_answers = requests.filter_map(|(id, request)| check_request(index, id, request));
    let arrivals = index.history.arrivals.iter();
    let arrivals = arrivals.filter_map(|arrival| check_arrival(index, arrival));
    late_answers.chain(arrivals).collect()
}

fn check_request(index: &HistoryIndex, id: &str, request: &RequestRecord) -> Option<Violation> {
    let end = request.end.as_ref()?;
    let elapsed = end.at.since(request.sent_at);
    let is_final = matches!(
        end.outcome,
        RequestOutcome::Answered(_) | RequestOutcome::Closed | RequestOutcome::Unanswered
    );
    let is_late = is_final && elapsed > request.timeout + TIME_TOLERANCE;
    let is_violated = is_late && index.is_front_undisrupted(request.front, request.sent_at, end.at);
    is_violated.then(|| {
        let observed = format!("a {} request took {elapsed}", request.kind);
        Violation::new(PromiseKind::AnswerInTime, id, observed)
    })
}

fn check_arrival(index: &HistoryIndex, arrival: &ArrivalRecord) -> Option<Violation> {
    let request = index.request(arrival)?;
    let subject = DisruptionSubject::Target(arrival.target.clone());
    let is_undisrupted = index.is_front_undisrupted(request.front, request.sent_at, arrival.at)
        && index.is_undisrupted(&subject, request.sent_at, arrival.at);
    if !is_undisrupted {
        return None;
    }
    let id = &arrival.request_id;
    let waited = arrival.at.since(request.sent_at);
    let remaining = request.timeout.saturating_sub(waited);
    if arrival
        .time_left
        .is_none_or(|time_left| time_left > remaining + TIME_TOLERANCE)
    {
        let observed = format!("told {:?}, but {remaining} was left", arrival.time_left);
        return Some(Violation::new(PromiseKind::TimeLeft, id, observed));
    }
    let end = request.end.as_ref()?;
    let is_abandoned = matches!(end.outcome, RequestOutcome::Abandoned);
    let is_late_arrival = is_abandoned && arrival.at > end.at + TIME_TOLERANCE;
    is_late_arrival.then(|| {
        let after = arrival.at.since(end.at);
        let observed = format!(
            "arrived at {} {after} after its caller disconnected",
            arrival.target
        );
        Violation::new(PromiseKind::CallerGone, id, observed)
    })
}
