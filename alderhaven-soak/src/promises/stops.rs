//! Checks that fronts abort no request that a target answers, and that their processes end only if
//! they are stopped or killed.

use alderhaven_core::time::TimePoint;

use crate::history_index::HistoryIndex;
use crate::promises::{PromiseKind, Violation};
use crate::soak_history::{
    ArrivalRecord, DisruptionSubject, ProcessRecord, RequestOutcome, RequestRecord,
};

/// The status of a request whose time is over.
const TIMED_OUT: u16 = 504;
/// The share of its timeout after which a request may have timed out.
const TIMED_OUT_SHARE: f64 = 0.9;

/// Checks the requests whose connections were closed, and the ends of processes.
#[must_use]
pub fn check(index: &HistoryIndex) -> Vec<Violation> {
    let requests = index.history.requests.iter();
    let cut_requests = requests.filter_map(|(id, request)| check_request(index, id, request));
    let processes = index.history.processes.iter();
    cut_requests
        .chain(processes.filter_map(check_process))
        .collect()
}

fn check_request(index: &HistoryIndex, id: &str, request: &RequestRecord) -> Option<Violation> {
    let end = request.end.as_ref()?;
    let process = index.process_at(request.front, request.sent_at)?;
    let is_stopping = process.stop_requested_at.is_some();
    let action = match &end.outcome {
        RequestOutcome::Closed => "closed the connection",
        // The answer to what is unfinished at the end of a stop.
        RequestOutcome::Answered(answer)
            if answer.status == TIMED_OUT && is_stopping && !has_timed_out(request, end.at) =>
        {
            "gave the request up"
        }
        _ => return None,
    };
    let is_front_undisrupted = !process.is_killed
        && index.is_undisrupted(
            &DisruptionSubject::Front(request.front),
            request.sent_at,
            end.at,
        );
    // An undisrupted target was sending the answer or had sent it.
    let is_answered_undisrupted = |arrival: &&&ArrivalRecord| {
        let subject = DisruptionSubject::Target(arrival.target.clone());
        arrival.is_answered && index.is_undisrupted(&subject, request.sent_at, end.at)
    };
    let arrival = index.arrivals(id).iter().find(is_answered_undisrupted)?;
    is_front_undisrupted.then(|| {
        let phase = if is_stopping {
            "during its stop"
        } else {
            "while it served"
        };
        let observed = format!(
            "{} {action} {phase} although {} answers",
            request.front, arrival.target
        );
        Violation::new(PromiseKind::NothingCut, id, observed)
    })
}

fn has_timed_out(request: &RequestRecord, at: TimePoint) -> bool {
    at.since(request.sent_at) >= request.timeout.mul_f64(TIMED_OUT_SHARE)
}

fn check_process(process: &ProcessRecord) -> Option<Violation> {
    let ended_unasked =
        process.ended_at.is_some() && !process.is_killed && process.stop_requested_at.is_none();
    ended_unasked.then(|| {
        let front = process.front.to_string();
        Violation::new(
            PromiseKind::ProcessLives,
            &front,
            "the process ended without being stopped or killed",
        )
    })
}
