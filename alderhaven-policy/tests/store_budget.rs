//! Tests of the rate limit of calls to the object API.

use alderhaven_core::quantities::RatePerSecond;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::store_budget::{StoreBudget, StoreBudgetOptions, StoreCall};
use proptest::prelude::{ProptestConfig, prop, prop_assert, proptest};
use proptest::test_runner::RngSeed;

fn options(writes: f64) -> StoreBudgetOptions {
    StoreBudgetOptions {
        writes: RatePerSecond::new(writes).expect("a rate"),
        burst: TimeSpan::from_secs(1),
        ..StoreBudgetOptions::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A process that calls as fast as it can is granted no more than its rate and one burst.
    #[test]
    fn take_never_exceeds_rate_and_burst(
        rate in 1_u32..200,
        gaps in prop::collection::vec(0_u64..50_000, 1..400),
    ) {
        let rate = f64::from(rate);
        let mut budget = StoreBudget::new(options(rate), TimePoint::START);
        let mut now = TimePoint::START;
        let mut granted = 0_u32;
        for gap in gaps {
            now = now + TimeSpan::from_micros(gap);
            granted += u32::from(budget.take(StoreCall::Write, now).is_ok());
            let bound = rate + rate * now.since(TimePoint::START).as_secs_f64();
            prop_assert!(f64::from(granted) <= bound + 0.01, "{granted} above {bound}");
        }
    }

    #[test]
    fn take_is_granted_after_the_stated_wait(rate in 1_u32..200) {
        let mut budget = StoreBudget::new(options(f64::from(rate)), TimePoint::START);
        let wait = loop {
            if let Err(wait) = budget.take(StoreCall::Write, TimePoint::START) {
                break wait;
            }
        };
        prop_assert!(budget.take(StoreCall::Write, TimePoint::START + wait).is_ok());
    }
}

#[test]
fn take_counts_reads_apart_from_writes() {
    let mut budget = StoreBudget::new(options(0.0), TimePoint::START);
    assert!(budget.take(StoreCall::Write, TimePoint::START).is_err());
    assert!(budget.take(StoreCall::Read, TimePoint::START).is_ok());
}

/// Guards against tokens saved while idle being spent all at once.
#[test]
fn take_after_idle_time_grants_one_burst() {
    let mut budget = StoreBudget::new(options(10.0), TimePoint::START);
    let after_idle = TimePoint::START + TimeSpan::from_secs(3_600);
    let granted = (0..100)
        .filter(|_| budget.take(StoreCall::Write, after_idle).is_ok())
        .count();
    assert_eq!(granted, 10);
}
