//! The members that messages go to, by whether they are in the own failure domain.

use std::net::SocketAddr;

use alderhaven_core::ids::NodeId;
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::domain_peers::DomainPeers;

/// How many draws are made for each contact that is wanted.
const SAMPLES_PER_CONTACT: usize = 4;

/// How many messages of news a domain as a whole sends beyond for each that every member of it sends.
const CROSS_DOMAIN_COPIES: f64 = 2.0;

/// A `MemberContact` is a member that messages go to: any but the dead.
#[derive(Clone, Debug)]
pub(super) struct MemberContact {
    pub(super) node: NodeId,
    pub(super) address: SocketAddr,
}

/// A `ContactList` holds the contacts of a process.
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

    /// Adds a contact, in place of what was known under its id.
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

    /// Returns true where the address is that of a contact in another domain.
    pub(super) fn is_in_other_domain(&self, address: SocketAddr) -> bool {
        let has_address = |contact: &MemberContact| contact.address == address;
        self.other_domains.iter().any(has_address)
    }

    /// Draws contacts for news, mostly of the own domain.
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

    /// Draws contacts from all domains alike, but for one member.
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

    /// Draws whether a member whose view differs is asked for its own: one of the own domain always.
    pub(super) fn should_sync_with(&self, node: &NodeId, rng: &mut impl Rng) -> bool {
        let is_in_own_domain = self.own_domain.iter().any(|contact| contact.node == *node);
        is_in_own_domain
            || self
                .domain_peers()
                .draw_cross_domain(CROSS_DOMAIN_COPIES, rng)
    }

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
