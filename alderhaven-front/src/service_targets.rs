//! The targets of one service, the choice among them and the budget of repeats towards them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::cross_domain_cost;
use alderhaven_policy::repeat_budget::RepeatBudget;

use smallvec::SmallVec;

use crate::target_handle::{TargetHandle, TargetStatus};

/// What a target whose registration has lapsed must be faster by: it is used only where all others
/// are stuck.
const EXPIRED_PENALTY: TimeSpan = TimeSpan::from_millis(200);

/// What a target in a silent failure domain must be faster by: it is used only where there is no other.
const SILENT_PENALTY: TimeSpan = TimeSpan::from_millis(400);

/// What a target must be faster by that lies in the failure domain of one that was tried already.
const SAME_DOMAIN_PENALTY: TimeSpan = TimeSpan::from_millis(100);

/// A `ServiceTargets` is a service as one view of the catalog shows it.
#[derive(Clone, Debug)]
pub struct ServiceTargets {
    /// The name of the service.
    pub name: String,
    /// Its targets, those that leave too.
    pub targets: Vec<Arc<TargetHandle>>,
    /// The budget of repeats, shared by all views.
    pub budget: Arc<Mutex<RepeatBudget>>,
}

impl ServiceTargets {
    /// Chooses a target that is not among `tried`; none where no other may be used now.
    #[must_use]
    pub fn choose(
        &self,
        tried: &[Arc<TargetHandle>],
        typical_latency: TimeSpan,
        now: TimePoint,
    ) -> Option<&Arc<TargetHandle>> {
        let is_tried =
            |target: &Arc<TargetHandle>| tried.iter().any(|one| Arc::ptr_eq(one, target));
        self.targets
            .iter()
            .filter(|target| !is_tried(target))
            .filter_map(|target| {
                let shares_domain = tried.iter().any(|tried| tried.shares_domain_with(target));
                let penalty = if shares_domain {
                    SAME_DOMAIN_PENALTY
                } else {
                    TimeSpan::ZERO
                };
                Some((cost(target, typical_latency, now)? + penalty, target))
            })
            .min_by_key(|(cost, _)| *cost)
            .map(|(_, target)| target)
    }

    /// Gets the targets that may be used now, with what an attempt at each is expected to cost.
    #[must_use]
    pub fn costs(
        &self,
        typical_latency: TimeSpan,
        now: TimePoint,
    ) -> SmallVec<[(TimeSpan, &Arc<TargetHandle>); 4]> {
        self.targets
            .iter()
            .filter_map(|target| Some((cost(target, typical_latency, now)?, target)))
            .collect()
    }

    /// Locks the budget of repeats.
    pub fn budget(&self) -> MutexGuard<'_, RepeatBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Gets what an attempt at the target is expected to cost; none where it may not be used.
fn cost(target: &TargetHandle, typical_latency: TimeSpan, now: TimePoint) -> Option<TimeSpan> {
    let expired_penalty = match target.status() {
        TargetStatus::Ready => TimeSpan::ZERO,
        TargetStatus::Expired(until) if now < until => EXPIRED_PENALTY,
        TargetStatus::Expired(_) | TargetStatus::Leaving => return None,
    };
    if target.is_evacuated() || !target.warmup().allows_request(now) {
        return None;
    }
    let stats = target.stats();
    if stats.is_ejected(now) {
        return None;
    }
    let cross_domain_penalty = if target.is_in_own_domain {
        TimeSpan::ZERO
    } else {
        cross_domain_cost::cross_domain_cost(typical_latency)
    };
    let silent_penalty = if target.silence().is_silent(now) {
        SILENT_PENALTY
    } else {
        TimeSpan::ZERO
    };
    Some(
        stats.expected_cost(typical_latency, target.entry().slots, now)
            + cross_domain_penalty
            + expired_penalty
            + silent_penalty,
    )
}
