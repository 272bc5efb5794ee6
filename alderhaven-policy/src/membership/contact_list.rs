//! The members that messages go to, by whether they are in the own failure domain.

use std::net::SocketAddr;

use alderhaven_core::ids::NodeId;
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::domain_reach::DomainReach;

/// How many draws are made for each contact that is wanted.
const DRAWS_PER_CONTACT: usize = 4;

/// How many messages of news a domain as a whole sends beyond for each that every member of it sends.
const FAR_COPIES: f64 = 2.0;

/// A `MemberContact` is a member that messages go to: any but the dead.
#[derive(Clone, Debug)]
pub(super) struct MemberContact {
    pub(super) node: NodeId,
    pub(super) address: SocketAddr,
}

/// A `ContactList` holds the contacts of a process.
#[derive(Debug, Default)]
pub(super) struct ContactList {
    near: Vec<MemberContact>,
    far: Vec<MemberContact>,
}

impl ContactList {
    pub(super) fn len(&self) -> usize {
        self.near.len() + self.far.len()
    }

    pub(super) fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        let contacts = self.near.iter().chain(&self.far);
        contacts.map(|contact| &contact.node)
    }

    /// Adds a contact, in place of what was known under its id.
    pub(super) fn add(&mut self, contact: MemberContact, is_near: bool) {
        self.remove(&contact.node);
        let contacts = if is_near {
            &mut self.near
        } else {
            &mut self.far
        };
        contacts.push(contact);
    }

    pub(super) fn remove(&mut self, node: &NodeId) {
        for contacts in [&mut self.near, &mut self.far] {
            let place = contacts.iter().position(|contact| contact.node == *node);
            if let Some(place) = place {
                contacts.swap_remove(place);
            }
        }
    }

    /// Returns true where the address is that of a contact in another domain.
    pub(super) fn is_far(&self, address: SocketAddr) -> bool {
        let is_here = |contact: &MemberContact| contact.address == address;
        self.far.iter().any(is_here)
    }

    /// Draws contacts for news, mostly of the own domain.
    pub(super) fn draw_near(&self, count: usize, rng: &mut impl Rng) -> SmallVec<[SocketAddr; 4]> {
        self.draw(count, rng, |contacts, rng| {
            let is_far = contacts.reach().is_far(FAR_COPIES, rng);
            let places = if is_far {
                &contacts.far
            } else {
                &contacts.near
            };
            places.get(rng.random_range(0..places.len().max(1)))
        })
    }

    /// Draws contacts from all domains alike, but for one member.
    pub(super) fn draw_any(
        &self,
        count: usize,
        without: Option<&NodeId>,
        rng: &mut impl Rng,
    ) -> SmallVec<[SocketAddr; 4]> {
        self.draw(count, rng, |contacts, rng| {
            let place = rng.random_range(0..contacts.len().max(1));
            let near = contacts.near.get(place);
            let contact = near.or_else(|| contacts.far.get(place - contacts.near.len()))?;
            (without != Some(&contact.node)).then_some(contact)
        })
    }

    /// Draws whether a member whose view differs is asked for its own: one of the own domain always.
    pub(super) fn is_asked(&self, node: &NodeId, rng: &mut impl Rng) -> bool {
        let is_near = self.near.iter().any(|contact| contact.node == *node);
        is_near || self.reach().is_far(FAR_COPIES, rng)
    }

    fn draw<R: Rng>(
        &self,
        count: usize,
        rng: &mut R,
        draw_one: impl for<'a> Fn(&'a Self, &mut R) -> Option<&'a MemberContact>,
    ) -> SmallVec<[SocketAddr; 4]> {
        let mut drawn = SmallVec::new();
        for _ in 0..count * DRAWS_PER_CONTACT {
            if drawn.len() == count {
                break;
            }
            let Some(contact) = draw_one(self, rng) else {
                continue;
            };
            if !drawn.contains(&contact.address) {
                drawn.push(contact.address);
            }
        }
        drawn
    }

    fn reach(&self) -> DomainReach {
        DomainReach {
            near: self.near.len(),
            far: self.far.len(),
        }
    }
}
