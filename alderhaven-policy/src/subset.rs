//! Which relays reach which target.
//!
//! Load pattern: a target takes about 25 connections, and 290 relays exist. If each relay connected
//! to each target, most connections would be refused; if relays were drawn at random, a target could
//! end up behind one failure domain, and each restart would move everything. Rendezvous hashing
//! gives each target a short list of candidates that changes only where one of them comes or goes.
//! Among its candidates a target prefers relays that are not full and lie in different domains.
//!
//! Connections stay within the target's limit while nodes disagree: every view takes relays only
//! from its first `2 * replicas` candidates, and each relay opens at most
//! `limit / (2 * replicas + VIEW_MARGIN)`. Views that differ by up to `VIEW_MARGIN` relays together
//! name at most that many candidates.

use std::collections::BTreeMap;

use alderhaven_core::ids::{FailureDomain, NodeId, TargetId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::hashing;

/// By how many relays two nodes' views may differ without a target's limit being exceeded: the
/// restarts that fall into the 2 s which news takes, with 890 a day, are less than one.
pub const VIEW_MARGIN: usize = 2;

/// A `SubsetOptions` holds the settings of the choice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SubsetOptions {
    /// How many relays reach a target: one that is used and the others to fall back to.
    pub replicas: usize,
    /// How far a relay's number of targets may exceed the mean.
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

/// A `RelayCandidate` is a relay that takes work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayCandidate {
    /// The relay.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: FailureDomain,
}

/// A `SubsetTarget` is a target to be reached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SubsetTarget {
    /// The target.
    pub target: TargetId,
    /// The connections that it takes in all.
    pub max_connections: u32,
}

/// A `RelaySubsets` is the choice for all targets in one view of the relays.
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
    /// Chooses relays for all targets.
    #[must_use]
    pub fn choose(
        targets: &[SubsetTarget],
        relays: &[RelayCandidate],
        options: &SubsetOptions,
    ) -> Self {
        let mut ranking = RelayLoads::new(relays, targets.len(), options);
        // Every node goes through the targets in the same order, so equal views choose alike.
        let ordered: BTreeMap<&TargetId, &SubsetTarget> = targets
            .iter()
            .map(|target| (&target.target, target))
            .collect();
        let choices = ordered
            .into_values()
            .map(|target| (target.target.clone(), ranking.choose(target)))
            .collect();
        Self { choices }
    }

    /// Gets the relays of a target, the one to use first.
    #[must_use]
    pub fn relays_of(&self, target: &TargetId) -> &[NodeId] {
        self.choices
            .get(target)
            .map_or(&[], |choice| choice.relays.as_slice())
    }

    /// Gets the targets that a relay should hold connections to, with its rank at each.
    pub fn targets_of<'a>(
        &'a self,
        relay: &'a NodeId,
    ) -> impl Iterator<Item = (&'a TargetId, usize)> {
        self.choices.iter().filter_map(move |(target, choice)| {
            let rank = choice.relays.iter().position(|node| node == relay)?;
            Some((target, rank))
        })
    }

    /// Gets how many connections a relay may open to a target: none where it is no candidate, even
    /// if another node's view sends it work for the target.
    #[must_use]
    pub fn connection_share_of(&self, target: &TargetId, relay: &NodeId) -> u32 {
        self.choices
            .get(target)
            .filter(|choice| choice.candidates.contains(relay))
            .map_or(0, |choice| choice.connection_share)
    }
}

/// A `RelayRanking` holds the relays with what they were given so far.
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
        let rank = |candidate: &'a RelayCandidate| RelayLoad {
            candidate,
            hash: hashing::hash_name(candidate.node.as_str()),
            primary_count: 0,
            target_count: 0,
        };
        let replicas = options.replicas.max(1);
        Self {
            relays: relays.iter().map(rank).collect(),
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

    /// Gets the first relays in the target's rendezvous order.
    fn candidates(&self, target: &TargetId, count: usize) -> SmallVec<[usize; 8]> {
        let target_hash = hashing::hash_name(target.as_str());
        let mut best: SmallVec<[(u64, usize); 9]> = SmallVec::new();
        for (index, relay) in self.relays.iter().enumerate() {
            let score = hashing::mix_hashes(target_hash, relay.hash);
            let place = best.partition_point(|(other, _)| *other > score);
            if place < count {
                best.insert(place, (score, index));
                best.truncate(count);
            }
        }
        best.into_iter().map(|(_, index)| index).collect()
    }

    /// Gets the best candidate that is left: in a new failure domain, then not full, then first in
    /// rendezvous order.
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

/// Gets how many relays reach a target that takes `limit` connections.
fn replicas_within(limit: u32, replicas: usize) -> usize {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    replicas.min(limit.saturating_sub(VIEW_MARGIN) / 2).max(1)
}

/// Gets how many connections one relay may open to a target that takes `limit` of them.
///
/// A target that takes fewer than four can't be kept within its limit while views differ.
#[must_use]
pub fn connection_share(limit: u32, replicas: usize) -> u32 {
    let sharers = u32::try_from(2 * replicas + VIEW_MARGIN).unwrap_or(u32::MAX);
    (limit / sharers).max(1)
}
