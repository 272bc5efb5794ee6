//! Peers of a node in the exchange, grouped by failure domain.

use alderhaven_core::ids::NodeId;
use rand::{Rng, RngExt};

use crate::domain_peers::DomainPeers;
use crate::membership::member_entry::MemberView;
use crate::membership::member_record::MemberState;

/// Expected number of announcements that a failure domain as a whole sends to other domains, for
/// each announcement that every node of it sends.
const CROSS_DOMAIN_COPIES: f64 = 1.5;

/// Peers that a node exchanges objects with.
#[derive(Clone, Debug, Default)]
pub struct PeerSet {
    own_domain: Vec<NodeId>,
    other_domains: Vec<NodeId>,
}

impl PeerSet {
    /// Creates the set from the peers in the node's own failure domain and those in all others.
    #[must_use]
    pub fn new(mut own_domain: Vec<NodeId>, mut other_domains: Vec<NodeId>) -> Self {
        own_domain.sort_unstable();
        other_domains.sort_unstable();
        Self {
            own_domain,
            other_domains,
        }
    }

    /// Creates the set from the live members of a group, the first of which is the node itself.
    #[must_use]
    pub fn of_members(members: &[MemberView]) -> Self {
        let Some((own, others)) = members.split_first() else {
            return Self::default();
        };
        let live = others
            .iter()
            .filter(|member| member.state != MemberState::Dead);
        let (own_domain, other_domains): (Vec<_>, Vec<_>) =
            live.partition(|member| member.record.domain == own.record.domain);
        let ids = |members: Vec<&MemberView>| {
            let ids = members.into_iter().map(|member| member.record.node.clone());
            ids.collect()
        };
        Self::new(ids(own_domain), ids(other_domains))
    }

    /// Returns true if the node is one of the peers.
    #[must_use]
    pub fn contains(&self, node: &NodeId) -> bool {
        self.is_in_own_domain(node) || self.other_domains.binary_search(node).is_ok()
    }

    /// Picks a random peer, mostly from the own failure domain.
    pub fn pick(&self, rng: &mut impl Rng) -> Option<&NodeId> {
        let peers = if self
            .domain_peers()
            .draw_cross_domain(CROSS_DOMAIN_COPIES, rng)
        {
            &self.other_domains
        } else {
            &self.own_domain
        };
        pick_of(peers, rng)
    }

    /// Picks a random peer from another failure domain.
    pub fn pick_cross_domain(&self, rng: &mut impl Rng) -> Option<&NodeId> {
        pick_of(&self.other_domains, rng)
    }

    /// Decides whether to compare with a peer: always within the own failure domain, otherwise at
    /// random, so that a change enters a domain in a few copies.
    pub fn should_compare_with(&self, node: &NodeId, rng: &mut impl Rng) -> bool {
        self.is_in_own_domain(node)
            || self
                .domain_peers()
                .draw_cross_domain(CROSS_DOMAIN_COPIES, rng)
    }

    /// Returns true if the node is a peer in the own failure domain.
    #[must_use]
    pub fn is_in_own_domain(&self, node: &NodeId) -> bool {
        self.own_domain.binary_search(node).is_ok()
    }

    const fn domain_peers(&self) -> DomainPeers {
        DomainPeers {
            own_domain: self.own_domain.len(),
            other_domains: self.other_domains.len(),
        }
    }
}

fn pick_of<'a>(peers: &'a [NodeId], rng: &mut impl Rng) -> Option<&'a NodeId> {
    if peers.is_empty() {
        return None;
    }
    peers.get(rng.random_range(0..peers.len()))
}
