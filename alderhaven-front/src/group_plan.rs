//! Which shards of a query are asked through a front of another failure domain.

use std::collections::BTreeMap;
use std::sync::Arc;

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::shard_run::ShardRun;
use crate::target_handle::TargetHandle;

/// The fewest shards that are asked through another front: an ask costs about as many bytes as two
/// attempts with their replies.
const FEWEST_SHARDS: usize = 3;

/// What a target may be expected to take longer than the best one and still be chosen because it
/// lies where most others do.
const DETOUR: TimeSpan = TimeSpan::from_millis(6);

/// A `ShardGroup` is a group of shards that are asked together.
#[derive(Debug)]
pub struct ShardGroup {
    /// The failure domain of the targets.
    pub domain: FailureDomain,
    /// The shards, by their places in the query, each with its target.
    pub shards: Vec<(usize, Arc<TargetHandle>)>,
}

/// Groups the shards whose best target lies in another failure domain; those that are in no group
/// are asked directly. `best` holds the best target of each shard.
#[must_use]
pub fn group(
    shards: &[ShardRun],
    best: &[Option<Arc<TargetHandle>>],
    usual: TimeSpan,
    now: TimePoint,
) -> Vec<ShardGroup> {
    let is_far =
        |target: &Option<Arc<TargetHandle>>| target.as_ref().is_some_and(|target| !target.is_near);
    let mut far: Vec<usize> = (0..shards.len())
        .filter(|place| is_far(&best[*place]))
        .collect();
    let mut groups = Vec::new();
    while far.len() >= FEWEST_SHARDS {
        let Some(group) = largest_group(shards, &far, usual, now) else {
            break;
        };
        if group.shards.len() < FEWEST_SHARDS {
            break;
        }
        far.retain(|place| group.shards.iter().all(|(grouped, _)| grouped != place));
        groups.push(group);
    }
    groups
}

fn largest_group(
    shards: &[ShardRun],
    far: &[usize],
    usual: TimeSpan,
    now: TimePoint,
) -> Option<ShardGroup> {
    let mut by_domain: BTreeMap<FailureDomain, Vec<(usize, Arc<TargetHandle>)>> = BTreeMap::new();
    for place in far {
        let Some(service) = &shards[*place].service else {
            continue;
        };
        let costs = service.costs(usual, now);
        let Some(least) = costs.iter().map(|(cost, _)| *cost).min() else {
            continue;
        };
        for (cost, target) in costs {
            let entry = target.entry();
            let Some(domain) = entry.domain.clone() else {
                continue;
            };
            let group = by_domain.entry(domain).or_default();
            let is_new = group.last().is_none_or(|(last, _)| last != place);
            if !target.is_near && is_new && cost <= least + DETOUR {
                group.push((*place, Arc::clone(target)));
            }
        }
    }
    let largest = by_domain.into_iter().max_by_key(|(_, shards)| shards.len());
    largest.map(|(domain, shards)| ShardGroup { domain, shards })
}
