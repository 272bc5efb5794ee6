//! Groups the shards of a query that are sent through a front of another failure domain.
//!
//! A group request carries the caller's request once for all its shards, and replies have no
//! headers. This saves traffic between failure domains even for a single shard.

use std::collections::BTreeMap;
use std::sync::Arc;

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::shard_state::ShardState;
use crate::target_handle::TargetHandle;

/// How much more than the best target a target may be expected to cost and still be chosen to join
/// a larger group.
const MAX_GROUPING_COST: TimeSpan = TimeSpan::from_millis(6);

/// Index of a shard within the query, and the target that it is sent to.
pub type ShardAssignment = (usize, Arc<TargetHandle>);

/// Shards that are sent in one group request.
#[derive(Debug)]
pub struct ShardGroup {
    /// Failure domain of all the targets.
    pub domain: FailureDomain,
    /// Shard indices with their targets.
    pub shards: Vec<ShardAssignment>,
}

/// Groups the shards whose best target lies in another failure domain. Shards in no group are sent
/// directly. `best` holds the best target of each shard.
#[must_use]
pub fn group_cross_domain_shards(
    shards: &[ShardState],
    best: &[Option<Arc<TargetHandle>>],
    typical_latency: TimeSpan,
    now: TimePoint,
) -> Vec<ShardGroup> {
    let is_cross_domain = |target: &Option<Arc<TargetHandle>>| {
        target
            .as_ref()
            .is_some_and(|target| !target.is_in_own_domain)
    };
    let mut ungrouped: Vec<usize> = (0..shards.len())
        .filter(|index| is_cross_domain(&best[*index]))
        .collect();
    let mut groups = Vec::new();
    while let Some(group) = largest_group(shards, &ungrouped, typical_latency, now) {
        ungrouped.retain(|index| group.shards.iter().all(|(grouped, _)| grouped != index));
        groups.push(group);
    }
    groups
}

/// Splits assignments into one group for each other failure domain, and those that are sent
/// directly.
///
/// The hedges of a query fall due together, because its first attempts were sent together, and
/// most of them go to other failure domains.
#[must_use]
pub fn group_by_domain(
    assignments: Vec<ShardAssignment>,
) -> (Vec<ShardGroup>, Vec<ShardAssignment>) {
    let mut by_domain: BTreeMap<FailureDomain, Vec<ShardAssignment>> = BTreeMap::new();
    let mut direct = Vec::new();
    for (index, target) in assignments {
        let domain = target.entry().domain.clone();
        match domain.filter(|_| !target.is_in_own_domain) {
            Some(domain) => by_domain.entry(domain).or_default().push((index, target)),
            None => direct.push((index, target)),
        }
    }
    let groups = by_domain
        .into_iter()
        .map(|(domain, shards)| ShardGroup { domain, shards });
    (groups.collect(), direct)
}

/// Returns the largest group, which is never empty; `None` if no shard can be grouped any more.
///
/// Costs change while a query is planned, so that the best target of a shard may be too costly by
/// now.
fn largest_group(
    shards: &[ShardState],
    ungrouped: &[usize],
    typical_latency: TimeSpan,
    now: TimePoint,
) -> Option<ShardGroup> {
    let mut by_domain: BTreeMap<FailureDomain, Vec<ShardAssignment>> = BTreeMap::new();
    for index in ungrouped {
        let Some(service) = &shards[*index].service else {
            continue;
        };
        let costs = service.costs(typical_latency, now);
        let Some(lowest_cost) = costs.iter().map(|(cost, _)| *cost).min() else {
            continue;
        };
        for (cost, target) in costs {
            let entry = target.entry();
            let Some(domain) = entry.domain.clone() else {
                continue;
            };
            if target.is_in_own_domain || cost > lowest_cost + MAX_GROUPING_COST {
                continue;
            }
            let group = by_domain.entry(domain).or_default();
            if group.last().is_none_or(|(last, _)| last != index) {
                group.push((*index, Arc::clone(target)));
            }
        }
    }
    let largest = by_domain.into_iter().max_by_key(|(_, shards)| shards.len());
    largest.map(|(domain, shards)| ShardGroup { domain, shards })
}
