//! Destinations of gossip messages, grouped by whether they share the process's failure domain.

use std::net::SocketAddr;

use alderhaven_core::ids::NodeId;
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::domain_peers::DomainPeers;

/// Number of random draws for each contact that is requested.
const SAMPLES_PER_CONTACT: usize = 4;

/// Expected number of messages that a failure domain as a whole sends to other domains, for each
/// message that every member of it sends.
const CROSS_DOMAIN_COPIES: f64 = 2.0;

/// A member that is not dead, and so receives messages.
#[derive(Clone, Debug)]
pub(super) struct MemberContact {
    pub(super) node: NodeId,
    pub(super) address: SocketAddr,
}

/// All contacts of a process.
#[derive(Debug, Default)]
pub(super) struct ContactList {
    own_domain: Vec<MemberContact>,
    other_domains: Vec<MemberContact>,
}

impl ContactList {
    pub(super) fn len(&self) -> usize {
        self.own_domain.len() + self.other_domains.len()
    }

    pub(super) fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        let contacts = self.own_domain.iter().chain(&self.other_domains);
        contacts.map(|contact| &contact.node)
    }

    /// Adds a contact, or replaces the one with the same id.
    pub(super) fn add(&mut self, contact: MemberContact, is_in_own_domain: bool) {
        self.remove(&contact.node);
        let contacts = if is_in_own_domain {
            &mut self.own_domain
        } else {
            &mut self.other_domains
        };
        contacts.push(contact);
    }

    pub(super) fn remove(&mut self, node: &NodeId) {
        for contacts in [&mut self.own_domain, &mut self.other_domains] {
            let index = contacts.iter().position(|contact| contact.node == *node);
            if let Some(index) = index {
                contacts.swap_remove(index);
            }
        }
    }

    /// Returns true if the address belongs to a contact in another failure domain.
    pub(super) fn is_in_other_domain(&self, address: SocketAddr) -> bool {
        let has_address = |contact: &MemberContact| contact.address == address;
        self.other_domains.iter().any(has_address)
    }

    /// Samples contacts for gossip, mostly from the process's own failure domain.
    pub(super) fn sample_mostly_own_domain(
        &self,
        count: usize,
        rng: &mut impl Rng,
    ) -> SmallVec<[SocketAddr; 4]> {
        self.sample(count, rng, |contacts, rng| {
            let is_cross_domain = contacts
                .domain_peers()
                .draw_cross_domain(CROSS_DOMAIN_COPIES, rng);
            let candidates = if is_cross_domain {
                &contacts.other_domains
            } else {
                &contacts.own_domain
            };
            candidates.get(rng.random_range(0..candidates.len().max(1)))
        })
    }

    /// Samples contacts from all domains uniformly, except for `excluded`.
    pub(super) fn sample_uniform(
        &self,
        count: usize,
        excluded: Option<&NodeId>,
        rng: &mut impl Rng,
    ) -> SmallVec<[SocketAddr; 4]> {
        self.sample(count, rng, |contacts, rng| {
            let index = rng.random_range(0..contacts.len().max(1));
            let own_domain_contact = contacts.own_domain.get(index);
            let contact = own_domain_contact.or_else(|| {
                contacts
                    .other_domains
                    .get(index - contacts.own_domain.len())
            })?;
            (excluded != Some(&contact.node)).then_some(contact)
        })
    }

    /// Decides whether to sync with a member whose view differs: always within the own failure
    /// domain, otherwise at random.
    pub(super) fn should_sync_with(&self, node: &NodeId, rng: &mut impl Rng) -> bool {
        let is_in_own_domain = self.own_domain.iter().any(|contact| contact.node == *node);
        is_in_own_domain
            || self
                .domain_peers()
                .draw_cross_domain(CROSS_DOMAIN_COPIES, rng)
    }

    /// Draws up to `count` distinct addresses; gives up after a bounded number of draws.
    fn sample<R: Rng>(
        &self,
        count: usize,
        rng: &mut R,
        sample_one: impl for<'a> Fn(&'a Self, &mut R) -> Option<&'a MemberContact>,
    ) -> SmallVec<[SocketAddr; 4]> {
        let mut sampled = SmallVec::new();
        for _ in 0..count * SAMPLES_PER_CONTACT {
            if sampled.len() == count {
                break;
            }
            let Some(contact) = sample_one(self, rng) else {
                continue;
            };
            if !sampled.contains(&contact.address) {
                sampled.push(contact.address);
            }
        }
        sampled
    }

    fn domain_peers(&self) -> DomainPeers {
        DomainPeers {
            own_domain: self.own_domain.len(),
            other_domains: self.other_domains.len(),
        }
    }
}
