//! Tests of the time at which a fan-out query is answered.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::answer_time::{AnswerStep, AnswerTime, ShardCount};
use proptest::prelude::*;

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

/// Times for a target of 100 ms, of which the answer needs 14 ms, and a timeout of 1.5 s.
fn answer_time() -> AnswerTime {
    AnswerTime::new(
        at(0),
        TimeSpan::from_millis(100),
        TimeSpan::from_millis(14),
        TimeSpan::from_millis(1_500),
    )
}

const fn shard_count(answered: usize, pending: usize) -> ShardCount {
    ShardCount {
        total: 20,
        answered,
        pending,
        required: 18,
    }
}

/// Guards against one paused server that makes every query over its shard late.
#[test]
fn paused_shard_is_left_out_when_the_target_is_near() {
    let time = answer_time();
    assert_eq!(
        time.decide(shard_count(19, 1), at(85)),
        AnswerStep::Wait(at(86))
    );
    assert_eq!(time.decide(shard_count(19, 1), at(86)), AnswerStep::Answer);
}

#[test]
fn complete_answer_is_sent_at_once() {
    assert_eq!(
        answer_time().decide(shard_count(20, 0), at(9)),
        AnswerStep::Answer
    );
}

/// Guards against a late answer that waits for the timeout although enough shards have answered.
#[test]
fn late_answer_is_sent_when_enough_shards_are_in() {
    let time = answer_time();
    assert_eq!(
        time.decide(shard_count(17, 3), at(300)),
        AnswerStep::Wait(at(1_500))
    );
    assert_eq!(time.decide(shard_count(18, 2), at(301)), AnswerStep::Answer);
}

/// Guards against waiting for shards that have lost all their servers.
#[test]
fn lost_shards_end_the_query_at_once() {
    assert_eq!(
        answer_time().decide(shard_count(10, 7), at(5)),
        AnswerStep::GiveUp
    );
    assert_eq!(
        answer_time().decide(shard_count(17, 0), at(5)),
        AnswerStep::GiveUp
    );
}

#[test]
fn elapsed_timeout_ends_the_query() {
    assert_eq!(
        answer_time().decide(shard_count(17, 3), at(1_500)),
        AnswerStep::TimeUp
    );
}

/// Guards against a late answer to a caller that had used up 33 of its 60 ms before its request
/// arrived.
#[test]
fn mostly_consumed_target_still_allows_an_answer_in_time() {
    let target = TimeSpan::from_millis(60);
    let reserve = TimeSpan::from_millis(12 + 33);
    let time = AnswerTime::new(at(0), target, reserve, TimeSpan::from_millis(267));
    assert_eq!(time.partial_at, at(15));
    assert_eq!(time.decide(shard_count(18, 2), at(18)), AnswerStep::Answer);
}

#[test]
fn target_shorter_than_its_reserve_uses_a_fifth_of_it() {
    let second = TimeSpan::from_secs(1);
    let time = AnswerTime::new(
        at(0),
        TimeSpan::from_millis(20),
        TimeSpan::from_millis(30),
        second,
    );
    assert_eq!(time.partial_at, at(4));
}

proptest! {
    /// Every wait has an end, and no answer has fewer shards than required.
    #[test]
    fn any_step_is_bounded(answered in 0usize..=20, pending in 0usize..=20, now in 0u64..3_000) {
        prop_assume!(answered + pending <= 20);
        match answer_time().decide(shard_count(answered, pending), at(now)) {
            AnswerStep::Wait(until) => prop_assert!(until > at(now) && until <= at(1_500)),
            AnswerStep::Answer => prop_assert!(answered >= 18),
            AnswerStep::GiveUp => prop_assert!(answered + pending < 18),
            AnswerStep::TimeUp => prop_assert!(now >= 1_500 && answered < 18),
        }
    }
}
