//! How often a node speaks to others in its own failure domain and how often beyond.
//!
//! Load pattern: news for all of a group of hundreds in several failure domains. Each node passes each
//! piece on to a few others, so that most of what crosses between the domains is known there already.
//!
//! The rule: a domain as a whole, not each node of it, sends a number of copies beyond. Each draw
//! reaches beyond with a chance of that number over the domain's nodes, whoever of them fails, and a
//! small domain draws from all alike. What a domain misses all the same is noticed by the digests on
//! probes, which go to all domains.

use rand::{Rng, RngExt};

/// A `DomainReach` is the number of a node's known peers, in its own failure domain and beyond.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DomainPeers {
    /// The peers in the node's own domain.
    pub own_domain: usize,
    /// The peers in other domains.
    pub other_domains: usize,
}

impl DomainPeers {
    /// Gets the chance that a draw reaches beyond, where the nodes of the domain together are to
    /// reach beyond `copies` times for each draw that every one of them makes.
    #[must_use]
    pub fn cross_domain_probability(self, copies: f64) -> f64 {
        if self.own_domain == 0 {
            return 1.0;
        }
        let even = self.other_domains as f64 / (self.own_domain + self.other_domains) as f64;
        even.min(copies / (self.own_domain + 1) as f64)
    }

    /// Draws whether to reach beyond.
    pub fn draw_cross_domain(self, copies: f64, rng: &mut impl Rng) -> bool {
        self.other_domains > 0 && rng.random_bool(self.cross_domain_probability(copies))
    }
}
