//! Tests of every transition of a graceful shutdown.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::drain::DrainState::{Closing, Finishing, Leaving, Serving, Stopped};
use alderhaven_policy::drain::{DrainEvent, DrainOptions, DrainSequence, StopReason, StopReport};

fn at(secs: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_secs(secs)
}

fn stop_requested(secs: u64, in_flight: usize) -> DrainEvent {
    DrainEvent::StopRequested {
        now: at(secs),
        in_flight,
    }
}

fn ticked(secs: u64, in_flight: usize) -> DrainEvent {
    DrainEvent::Ticked {
        now: at(secs),
        in_flight,
    }
}

fn sequence_after(events: &[DrainEvent]) -> DrainSequence {
    let mut sequence = DrainSequence::new(DrainOptions::default());
    for event in events {
        sequence.handle(*event);
    }
    sequence
}

fn report(reason: StopReason, aborted: usize, secs: u64) -> StopReport {
    StopReport {
        reason,
        aborted_requests: aborted,
        elapsed: TimeSpan::from_secs(secs),
    }
}

#[test]
fn handle_serves_until_a_stop_is_requested() {
    let sequence = sequence_after(&[ticked(100, 0)]);
    assert_eq!(sequence.state(), Serving);
    assert!(sequence.takes_requests());
}

#[test]
fn handle_serves_for_the_directory_lifetime() {
    // Other nodes name the process for up to 3 s more, and callers keep that answer for 10 s: until
    // then they must not find the process closed.
    let sequence = sequence_after(&[stop_requested(100, 0), ticked(112, 0)]);
    assert_eq!(sequence.state(), Leaving);
    assert!(sequence.takes_requests());
    assert_eq!(sequence.report(), None);
}

#[test]
fn handle_finishes_what_is_in_flight() {
    let events = [stop_requested(100, 9), ticked(113, 2)];
    let sequence = sequence_after(&events);
    assert_eq!(sequence.state(), Finishing);
    assert!(!sequence.takes_requests());
    let sequence = sequence_after(&[events[0], events[1], ticked(114, 1)]);
    assert_eq!(sequence.state(), Finishing);
    let sequence = sequence_after(&[events[0], events[1], ticked(115, 0)]);
    assert_eq!(sequence.state(), Stopped);
    assert_eq!(sequence.report(), Some(report(StopReason::Finished, 0, 15)));
}

/// Guards against a second stop request that closes connections without an answer.
#[test]
fn handle_gives_final_answers_after_a_second_request() {
    let events = [stop_requested(100, 9), stop_requested(101, 7)];
    let sequence = sequence_after(&events);
    assert_eq!(sequence.state(), Closing);
    assert!(!sequence.takes_requests());
    assert_eq!(sequence.report(), None);
    // All of them are answered at once, or they have had the time for it.
    for in_flight in [0, 7] {
        let sequence = sequence_after(&[events[0], events[1], ticked(102, in_flight)]);
        assert_eq!(
            sequence.report(),
            Some(report(StopReason::AskedTwice, 7, 2))
        );
    }
    let sequence = sequence_after(&[events[0], events[1], ticked(101, 0)]);
    assert_eq!(
        sequence.report(),
        Some(report(StopReason::AskedTwice, 7, 1))
    );
    let sequence = sequence_after(&[
        stop_requested(100, 9),
        ticked(113, 4),
        stop_requested(114, 3),
        ticked(114, 1),
    ]);
    assert_eq!(sequence.state(), Closing);
    let sequence = sequence_after(&[
        stop_requested(100, 9),
        ticked(113, 4),
        stop_requested(114, 3),
        ticked(115, 1),
    ]);
    assert_eq!(sequence.state(), Stopped);
    assert_eq!(
        sequence.report(),
        Some(report(StopReason::AskedTwice, 3, 15))
    );
}

#[test]
fn handle_ends_at_once_at_a_third_request() {
    let events = [
        stop_requested(100, 9),
        stop_requested(101, 7),
        stop_requested(101, 7),
    ];
    let sequence = sequence_after(&events);
    assert_eq!(
        sequence.report(),
        Some(report(StopReason::AskedTwice, 7, 1))
    );
}

/// Guards against a limit that closes connections without an answer.
#[test]
fn handle_gives_final_answers_shortly_before_the_limit() {
    let before_limit = |in_flight| DrainEvent::Ticked {
        now: at(100) + DrainOptions::default().run_limit(),
        in_flight,
    };
    let events = [stop_requested(100, 9), ticked(113, 4), before_limit(3)];
    let sequence = sequence_after(&events);
    assert_eq!(sequence.state(), Closing);
    assert_eq!(sequence.report(), None);
    let sequence = sequence_after(&[events[0], events[1], events[2], ticked(160, 1)]);
    assert_eq!(
        sequence.report(),
        Some(report(StopReason::LimitReached, 3, 60))
    );
    // Requests that are still served when the time is over get the same.
    let sequence = sequence_after(&[events[0], events[2]]);
    assert_eq!(sequence.state(), Closing);
}

#[test]
fn handle_reports_requests_aborted_by_the_limit() {
    let sequence = sequence_after(&[stop_requested(100, 9), ticked(160, 5)]);
    assert_eq!(
        sequence.report(),
        Some(report(StopReason::LimitReached, 5, 60))
    );
    let sequence = sequence_after(&[stop_requested(100, 9), ticked(113, 4), ticked(160, 3)]);
    assert_eq!(
        sequence.report(),
        Some(report(StopReason::LimitReached, 3, 60))
    );
}

#[test]
fn handle_stays_stopped() {
    let events = [
        stop_requested(100, 9),
        stop_requested(101, 7),
        stop_requested(102, 1),
        stop_requested(103, 1),
        ticked(300, 0),
    ];
    let sequence = sequence_after(&events);
    assert_eq!(sequence.state(), Stopped);
    assert_eq!(
        sequence.report(),
        Some(report(StopReason::AskedTwice, 7, 2))
    );
}
