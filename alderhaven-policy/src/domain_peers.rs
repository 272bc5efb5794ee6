//! Probability with which gossip is sent to another failure domain.
//!
//! In a large group most messages that cross between domains carry what is known there already. So a
//! failure domain as a whole sends a given number of copies to other domains, and each of its nodes
//! chooses a cross-domain peer with that number over the size of its domain as the probability. A small
//! domain chooses uniformly among all peers. The digests on probes repair what a domain misses.

use rand::{Rng, RngExt};

/// The number of known peers inside and outside a node's failure domain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DomainPeers {
    /// The number of peers in the node's own domain.
    pub own_domain: usize,
    /// The number of peers in all other domains.
    pub other_domains: usize,
}

impl DomainPeers {
    /// Returns the probability of a cross-domain choice for which all nodes of the domain together make
    /// `copies` of them, if each node chooses once.
    #[must_use]
    pub fn cross_domain_probability(self, copies: f64) -> f64 {
        if self.own_domain == 0 {
            return 1.0;
        }
        let uniform = self.other_domains as f64 / (self.own_domain + self.other_domains) as f64;
        uniform.min(copies / (self.own_domain + 1) as f64)
    }

    /// Decides at random whether to choose a peer of another domain.
    pub fn draw_cross_domain(self, copies: f64, rng: &mut impl Rng) -> bool {
        self.other_domains > 0 && rng.random_bool(self.cross_domain_probability(copies))
    }
}
