//! Tests of the repeat budget that nodes keep without coordination.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::repeat_budget::{RepeatBudget, RepeatOptions, RepeatReason};
use proptest::prelude::*;

const OPTIONS: RepeatOptions = RepeatOptions {
    ratio: 0.2,
    free_per_window: 56.0,
    window: TimeSpan::from_secs(10),
};

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

/// Guards against hedges of all nodes that double the load of a service which turns slow.
#[test]
fn all_nodes_together_stay_within_the_allowance() {
    let nodes = 8;
    let mut budgets: Vec<RepeatBudget> = vec![RepeatBudget::new(OPTIONS); nodes];
    let mut repeats = 0;
    let mut requests = 0;
    for millis in 0..10_000 {
        let budget = &mut budgets[usize::try_from(millis).unwrap_or_default() % nodes];
        if millis % 10 == 0 {
            budget.record_request(at(millis));
            requests += 1;
        }
        repeats += u32::from(budget.take(RepeatReason::Hedge, 1.0 / nodes as f64, at(millis)));
    }
    let allowed = f64::from(requests) * OPTIONS.ratio + OPTIONS.free_per_window;
    assert!(f64::from(repeats) <= allowed);
    assert!(
        f64::from(repeats) > allowed * 0.6,
        "at least 60% of the allowance is used"
    );
}

/// Guards against hedges that use up the budget, so that a retry after a crash isn't sent.
#[test]
fn hedges_leave_a_reserve_for_retries() {
    let mut budget = RepeatBudget::new(OPTIONS);
    for millis in 0..500 {
        budget.record_request(at(millis));
    }
    while budget.take(RepeatReason::Hedge, 1.0, at(500)) {}
    assert!(budget.take(RepeatReason::Retry, 1.0, at(500)));
}

#[test]
fn repeats_expire_with_the_window() {
    let mut budget = RepeatBudget::new(OPTIONS);
    while budget.take(RepeatReason::Retry, 1.0, at(0)) {}
    assert!(!budget.take(RepeatReason::Retry, 1.0, at(9_000)));
    assert!(budget.take(RepeatReason::Retry, 1.0, at(11_000)));
}

#[test]
fn node_takes_only_its_share_of_free_repeats() {
    let mut budget = RepeatBudget::new(OPTIONS);
    let taken = (0..100).filter(|_| budget.take(RepeatReason::Retry, 0.125, at(0)));
    assert_eq!(taken.count(), 6, "90% of an eighth of 56");
}

proptest! {
    /// No window has more repeats than the budget allows for its requests and those of the bucket
    /// before it.
    #[test]
    fn every_window_stays_within_the_allowance(steps in prop::collection::vec((0u64..400, any::<bool>()), 1..400)) {
        let mut budget = RepeatBudget::new(OPTIONS);
        let mut now = 0;
        let mut requests: Vec<u64> = Vec::new();
        let mut repeats: Vec<u64> = Vec::new();
        for (wait, is_request) in steps {
            now += wait;
            if is_request {
                budget.record_request(at(now));
                requests.push(now);
            } else if budget.take(RepeatReason::Retry, 1.0, at(now)) {
                repeats.push(now);
            }
            let within = |points: &[u64], span: u64| points.iter().filter(|point| **point + span > now).count();
            let allowed = within(&requests, 10_500) as f64 * OPTIONS.ratio + OPTIONS.free_per_window;
            prop_assert!(within(&repeats, 10_000) as f64 <= allowed);
        }
    }
}
