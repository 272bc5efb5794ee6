//! Buckets of credit that are refilled by a share.

use alderhaven_core::time::TimePoint;
use alderhaven_policy::grant_limit::GrantLimit;
use alderhaven_policy::quota_bound::QuotaBound;
use alderhaven_policy::share_bucket::ShareBucket;

use crate::simulation;

const LIMIT: GrantLimit = GrantLimit {
    rate: 10.0,
    capacity: 10.0,
};

/// Guards against returned credit that adds to what was refilled in the meantime.
#[test]
fn give_back_refilled_meanwhile() {
    let start = TimePoint::START;
    let mut bucket = ShareBucket::full(LIMIT, 1.0, start);
    assert_eq!(bucket.take(10, start), 10);
    let later = simulation::at(0.6);
    assert_eq!(bucket.take(10, later), 6, "refilled");
    bucket.give_back(10, start, later);
    assert_eq!(
        bucket.take(10, later),
        4,
        "a full bucket would hold 10 in all"
    );
    bucket.give_back(4, later, later);
    assert_eq!(bucket.take(10, later), 4, "nothing was gained since");
}

/// Guards against returned credit that was lost with the share.
#[test]
fn give_back_after_lowered_share() {
    let start = TimePoint::START;
    let mut bucket = ShareBucket::full(LIMIT, 1.0, start);
    assert_eq!(bucket.take(10, start), 10);
    let later = simulation::at(0.1);
    bucket.set_share(0.0, later);
    bucket.set_share(1.0, later);
    bucket.give_back(10, start, later);
    assert_eq!(bucket.take(10, later), 0);
}

/// Guards against refill for the time without delegated shares.
#[test]
fn refill_share_changes() {
    let mut bucket = ShareBucket::new(LIMIT, 0.0, TimePoint::START);
    bucket.set_share(0.5, simulation::at(10.0));
    bucket.set_share(0.0, simulation::at(10.4));
    assert_eq!(
        bucket.take(10, simulation::at(20.0)),
        0,
        "lost with the share"
    );
    bucket.set_share(0.5, simulation::at(20.0));
    assert_eq!(bucket.take(10, simulation::at(20.4)), 2);
}

/// Guards against a lifetime of credit that is longer than the overshoot allows.
#[test]
fn grant_limit_short_window() {
    let bound = QuotaBound::default();
    let limit = simulation::limit(100.0, 1.0);
    let granted = bound.grant_limit(limit).rate * (1.0 + bound.credit_lifetime().as_secs_f64());
    assert!((granted - 100.0).abs() < 1e-6, "{granted} in a window");
}
