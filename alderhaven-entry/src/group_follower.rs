//! Applies group membership to the entry: the working relays, and the number of entries that share
//! the services.

use std::net::SocketAddr;
use std::sync::Arc;

use alderhaven_core::ids::FailureDomain;
use alderhaven_node::node_group::NodeGroup;
use alderhaven_policy::membership::member_record::MemberRole;
use alderhaven_policy::subset::RelayCandidate;

use crate::admission_controller::AdmissionController;
use crate::relay_routes::{KnownRelay, RelayRoutes};

/// Updates routes and admission when the group changes.
#[derive(Debug)]
pub struct GroupFollower {
    /// Source of the members.
    pub group: NodeGroup,
    /// Receives the relays.
    pub routes: Arc<RelayRoutes>,
    /// Receives the number of entries.
    pub admission: Arc<AdmissionController>,
    /// Relays from the settings, used while the group knows no relay.
    pub configured_relays: Vec<KnownRelay>,
}

impl GroupFollower {
    /// Applies the current members of the group.
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
        // Sorted, so that all entries with the same members choose the same relays.
        relays.sort_by(|left, right| left.candidate.node.cmp(&right.candidate.node));
        let entries = match self.group.working_members(MemberRole::Entry).len() {
            // No entry is known: each host runs one entry and one relay.
            0 => relays.len(),
            known => known,
        };
        self.routes.set_relays(relays);
        self.admission
            .set_entries(u32::try_from(entries).unwrap_or(u32::MAX));
    }

    /// Applies each change until the group is closed.
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

/// Builds relays from the addresses in the settings. Their domains are unknown, so that `domain` is
/// used for all.
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
