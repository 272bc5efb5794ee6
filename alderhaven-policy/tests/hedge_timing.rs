//! When another replica is asked too, and until when an attempt is of use.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::answer_time::AnswerTime;
use alderhaven_policy::hedge_timing::{HedgeTiming, attempt_deadline};

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

const fn millis(millis: u64) -> TimeSpan {
    TimeSpan::from_millis(millis)
}

/// A sweep has 136 ms until it is answered and its attempts take 20 ms. A hedge after 30 ms would be sent
/// for one attempt in eight; one after 76 ms is sent for those that meet a pause, and still in time.
#[test]
fn hedge_is_delayed_while_much_time_is_left() {
    let timing = HedgeTiming {
        answer_at: at(136),
        typical_latency: millis(20),
        late_threshold: millis(30),
    };
    assert_eq!(timing.hedge_at(at(0)), at(76));
}

/// A tight route has 34 ms, and its attempts take 8 ms, or 22 while some servers are slow. A hedge after
/// those 22 ms would be answered too late and is not sent at all: it has to go out before.
#[test]
fn hedge_leaves_time_for_its_answer() {
    let timing = HedgeTiming {
        answer_at: at(34),
        typical_latency: millis(8),
        late_threshold: millis(22),
    };
    assert_eq!(timing.hedge_at(at(0)), at(20));
    assert!(timing.is_worthwhile(millis(8), at(20)));
}

#[test]
fn hedge_is_never_sent_before_most_attempts_answer() {
    let timing = HedgeTiming {
        answer_at: at(10),
        typical_latency: millis(10),
        late_threshold: millis(15),
    };
    assert_eq!(timing.hedge_at(at(0)), at(12));
}

/// Both replicas of a shard are seven times slower than usual. A hedge can't be answered in time; sent
/// all the same it would take the budget from shards that it can save.
#[test]
fn hedge_to_a_slow_replica_is_not_worthwhile() {
    let timing = HedgeTiming {
        answer_at: at(136),
        typical_latency: millis(20),
        late_threshold: millis(30),
    };
    assert!(!timing.is_worthwhile(millis(140), at(76)));
    assert!(timing.is_worthwhile(millis(20), at(76)));
    assert!(
        timing.is_worthwhile(millis(140), at(140)),
        "late answers need it all the same"
    );
}

/// Servers are slow and their queues grow. With the caller's whole patience as its deadline each attempt
/// is worked on long after its query was answered, and every later one waits behind it.
#[test]
fn attempt_deadline_follows_the_answer() {
    let timing = AnswerTime::new(at(0), millis(150), millis(14), millis(800));
    assert_eq!(
        attempt_deadline(&timing, millis(150), at(10)),
        at(136) + TimeSpan::from_micros(7_500)
    );
    assert_eq!(attempt_deadline(&timing, millis(150), at(136)), at(800));
}
