//! Tests of the limit on open connections.

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_intake::connection_limit::ConnectionLimit;

/// Guards against a connection that waits and isn't told to close when a new one takes its place.
#[test]
fn admit_closes_the_replaced_connection() {
    let limit = ConnectionLimit::new(2, ProcessClock::default());
    let first = limit.admit().expect("there is room");
    let running = limit.admit().expect("there is room");
    let _run = running.begin_run();
    let third = limit.admit().expect("the first one gives way");
    assert!(first.closing().is_cancelled());
    assert!(!running.closing().is_cancelled());
    drop(first);
    assert_eq!(limit.figures().open, 2);
    drop(third);
    assert_eq!(limit.figures().open, 1);
}

/// Guards against a limit that counts closed connections.
#[test]
fn admit_refuses_while_all_run() {
    let limit = ConnectionLimit::new(1, ProcessClock::default());
    let running = limit.admit().expect("there is room");
    running.protect();
    assert!(limit.admit().is_none());
    drop(running);
    assert!(limit.admit().is_some());
    let figures = limit.figures();
    assert_eq!((figures.open, figures.refused), (0, 1));
}
