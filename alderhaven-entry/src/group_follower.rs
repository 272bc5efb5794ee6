//! What an entry takes over from the group: the relays that take work and the number of entries.

use std::net::SocketAddr;
use std::sync::Arc;

use alderhaven_core::ids::FailureDomain;
use alderhaven_node::node_group::NodeGroup;
use alderhaven_policy::membership::member_record::MemberRole;
use alderhaven_policy::subset::RelayCandidate;

use crate::admission_controller::AdmissionController;
use crate::relay_routes::{KnownRelay, RelayRoutes};

/// A `GroupFollower` keeps routes and admission in line with the group.
#[derive(Debug)]
pub struct GroupFollower {
    /// The group.
    pub group: NodeGroup,
    /// The routes through relays.
    pub routes: Arc<RelayRoutes>,
    /// What admits queries.
    pub admission: Arc<AdmissionController>,
    /// The relays that the settings name, used while the group names none.
    pub configured_relays: Vec<KnownRelay>,
}

impl GroupFollower {
    /// Takes over what the group knows now.
    pub fn apply(&self) {
        let mut relays: Vec<KnownRelay> = self
            .group
            .working_members(MemberRole::Relay)
            .into_iter()
            .filter_map(|member| {
                Some(KnownRelay {
                    address: member.record.peer_address?,
                    candidate: RelayCandidate {
                        node: member.record.node.clone(),
                        domain: member.record.domain.clone(),
                    },
                })
            })
            .collect();
        if relays.is_empty() {
            relays.clone_from(&self.configured_relays);
        }
        // The order does not depend on the order of news, so that equal groups choose alike.
        relays.sort_by(|left, right| left.candidate.node.cmp(&right.candidate.node));
        let entries = match self.group.working_members(MemberRole::Entry).len() {
            // Each host runs one entry and one relay.
            0 => relays.len(),
            known => known,
        };
        self.routes.set_relays(relays);
        self.admission
            .set_entries(u32::try_from(entries).unwrap_or(u32::MAX));
    }

    /// Follows the group until the task is ended.
    pub async fn follow(self) {
        let mut changed = self.group.subscribe();
        loop {
            changed.borrow_and_update();
            self.apply();
            if changed.changed().await.is_err() {
                return;
            }
        }
    }
}

/// Returns the relays that the settings name by address alone; their domains are not known.
#[must_use]
pub fn configured_relays(addresses: &[SocketAddr], domain: &FailureDomain) -> Vec<KnownRelay> {
    addresses
        .iter()
        .filter_map(|address| {
            Some(KnownRelay {
                address: *address,
                candidate: RelayCandidate {
                    node: address.to_string().parse().ok()?,
                    domain: domain.clone(),
                },
            })
        })
        .collect()
}
