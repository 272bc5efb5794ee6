//! Targets of one service, the choice among them, and the shared budget of repeats.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::cross_domain_cost;
use alderhaven_policy::repeat_budget::RepeatBudget;

use smallvec::SmallVec;

use crate::target_handle::{TargetHandle, TargetStatus};

/// Expected cost added to a target whose registration has expired, so that it is used only if all
/// others cost far more or can't be used.
const EXPIRED_PENALTY: TimeSpan = TimeSpan::from_millis(200);

/// Expected cost added to a target in a silent failure domain, so that it is used only if there is
/// no other.
const SILENT_PENALTY: TimeSpan = TimeSpan::from_millis(400);

/// Expected cost added to a target that shares its failure domain with one that was already tried.
const SAME_DOMAIN_PENALTY: TimeSpan = TimeSpan::from_millis(100);

/// One service within a catalog view.
#[derive(Clone, Debug)]
pub struct ServiceTargets {
    /// Name of the service.
    pub name: String,
    /// All known targets, including those that are leaving.
    pub targets: Vec<Arc<TargetHandle>>,
    /// Budget of hedges and retries, shared by all catalog views.
    pub budget: Arc<Mutex<RepeatBudget>>,
}

impl ServiceTargets {
    /// Chooses the target with the lowest expected cost that is not in `tried`. Returns `None` if
    /// no other can be used now.
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

    /// Returns the targets that can be used now, with the expected cost of an attempt at each.
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

    /// Locks the budget of hedges and retries.
    pub fn budget(&self) -> MutexGuard<'_, RepeatBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the expected cost of an attempt as a time, or `None` if the target must not be used.
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
