//! Assignment of relays to targets (subsetting).
//!
//! Rendezvous hashing gives each target a short list of candidate relays that changes only if one of
//! them joins or leaves. From it the target gets relays in different failure domains first, and then
//! relays below their load cap. A target's connection limit holds while the views of nodes differ by
//! up to [`VIEW_MARGIN`] relays: views take relays only from the first `2 * replicas` candidates, and
//! each relay opens at most `limit / (2 * replicas + VIEW_MARGIN)` connections.

use std::collections::BTreeMap;

use alderhaven_core::ids::{FailureDomain, NodeId, TargetId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::hashing;

/// The number of relays by which the views of two nodes may differ without exceeding a target's
/// limit. An update spreads within 2 s, in which fewer than one relay restarts on average.
pub const VIEW_MARGIN: usize = 2;

/// Settings of the assignment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SubsetOptions {
    /// The number of relays per target: one primary, and the others as fallback.
    pub replicas: usize,
    /// The maximum number of targets per relay, as a multiple of the mean.
    pub load_factor: f64,
}

impl Default for SubsetOptions {
    fn default() -> Self {
        Self {
            replicas: 3,
            load_factor: 1.25,
        }
    }
}

/// A relay that accepts work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayCandidate {
    /// The relay's node.
    pub node: NodeId,
    /// The relay's failure domain.
    pub domain: FailureDomain,
}

/// A target that relays connect to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SubsetTarget {
    /// The target's identifier.
    pub target: TargetId,
    /// The number of connections that the target accepts in total.
    pub max_connections: u32,
}

/// The relays of all targets for one view of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelaySubsets {
    choices: BTreeMap<TargetId, TargetChoice>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct TargetChoice {
    relays: SmallVec<[NodeId; 4]>,
    candidates: SmallVec<[NodeId; 8]>,
    connection_share: u32,
}

impl RelaySubsets {
    /// Assigns relays to all targets.
    #[must_use]
    pub fn choose(
        targets: &[SubsetTarget],
        relays: &[RelayCandidate],
        options: &SubsetOptions,
    ) -> Self {
        let mut loads = RelayLoads::new(relays, targets.len(), options);
        // The order is the same on every node, so that equal views give equal assignments.
        let ordered: BTreeMap<&TargetId, &SubsetTarget> = targets
            .iter()
            .map(|target| (&target.target, target))
            .collect();
        let choices = ordered
            .into_values()
            .map(|target| (target.target.clone(), loads.choose(target)))
            .collect();
        Self { choices }
    }

    /// Returns the relays of a target, the primary first.
    #[must_use]
    pub fn relays_of(&self, target: &TargetId) -> &[NodeId] {
        self.choices
            .get(target)
            .map_or(&[], |choice| choice.relays.as_slice())
    }

    /// Returns the targets that a relay connects to, with the relay's rank at each; rank 0 is the
    /// primary.
    pub fn targets_of<'a>(
        &'a self,
        relay: &'a NodeId,
    ) -> impl Iterator<Item = (&'a TargetId, usize)> {
        self.choices.iter().filter_map(move |(target, choice)| {
            let rank = choice.relays.iter().position(|node| node == relay)?;
            Some((target, rank))
        })
    }

    /// Returns the number of connections that a relay may open to a target. It is zero unless the
    /// relay is a candidate, even if another node's view sends it work for the target.
    #[must_use]
    pub fn connection_share_of(&self, target: &TargetId, relay: &NodeId) -> u32 {
        self.choices
            .get(target)
            .filter(|choice| choice.candidates.contains(relay))
            .map_or(0, |choice| choice.connection_share)
    }
}

/// The relays with the load assigned to them so far.
struct RelayLoads<'a> {
    relays: Vec<RelayLoad<'a>>,
    replicas: usize,
    primary_cap: usize,
    target_cap: usize,
}

struct RelayLoad<'a> {
    candidate: &'a RelayCandidate,
    hash: u64,
    primary_count: usize,
    target_count: usize,
}

impl<'a> RelayLoads<'a> {
    fn new(relays: &'a [RelayCandidate], targets: usize, options: &SubsetOptions) -> Self {
        let load = |candidate: &'a RelayCandidate| RelayLoad {
            candidate,
            hash: hashing::hash_name(candidate.node.as_str()),
            primary_count: 0,
            target_count: 0,
        };
        let replicas = options.replicas.max(1);
        Self {
            relays: relays.iter().map(load).collect(),
            replicas,
            primary_cap: load_cap(targets, relays.len(), options.load_factor),
            target_cap: load_cap(targets * replicas, relays.len(), options.load_factor),
        }
    }

    fn choose(&mut self, target: &SubsetTarget) -> TargetChoice {
        let replicas = replicas_within(target.max_connections, self.replicas);
        let candidates = self.candidates(&target.target, 2 * replicas);
        let mut chosen: SmallVec<[usize; 4]> = SmallVec::new();
        while chosen.len() < replicas.min(candidates.len()) {
            let best = self.best_candidate(&candidates, &chosen);
            self.relays[best].primary_count += usize::from(chosen.is_empty());
            self.relays[best].target_count += 1;
            chosen.push(best);
        }
        let node = |index: &usize| self.relays[*index].candidate.node.clone();
        TargetChoice {
            relays: chosen.iter().map(node).collect(),
            candidates: candidates.iter().map(node).collect(),
            connection_share: connection_share(target.max_connections, replicas),
        }
    }

    /// Returns the first `count` relays in the target's rendezvous order.
    fn candidates(&self, target: &TargetId, count: usize) -> SmallVec<[usize; 8]> {
        let target_hash = hashing::hash_name(target.as_str());
        let mut best: SmallVec<[(u64, usize); 9]> = SmallVec::new();
        for (index, relay) in self.relays.iter().enumerate() {
            let score = hashing::mix_hashes(target_hash, relay.hash);
            let position = best.partition_point(|(other, _)| *other > score);
            if position < count {
                best.insert(position, (score, index));
                best.truncate(count);
            }
        }
        best.into_iter().map(|(_, index)| index).collect()
    }

    /// Returns the best candidate not yet chosen: in a new failure domain, then below its load cap,
    /// then first in rendezvous order.
    fn best_candidate(&self, candidates: &[usize], chosen: &[usize]) -> usize {
        let cost = |index: usize| {
            let relay = &self.relays[index];
            let is_domain_taken = chosen
                .iter()
                .any(|other| self.relays[*other].candidate.domain == relay.candidate.domain);
            let is_full = if chosen.is_empty() {
                relay.primary_count >= self.primary_cap
            } else {
                relay.target_count >= self.target_cap
            };
            (is_domain_taken, is_full)
        };
        candidates
            .iter()
            .copied()
            .filter(|index| !chosen.contains(index))
            .min_by_key(|index| cost(*index))
            .unwrap_or_default()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a count of targets is a small positive number"
)]
fn load_cap(total: usize, relays: usize, load_factor: f64) -> usize {
    (total as f64 * load_factor / relays.max(1) as f64).ceil() as usize
}

/// Returns the number of relays for a target that accepts `limit` connections.
fn replicas_within(limit: u32, replicas: usize) -> usize {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    replicas.min(limit.saturating_sub(VIEW_MARGIN) / 2).max(1)
}

/// Returns the number of connections that one relay may open to a target that accepts `limit`.
///
/// The result is at least 1, so a target that accepts fewer than four can exceed its limit while views
/// differ.
#[must_use]
pub fn connection_share(limit: u32, replicas: usize) -> u32 {
    let sharers = u32::try_from(2 * replicas + VIEW_MARGIN).unwrap_or(u32::MAX);
    (limit / sharers).max(1)
}
