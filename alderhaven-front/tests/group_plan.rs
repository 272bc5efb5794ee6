//! Tests of the grouping of shards that are sent through other failure domains.

use std::sync::{Arc, Mutex};

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_front::group_plan;
use alderhaven_front::service_targets::ServiceTargets;
use alderhaven_front::shard_state::ShardState;
use alderhaven_front::target_entry::TargetEntry;
use alderhaven_front::target_handle::TargetHandle;
use alderhaven_front::target_pool::TargetPool;
use alderhaven_policy::repeat_budget::{RepeatBudget, RepeatOptions};

const TYPICAL_LATENCY: TimeSpan = TimeSpan::from_millis(20);

fn target(id: &str, domain: &str, is_in_own_domain: bool) -> Arc<TargetHandle> {
    let address = ([127, 0, 0, 1], 1).into();
    let entry = TargetEntry {
        id: id.to_owned(),
        service: "desk".to_owned(),
        address,
        domain: domain.parse().ok(),
        slots: 2,
        is_leaving: false,
        warmup_left: TimeSpan::ZERO,
        started: 1,
    };
    let pool = TargetPool::new(address, 1, ProcessClock::default());
    let silence = Arc::default();
    Arc::new(TargetHandle::new(entry, pool, is_in_own_domain, silence))
}

/// Guards against planning without end: the best target of a shard was in another domain a moment
/// ago, and is now much costlier than one in the own domain.
#[test]
fn group_cross_domain_shards_ends_when_costs_change() {
    let (near, far) = (target("near", "a", true), target("far", "b", false));
    let service = ServiceTargets {
        name: "desk".to_owned(),
        targets: vec![near, Arc::clone(&far)],
        budget: Arc::new(Mutex::new(RepeatBudget::new(RepeatOptions::default()))),
    };
    let now = TimePoint::from_micros(1_000_000);
    let slow_since = TimePoint::START;
    for _ in 0..8 {
        far.stats().begin_attempt(slow_since);
    }
    let shards = [ShardState::new(Some(Arc::new(service)))];
    let best = [Some(far)];
    let groups = group_plan::group_cross_domain_shards(&shards, &best, TYPICAL_LATENCY, now);
    assert!(groups.is_empty(), "{groups:?}");
}
