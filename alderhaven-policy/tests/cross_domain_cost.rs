//! Tests of the choice between a replica in the own failure domain and one in another.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::cross_domain_cost;
use alderhaven_policy::replica_stats::{AttemptResult, ReplicaStats};

const TYPICAL_LATENCY: TimeSpan = TimeSpan::from_millis(20);
const SLOTS: u32 = 2;

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

fn is_own_domain_chosen(
    own: &ReplicaStats,
    other: &ReplicaStats,
    typical_latency: TimeSpan,
    now: u64,
) -> bool {
    let own = own.expected_cost(typical_latency, SLOTS, at(now));
    own <= other.expected_cost(typical_latency, SLOTS, at(now))
        + cross_domain_cost::cross_domain_cost(typical_latency)
}

/// Guards against a short queue in the own domain sending attempts to another domain.
#[test]
fn cross_domain_cost_short_queue() {
    let (mut own, other) = (ReplicaStats::default(), ReplicaStats::default());
    own.begin_attempt(at(0));
    own.begin_attempt(at(0));
    assert!(is_own_domain_chosen(&own, &other, TYPICAL_LATENCY, 1));
}

/// Guards against waiting for a paused replica in the own domain, and against not returning to it.
#[test]
fn cross_domain_cost_pause() {
    let (mut own, other) = (ReplicaStats::default(), ReplicaStats::default());
    own.begin_attempt(at(0));
    assert!(!is_own_domain_chosen(&own, &other, TYPICAL_LATENCY, 70));
    own.end_attempt(at(0), TYPICAL_LATENCY, AttemptResult::Answered, at(200));
    assert!(is_own_domain_chosen(&own, &other, TYPICAL_LATENCY, 3_000));
}

/// Guards against staying with a replica in the own domain that is slow for some seconds.
#[test]
fn cross_domain_cost_temporary_slowness() {
    let (mut own, other) = (ReplicaStats::default(), ReplicaStats::default());
    for start in (0..1_600).step_by(80) {
        own.begin_attempt(at(start));
        own.end_attempt(
            at(start),
            TYPICAL_LATENCY,
            AttemptResult::Answered,
            at(start + 80),
        );
    }
    assert!(!is_own_domain_chosen(&own, &other, TYPICAL_LATENCY, 1_600));
}

/// Guards against long requests queueing in the own domain while the other replica is idle.
#[test]
fn cross_domain_cost_long_requests() {
    let typical_latency = TimeSpan::from_millis(100);
    let (mut own, other) = (ReplicaStats::default(), ReplicaStats::default());
    for _ in 0..4 {
        own.begin_attempt(at(0));
    }
    assert!(!is_own_domain_chosen(&own, &other, typical_latency, 1));
}
