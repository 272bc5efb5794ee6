//! Which replica is chosen, the near one or the one in another failure domain.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::far_cost;
use alderhaven_policy::replica_gauge::{AttemptResult, ReplicaGauge};

const USUAL: TimeSpan = TimeSpan::from_millis(20);
const SLOTS: u32 = 2;

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

fn is_near_chosen(near: &ReplicaGauge, far: &ReplicaGauge, usual: TimeSpan, now: u64) -> bool {
    let near = near.expected(usual, SLOTS, at(now));
    near <= far.expected(usual, SLOTS, at(now)) + far_cost::far_cost(usual)
}

/// A query finds two requests of its own node at the near replica of a shard and none at the far one.
/// It stays: the queue is over before a slower shard has answered, and its bytes would cross.
#[test]
fn far_cost_short_queue() {
    let (mut near, far) = (ReplicaGauge::default(), ReplicaGauge::default());
    near.begin(at(0));
    near.begin(at(0));
    assert!(is_near_chosen(&near, &far, USUAL, 1));
}

/// The near replica pauses for a fifth of a second with a request in flight. The next query goes across,
/// and back once it has answered.
#[test]
fn far_cost_pause() {
    let (mut near, far) = (ReplicaGauge::default(), ReplicaGauge::default());
    near.begin(at(0));
    assert!(!is_near_chosen(&near, &far, USUAL, 70));
    near.end(at(0), USUAL, AttemptResult::Answered, at(200));
    assert!(is_near_chosen(&near, &far, USUAL, 3_000));
}

/// The near replica works four times as slowly for some seconds.
#[test]
fn far_cost_slow_spell() {
    let (mut near, far) = (ReplicaGauge::default(), ReplicaGauge::default());
    for start in (0..1_600).step_by(80) {
        near.begin(at(start));
        near.end(at(start), USUAL, AttemptResult::Answered, at(start + 80));
    }
    assert!(!is_near_chosen(&near, &far, USUAL, 1_600));
}

/// A request of a tenth of a second finds four of its kind at the near replica. It would wait for
/// two of them, and goes across.
#[test]
fn far_cost_long_requests() {
    let usual = TimeSpan::from_millis(100);
    let (mut near, far) = (ReplicaGauge::default(), ReplicaGauge::default());
    for _ in 0..4 {
        near.begin(at(0));
    }
    assert!(!is_near_chosen(&near, &far, usual, 1));
}
