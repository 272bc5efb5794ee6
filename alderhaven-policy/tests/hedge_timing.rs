//! Tests of the time of hedges and of the deadlines of attempts.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::answer_time::AnswerTime;
use alderhaven_policy::hedge_timing::{HedgeTiming, attempt_deadline};

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

const fn millis(millis: u64) -> TimeSpan {
    TimeSpan::from_millis(millis)
}

/// Guards against hedges for attempts that would still answer in time: with 136 ms left and
/// attempts of 20 ms a hedge can wait for 76 ms.
#[test]
fn hedge_is_delayed_while_much_time_is_left() {
    let timing = HedgeTiming {
        answer_at: at(136),
        typical_latency: millis(20),
        late_threshold: millis(30),
    };
    assert_eq!(timing.hedge_at(at(0)), at(76));
}

/// Guards against a hedge whose answer comes too late: with 34 ms left it is sent before the late
/// threshold of 22 ms.
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

/// Guards against hedges that can't be answered in time and use up the budget of other shards.
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
        "a late answer still needs the shard"
    );
}

/// Guards against targets that work on attempts long after their query was answered.
#[test]
fn attempt_deadline_follows_the_answer() {
    let timing = AnswerTime::new(at(0), millis(150), millis(14), millis(800));
    assert_eq!(
        attempt_deadline(&timing, millis(150), at(10)),
        at(136) + TimeSpan::from_micros(7_500)
    );
    assert_eq!(attempt_deadline(&timing, millis(150), at(136)), at(800));
}
