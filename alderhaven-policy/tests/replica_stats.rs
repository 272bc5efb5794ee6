//! What a node has seen of a replica, and what it expects of the next attempt there.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::replica_stats::{AttemptResult, ReplicaStats};

const TYPICAL_LATENCY: TimeSpan = TimeSpan::from_millis(20);

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

/// Makes attempts one after the other that take `took` milliseconds each; returns the end.
fn run_attempts(
    gauge: &mut ReplicaStats,
    start: u64,
    count: u64,
    took: u64,
    result: AttemptResult,
) -> u64 {
    let mut now = start;
    for _ in 0..count {
        gauge.begin_attempt(at(now));
        gauge.end_attempt(at(now), TYPICAL_LATENCY, result, at(now + took));
        now += took;
    }
    now
}

/// One server in seven works seven times slower for some seconds. Its callers' first attempts must
/// leave it after a few answers, and come back after the spell without being told.
#[test]
fn slow_replica_is_left_and_tried_again() {
    let mut gauge = ReplicaStats::default();
    let end = run_attempts(&mut gauge, 0, 6, 140, AttemptResult::Answered);
    assert!(gauge.expected_cost(TYPICAL_LATENCY, 2, at(end)) > TYPICAL_LATENCY.mul_f64(3.0));
    assert!(
        gauge.expected_cost(TYPICAL_LATENCY, 2, at(end + 12_000)) < TYPICAL_LATENCY.mul_f64(1.3)
    );
}

/// A server pauses for 200 ms with an attempt out. The next queries should begin at the other
/// replica long before the pause has shown in any answer.
#[test]
fn paused_replica_is_avoided_while_its_attempt_is_out() {
    let mut gauge = ReplicaStats::default();
    gauge.begin_attempt(at(0));
    assert!(!gauge.is_stuck(TYPICAL_LATENCY, at(50)));
    assert!(gauge.is_stuck(TYPICAL_LATENCY, at(70)));
    assert!(gauge.expected_cost(TYPICAL_LATENCY, 2, at(70)) > TYPICAL_LATENCY.mul_f64(3.0));
    gauge.end_attempt(at(0), TYPICAL_LATENCY, AttemptResult::Answered, at(200));
    assert!(!gauge.is_stuck(TYPICAL_LATENCY, at(201)));
}

/// A server refuses nearly half of its requests although its health check is good. It is second
/// choice, and still a choice: where the other replica is paused, every second answer is better
/// than none.
#[test]
fn refusing_replica_is_second_choice_but_never_aside() {
    let mut gauge = ReplicaStats::default();
    let end = run_attempts(&mut gauge, 0, 10, 5, AttemptResult::Failed);
    assert!(
        gauge.expected_cost(TYPICAL_LATENCY, 2, at(end))
            > TYPICAL_LATENCY + TimeSpan::from_millis(40)
    );
    assert!(!gauge.is_ejected(at(end)));
}

/// A server's process is gone: connections are refused. It is set aside for longer each time, so
/// that queries do not spend their budget on it, and is back with its first answer.
#[test]
fn unreachable_replica_is_aside_until_it_answers() {
    let mut gauge = ReplicaStats::default();
    let end = run_attempts(&mut gauge, 0, 2, 1, AttemptResult::Unreachable);
    assert!(gauge.is_ejected(at(end + 100)));
    assert!(!gauge.is_ejected(at(end + 400)));
    let end = run_attempts(&mut gauge, end + 400, 1, 1, AttemptResult::Unreachable);
    assert!(gauge.is_ejected(at(end + 400)));
    let end = run_attempts(&mut gauge, end + 700, 1, 20, AttemptResult::Answered);
    assert!(!gauge.is_ejected(at(end)));
}

#[test]
fn single_unreachable_attempt_leaves_the_replica_in_use() {
    let mut gauge = ReplicaStats::default();
    let end = run_attempts(&mut gauge, 0, 1, 1, AttemptResult::Unreachable);
    assert!(!gauge.is_ejected(at(end)));
}

#[test]
fn called_off_attempt_counts_only_what_it_has_shown() {
    let mut gauge = ReplicaStats::default();
    gauge.begin_attempt(at(0));
    gauge.end_attempt(at(0), TYPICAL_LATENCY, AttemptResult::Cancelled, at(5));
    assert!(gauge.slowness(at(5)) <= 1.0);
    gauge.begin_attempt(at(10));
    gauge.end_attempt(at(10), TYPICAL_LATENCY, AttemptResult::Cancelled, at(210));
    assert!(gauge.slowness(at(210)) > 1.5);
    assert_eq!(gauge.in_flight(), 0);
}

/// Half of a site's servers refuse six requests in ten while the others, which carry more for it, take
/// three times as long. Ten requests a second from one node for ten seconds: the refusals must stay
/// within that node's share of the repeats, a fifth of its requests and some, or shards go missing.
#[test]
fn refusing_replica_leaves_repeats_to_others() {
    const REPEATS: usize = 24;
    let (mut refusing, mut sound) = (ReplicaStats::default(), ReplicaStats::default());
    let mut asked = 0;
    let mut refusals = 0;
    for now in (0..10_000).step_by(100) {
        let first = refusing.expected_cost(TYPICAL_LATENCY, 2, at(now));
        if first < sound.expected_cost(TYPICAL_LATENCY, 2, at(now)) {
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
        sound.begin_attempt(at(now));
        sound.end_attempt(
            at(now),
            TYPICAL_LATENCY,
            AttemptResult::Answered,
            at(now + 60),
        );
    }
    assert!(refusals <= REPEATS * 2 / 3, "{refusals} refusals");
}

/// A server loses one answer in ten. That is worth a repeat now and then, not a slower replica.
#[test]
fn replica_that_rarely_fails_stays_first_choice() {
    let mut gauge = ReplicaStats::default();
    let mut now = 0;
    for _ in 0..5 {
        now = run_attempts(&mut gauge, now, 9, 20, AttemptResult::Answered);
        now = run_attempts(&mut gauge, now, 1, 20, AttemptResult::Failed);
    }
    now = run_attempts(&mut gauge, now, 3, 20, AttemptResult::Answered);
    assert!(gauge.expected_cost(TYPICAL_LATENCY, 2, at(now)) < TYPICAL_LATENCY.mul_f64(1.5));
}
