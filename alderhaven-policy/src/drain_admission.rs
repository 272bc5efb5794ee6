//! Which requests a process that is stopping still takes.
//!
//! The load: callers keep the address of a process for longer than it may live on, and requests of
//! one route take from some milliseconds to seconds. A request that is cut after a target has begun
//! to run it is lost for its caller if it must not be repeated, while a refusal costs one more round
//! trip to another process. A fixed reserve for requests in flight cuts all that take longer than
//! it, and refuses short ones that would still end in time.

use alderhaven_core::time::TimeSpan;

/// Factor on the longest known run, since the next one may exceed it.
const RUN_TIME_FACTOR: f64 = 1.1;

/// Added to the longest known run for the way of the answer and for scheduling delay.
const RUN_TIME_RESERVE: TimeSpan = TimeSpan::from_millis(100);

/// Returns true if a request is expected to end within `remaining`, the time until the process gives
/// its last answers.
///
/// `timeout` is the time after which the request ends in any case, and `longest_run` the longest
/// time that its work is known to take.
#[must_use]
pub fn can_finish(remaining: TimeSpan, timeout: TimeSpan, longest_run: Option<TimeSpan>) -> bool {
    let expected = longest_run.map(|longest| longest.mul_f64(RUN_TIME_FACTOR) + RUN_TIME_RESERVE);
    expected.map_or(timeout, |expected| expected.min(timeout)) <= remaining
}
