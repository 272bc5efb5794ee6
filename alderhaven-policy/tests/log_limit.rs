//! Tests of the rate limit of log lines.

use alderhaven_core::quantities::RatePerSecond;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::log_limit::LogLimit;

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

/// Guards against a flood of one kind of line that hides other kinds.
#[test]
fn flood_of_one_kind_does_not_suppress_others() {
    let rate = RatePerSecond::new(10.0).expect("valid rate");
    let mut limit = LogLimit::new(rate, 40.0);
    let taken: Vec<u64> = (0..10_000)
        .filter_map(|number| limit.take("refused", at(number / 10)))
        .collect();
    assert_eq!(taken.len(), 49);
    assert_eq!(limit.take("store_lost", at(1_000)), Some(0));
    let last = limit.take("refused", at(1_100)).expect("line is written");
    assert_eq!(
        taken.iter().sum::<u64>() + last,
        10_000 - 49,
        "every line is written or counted as suppressed"
    );
}
