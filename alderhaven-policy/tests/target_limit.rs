//! Tests of the concurrency limit of a target, judged by what is sent to it.

mod common;

use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::target_limit::{AttemptSignal, TargetLimit, TargetLimitOptions};
use common::{at, ms, proptest_config};
use proptest::collection;
use proptest::prelude::{any, prop_assert, proptest};

fn limit(slots: u32) -> TargetLimit {
    TargetLimit::new(PolicyKind::Current, TargetLimitOptions::default(), slots)
}

fn ran(service_time: u64) -> AttemptSignal {
    AttemptSignal::Ran {
        service_time: ms(service_time),
        expected_service_time: ms(10),
    }
}

/// Guards against repeated sheds by a target that runs fewer attempts than its declared slots.
#[test]
fn overload_of_a_target_costs_few_shed_attempts() {
    let mut limit = limit(4);
    let (mut sent, mut shed) = (0, 0);
    for step in 0..3000 {
        let now = at(step * 10);
        let count = limit.free_slots(now);
        for _ in 0..count {
            limit.record_sent();
        }
        for index in 0..count {
            let is_shed = index >= 2;
            sent += 1;
            shed += u32::from(is_shed);
            let signal = if is_shed {
                AttemptSignal::Shed
            } else {
                ran(10)
            };
            limit.record_finished(signal, now + ms(9));
        }
    }
    assert!(shed * 100 <= sent, "{shed} of {sent} shed");
    assert!(
        sent >= 5500,
        "{sent} sent, expected both usable slots to be busy"
    );
}

#[test]
fn baseline_keeps_sending_what_is_shed() {
    let options = TargetLimitOptions::default();
    let mut limit = TargetLimit::new(PolicyKind::Baseline, options, 4);
    for step in 0..100 {
        limit.record_sent();
        limit.record_finished(AttemptSignal::Shed, at(step));
    }
    assert_eq!(limit.free_slots(at(100)), 4);
}

#[test]
fn slow_target_is_limited_and_recovers() {
    let mut limit = limit(4);
    for step in 0..40 {
        limit.record_sent();
        limit.record_finished(ran(100), at(step * 100));
    }
    assert!(
        limit.limit(at(4000)) <= 2,
        "limit {}",
        limit.limit(at(4000))
    );
    for step in 0..300 {
        limit.record_sent();
        limit.record_finished(ran(10), at(4000 + step * 100));
    }
    assert_eq!(limit.limit(at(34_000)), 4);
}

#[test]
fn service_time_variance_does_not_lower_the_limit() {
    let mut limit = limit(4);
    let mut rng = common::SeededRng(7);
    let mut lowered = 0;
    for step in 0..2000 {
        limit.record_sent();
        let service_time = rng.exponential(ms(10));
        let expected_service_time = ms(10);
        limit.record_finished(
            AttemptSignal::Ran {
                service_time,
                expected_service_time,
            },
            at(step * 10),
        );
        lowered += u32::from(limit.limit(at(step * 10)) < 4);
    }
    assert!(
        lowered * 20 <= 2000,
        "limit below the slots in {lowered} of 2000 steps"
    );
}

/// Guards against the full load on a restarted target with cold caches.
#[test]
fn cold_target_begins_at_one_slot() {
    let mut limit = limit(4);
    limit.mark_cold(at(1000));
    assert_eq!(limit.limit(at(1000)), 1);
    assert!(limit.limit(at(3000)) < 4);
    assert_eq!(limit.limit(at(5000)), 4);
}

#[test]
fn report_counts_only_when_higher_and_fresh() {
    let options = TargetLimitOptions {
        uses_reported_slots: true,
        ..TargetLimitOptions::default()
    };
    let mut limit = TargetLimit::new(PolicyKind::Current, options, 4);
    limit.record_sent();
    limit.record_sent();
    limit.record_report(0, at(10));
    assert_eq!(
        limit.free_slots(at(10)),
        2,
        "attempts in flight outweigh a lower report"
    );
    limit.record_report(3, at(10));
    assert_eq!(limit.free_slots(at(10)), 1);
    assert_eq!(limit.free_slots(at(100)), 2, "an expired report is ignored");
}

proptest! {
    #![proptest_config(proptest_config(256))]

    /// The limit lies between one and the declared slots for any sequence of signals.
    #[test]
    fn limit_stays_within_its_bounds(
        steps in collection::vec((0_u8..5, 0_u64..2000, any::<bool>()), 1..200),
        slots in 1_u32..8,
    ) {
        let mut limit = limit(slots);
        let mut now = at(0);
        for (kind, time, forward) in steps {
            if forward {
                now = now + ms(time);
            }
            match kind {
                0 => limit.mark_cold(now),
                1 => limit.record_finished(AttemptSignal::Shed, now),
                2 => limit.record_finished(ran(time), now),
                3 => limit.record_finished(AttemptSignal::Uninformative, now),
                _ => while limit.free_slots(now) > 0 { limit.record_sent() },
            }
            prop_assert!((1..=slots).contains(&limit.limit(now)));
            prop_assert!(limit.in_flight() <= slots);
        }
    }
}
