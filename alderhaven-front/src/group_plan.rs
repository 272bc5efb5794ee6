//! Which shards of a query are asked through a front of another failure domain: all whose target lies
//! in one, hedges included.
//!
//! An ask has the caller's request once for all its shards, and replies have no headers; even for one
//! shard that is less than a request of its own on a connection across.

use std::collections::BTreeMap;
use std::sync::Arc;

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::shard_state::ShardState;
use crate::target_handle::TargetHandle;

/// What a target may be expected to take longer than the best one and still be chosen because it
/// lies where most others do.
const MAX_GROUPING_COST: TimeSpan = TimeSpan::from_millis(6);

/// A `ChosenShard` is a shard, by its place in the query, with the target that it is to be sent to.
pub type ShardAssignment = (usize, Arc<TargetHandle>);

/// A `ShardGroup` is a group of shards that are asked together.
#[derive(Debug)]
pub struct ShardGroup {
    /// The failure domain of the targets.
    pub domain: FailureDomain,
    /// The shards, by their places in the query, each with its target.
    pub shards: Vec<ShardAssignment>,
}

/// Groups the shards whose best target lies in another failure domain; those that are in no group
/// are asked directly. `best` holds the best target of each shard.
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

/// Splits attempts into groups that are asked through a front of their targets' failure domain, and
/// those that are sent directly. A query's hedges are due in the same moment, since its first
/// attempts were sent in one, and most go to other failure domains.
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
            let group = by_domain.entry(domain).or_default();
            let is_first_target = group.last().is_none_or(|(last, _)| last != index);
            if !target.is_in_own_domain
                && is_first_target
                && cost <= lowest_cost + MAX_GROUPING_COST
            {
                group.push((*index, Arc::clone(target)));
            }
        }
    }
    let largest = by_domain.into_iter().max_by_key(|(_, shards)| shards.len());
    largest.map(|(domain, shards)| ShardGroup { domain, shards })
}
