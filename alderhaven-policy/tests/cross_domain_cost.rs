//! Which replica is chosen, the near one or the one in another failure domain.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::cross_domain_cost;
use alderhaven_policy::replica_stats::{AttemptResult, ReplicaStats};

const TYPICAL_LATENCY: TimeSpan = TimeSpan::from_millis(20);
const SLOTS: u32 = 2;

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

fn is_near_chosen(near: &ReplicaStats, far: &ReplicaStats, usual: TimeSpan, now: u64) -> bool {
    let near = near.expected_cost(usual, SLOTS, at(now));
    near <= far.expected_cost(usual, SLOTS, at(now)) + cross_domain_cost::cross_domain_cost(usual)
}

/// A query finds two requests of its own node at the near replica of a shard and none at the far one.
/// It stays: the queue is over before a slower shard has answered, and its bytes would cross.
#[test]
fn far_cost_short_queue() {
    let (mut near, far) = (ReplicaStats::default(), ReplicaStats::default());
    near.begin_attempt(at(0));
    near.begin_attempt(at(0));
    assert!(is_near_chosen(&near, &far, TYPICAL_LATENCY, 1));
}

/// The near replica pauses for a fifth of a second with a request in flight. The next query goes across,
/// and back once it has answered.
#[test]
fn far_cost_pause() {
    let (mut near, far) = (ReplicaStats::default(), ReplicaStats::default());
    near.begin_attempt(at(0));
    assert!(!is_near_chosen(&near, &far, TYPICAL_LATENCY, 70));
    near.end_attempt(at(0), TYPICAL_LATENCY, AttemptResult::Answered, at(200));
    assert!(is_near_chosen(&near, &far, TYPICAL_LATENCY, 3_000));
}

/// The near replica works four times as slowly for some seconds.
#[test]
fn far_cost_slow_spell() {
    let (mut near, far) = (ReplicaStats::default(), ReplicaStats::default());
    for start in (0..1_600).step_by(80) {
        near.begin_attempt(at(start));
        near.end_attempt(
            at(start),
            TYPICAL_LATENCY,
            AttemptResult::Answered,
            at(start + 80),
        );
    }
    assert!(!is_near_chosen(&near, &far, TYPICAL_LATENCY, 1_600));
}

/// A request of a tenth of a second finds four of its kind at the near replica. It would wait for
/// two of them, and goes across.
#[test]
fn far_cost_long_requests() {
    let usual = TimeSpan::from_millis(100);
    let (mut near, far) = (ReplicaStats::default(), ReplicaStats::default());
    for _ in 0..4 {
        near.begin_attempt(at(0));
    }
    assert!(!is_near_chosen(&near, &far, usual, 1));
}
