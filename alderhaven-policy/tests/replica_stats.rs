//! Tests of the statistics of a replica, and of the expected cost of the next attempt.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::replica_stats::{AttemptResult, ReplicaStats};

const TYPICAL_LATENCY: TimeSpan = TimeSpan::from_millis(20);

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

/// Runs attempts one after another that take `millis` milliseconds each, and returns the end.
fn run_attempts(
    stats: &mut ReplicaStats,
    start: u64,
    count: u64,
    millis: u64,
    result: AttemptResult,
) -> u64 {
    let mut now = start;
    for _ in 0..count {
        stats.begin_attempt(at(now));
        stats.end_attempt(at(now), TYPICAL_LATENCY, result, at(now + millis));
        now += millis;
    }
    now
}

/// Guards against staying with a replica that is slow for some seconds, and against not returning
/// to it.
#[test]
fn slow_replica_is_avoided_and_tried_again() {
    let mut stats = ReplicaStats::default();
    let end = run_attempts(&mut stats, 0, 6, 140, AttemptResult::Answered);
    assert!(stats.expected_cost(TYPICAL_LATENCY, 2, at(end)) > TYPICAL_LATENCY.mul_f64(3.0));
    assert!(
        stats.expected_cost(TYPICAL_LATENCY, 2, at(end + 12_000)) < TYPICAL_LATENCY.mul_f64(1.3)
    );
}

/// Guards against waiting for the reply of a paused replica before avoiding it.
#[test]
fn paused_replica_is_avoided_while_its_attempt_is_in_flight() {
    let mut stats = ReplicaStats::default();
    stats.begin_attempt(at(0));
    assert!(!stats.is_stuck(TYPICAL_LATENCY, at(50)));
    assert!(stats.is_stuck(TYPICAL_LATENCY, at(70)));
    assert!(stats.expected_cost(TYPICAL_LATENCY, 2, at(70)) > TYPICAL_LATENCY.mul_f64(3.0));
    stats.end_attempt(at(0), TYPICAL_LATENCY, AttemptResult::Answered, at(200));
    assert!(!stats.is_stuck(TYPICAL_LATENCY, at(201)));
}

/// Guards against preferring a replica that refuses many requests, and against excluding it: some
/// answers are better than none.
#[test]
fn refusing_replica_is_second_choice_but_never_ejected() {
    let mut stats = ReplicaStats::default();
    let end = run_attempts(&mut stats, 0, 10, 5, AttemptResult::Failed);
    assert!(
        stats.expected_cost(TYPICAL_LATENCY, 2, at(end))
            > TYPICAL_LATENCY + TimeSpan::from_millis(40)
    );
    assert!(!stats.is_ejected(at(end)));
}

/// Guards against spending retries on a replica whose process is gone.
#[test]
fn unreachable_replica_is_ejected_until_it_answers() {
    let mut stats = ReplicaStats::default();
    let end = run_attempts(&mut stats, 0, 2, 1, AttemptResult::Unreachable);
    assert!(stats.is_ejected(at(end + 100)));
    assert!(!stats.is_ejected(at(end + 400)));
    let end = run_attempts(&mut stats, end + 400, 1, 1, AttemptResult::Unreachable);
    assert!(stats.is_ejected(at(end + 400)));
    let end = run_attempts(&mut stats, end + 700, 1, 20, AttemptResult::Answered);
    assert!(!stats.is_ejected(at(end)));
}

#[test]
fn single_unreachable_attempt_leaves_the_replica_in_use() {
    let mut stats = ReplicaStats::default();
    let end = run_attempts(&mut stats, 0, 1, 1, AttemptResult::Unreachable);
    assert!(!stats.is_ejected(at(end)));
}

#[test]
fn cancelled_attempt_counts_only_as_a_lower_bound() {
    let mut stats = ReplicaStats::default();
    stats.begin_attempt(at(0));
    stats.end_attempt(at(0), TYPICAL_LATENCY, AttemptResult::Cancelled, at(5));
    assert!(stats.slowness(at(5)) <= 1.0);
    stats.begin_attempt(at(10));
    stats.end_attempt(at(10), TYPICAL_LATENCY, AttemptResult::Cancelled, at(210));
    assert!(stats.slowness(at(210)) > 1.5);
    assert_eq!(stats.in_flight(), 0);
}

/// Guards against replicas that refuse most requests using up a node's share of the repeats because
/// they are faster than the others.
#[test]
fn refusing_replica_leaves_repeats_to_others() {
    const REPEATS: usize = 24;
    let (mut refusing, mut healthy) = (ReplicaStats::default(), ReplicaStats::default());
    let mut asked = 0;
    let mut refusals = 0;
    for now in (0..10_000).step_by(100) {
        let first = refusing.expected_cost(TYPICAL_LATENCY, 2, at(now));
        if first < healthy.expected_cost(TYPICAL_LATENCY, 2, at(now)) {
            asked += 1;
            refusing.begin_attempt(at(now));
            if asked % 5 < 3 {
                refusals += 1;
                refusing.end_attempt(at(now), TYPICAL_LATENCY, AttemptResult::Failed, at(now + 1));
            } else {
                refusing.end_attempt(
                    at(now),
                    TYPICAL_LATENCY,
                    AttemptResult::Answered,
                    at(now + 20),
                );
                continue;
            }
        }
        healthy.begin_attempt(at(now));
        healthy.end_attempt(
            at(now),
            TYPICAL_LATENCY,
            AttemptResult::Answered,
            at(now + 60),
        );
    }
    assert!(refusals <= REPEATS * 2 / 3, "{refusals} refusals");
}

/// Guards against avoiding a replica that loses one answer in ten, for which a retry is enough.
#[test]
fn replica_that_rarely_fails_stays_first_choice() {
    let mut stats = ReplicaStats::default();
    let mut now = 0;
    for _ in 0..5 {
        now = run_attempts(&mut stats, now, 9, 20, AttemptResult::Answered);
        now = run_attempts(&mut stats, now, 1, 20, AttemptResult::Failed);
    }
    now = run_attempts(&mut stats, now, 3, 20, AttemptResult::Answered);
    assert!(stats.expected_cost(TYPICAL_LATENCY, 2, at(now)) < TYPICAL_LATENCY.mul_f64(1.5));
}
