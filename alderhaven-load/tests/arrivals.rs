//! Arrival times of the open-loop load.

use alderhaven_core::time::TimeSpan;
use alderhaven_load::arrivals::{ArrivalSchedule, RatePhase};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn phase(secs: u64, rate: f64) -> RatePhase {
    RatePhase {
        duration: TimeSpan::from_secs(secs),
        rate,
    }
}

fn config() -> ProptestConfig {
    let default = ProptestConfig::default();
    ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        cases: default.cases.clamp(32, 100_000),
        failure_persistence: None,
        ..default
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn schedule_ordered_within_span_and_repeatable(seed: u64, rate in 1.0..2_000.0) {
        let phases = vec![phase(2, rate), phase(1, 3.0 * rate)];
        let times: Vec<TimeSpan> = ArrivalSchedule::new(seed, phases.clone()).collect();
        prop_assert!(times.is_sorted());
        prop_assert!(times.iter().all(|time| *time < TimeSpan::from_secs(3)));
        let again: Vec<TimeSpan> = ArrivalSchedule::new(seed, phases).collect();
        prop_assert_eq!(times, again);
    }

    /// The number of arrivals is Poisson distributed: its standard deviation is the square root of
    /// the mean. More than six of them don't occur.
    #[test]
    fn schedule_count_follows_rate(seed: u64, rate in 100.0..2_000.0) {
        let phases = vec![phase(4, rate), phase(2, 2.0 * rate)];
        let times: Vec<TimeSpan> = ArrivalSchedule::new(seed, phases).collect();
        let first = times.iter().filter(|time| **time < TimeSpan::from_secs(4)).count();
        for (count, mean) in [(first, 4.0 * rate), (times.len() - first, 4.0 * rate)] {
            prop_assert!((count as f64 - mean).abs() <= 6.0 * mean.sqrt(), "{count} for {mean}");
        }
    }
}

/// Gaps of a Poisson process are exponential, so their standard deviation equals their mean. A
/// constant pace would hide the effect of arrivals close together.
#[test]
fn schedule_gaps_exponential() {
    let times: Vec<f64> = ArrivalSchedule::new(5, vec![phase(20, 1_000.0)])
        .map(TimeSpan::as_secs_f64)
        .collect();
    let gaps: Vec<f64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
    let variance = gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / gaps.len() as f64;
    assert!((variance.sqrt() / mean - 1.0).abs() < 0.05);
}

#[test]
fn schedule_seeds_differ() {
    let times = |seed| ArrivalSchedule::new(seed, vec![phase(1, 100.0)]).collect::<Vec<_>>();
    assert_ne!(times(1), times(2));
}
