//! Composition of outgoing messages and the choice of their receivers.

use std::net::SocketAddr;

use alderhaven_core::time::TimePoint;
use rand::Rng;

use crate::membership::gossip_message::{
    ENVELOPE_BYTES, GossipBody, GossipMessage, MemberUpdate, OutgoingMessage, SenderHeader,
};
use crate::membership::group_membership::GroupMembership;
use crate::membership::member_record::MemberState;
use crate::membership::membership_options::MembershipOptions;

/// Factor by which reports are sent more often than updates. A lost update is found by comparing
/// view hashes; these do not cover reports, so a lost report is only replaced by a direct message
/// from its process.
const REPORT_RETRANSMIT_FACTOR: u32 = 2;

impl GroupMembership {
    /// Sends pending updates and reports to a few random members, if a round is due.
    pub(super) fn gossip(
        &mut self,
        now: TimePoint,
        rng: &mut impl Rng,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        let period = if self.has_urgent_updates {
            self.options.urgent_period
        } else {
            self.options.gossip_period
        };
        if !self.has_pending_gossip() || now.since(self.gossiped_at) < period {
            return;
        }
        self.gossiped_at = now;
        self.has_urgent_updates = false;
        let addresses = self
            .contacts
            .sample_mostly_own_domain(self.options.gossip_fanout, rng);
        for address in addresses {
            outgoing.push(self.message_to(address, GossipBody::Updates));
        }
    }

    /// Sends a round immediately if an urgent update is pending; in a burst, it waits for the next
    /// tick.
    pub(super) fn gossip_urgently(
        &mut self,
        now: TimePoint,
        rng: &mut impl Rng,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        if self.has_urgent_updates {
            self.gossip(now, rng, outgoing);
        }
    }

    /// Sends pending updates to many members at once.
    pub(super) fn broadcast(&mut self, now: TimePoint, rng: &mut impl Rng) -> Vec<OutgoingMessage> {
        self.gossiped_at = now;
        let fanout = MembershipOptions::leaving_fanout(self.live_member_count());
        let addresses = self.contacts.sample_uniform(fanout, None, rng);
        addresses
            .into_iter()
            .map(|address| self.message_to(address, GossipBody::Updates))
            .collect()
    }

    /// Builds a message that carries only pending updates and reports.
    pub(super) fn message_to(&mut self, to: SocketAddr, body: GossipBody) -> OutgoingMessage {
        self.message_with_update(to, body, None)
    }

    /// Builds a message with an update that the receiver needs, then as many pending updates and
    /// reports as fit.
    pub(super) fn message_with_update(
        &mut self,
        to: SocketAddr,
        body: GossipBody,
        required_update: Option<MemberUpdate>,
    ) -> OutgoingMessage {
        let retransmissions = MembershipOptions::retransmissions(self.live_member_count());
        let mut bytes_left = self
            .options
            .max_message_bytes
            .saturating_sub(ENVELOPE_BYTES);
        bytes_left =
            bytes_left.saturating_sub(required_update.as_ref().map_or(0, MemberUpdate::size_bound));
        let mut updates: Vec<MemberUpdate> = required_update.into_iter().collect();
        let queued_updates = if self.is_cross_domain_probe(to, &body) {
            Vec::new()
        } else {
            self.queue.take(bytes_left, retransmissions)
        };
        bytes_left -= queued_updates
            .iter()
            .map(MemberUpdate::size_bound)
            .sum::<usize>();
        updates.extend(queued_updates);
        let reports = self
            .config_reports
            .take_groups(bytes_left, retransmissions * REPORT_RETRANSMIT_FACTOR);
        let message = GossipMessage {
            sender: self.sender_header(),
            body,
            updates,
            reports,
        };
        OutgoingMessage { to, message }
    }

    /// Returns true for probe traffic to another failure domain while updates are pending. Such
    /// messages carry no queued updates: probes go to all domains equally, and would multiply the
    /// updates sent across domains.
    fn is_cross_domain_probe(&self, to: SocketAddr, body: &GossipBody) -> bool {
        let is_probe = match body {
            GossipBody::Ping { .. } | GossipBody::PingRequest { .. } | GossipBody::Ack { .. } => {
                true
            }
            GossipBody::Updates | GossipBody::SyncRequest { .. } | GossipBody::SyncReply { .. } => {
                false
            }
        };
        is_probe && !self.queue.is_empty() && self.contacts.is_in_other_domain(to)
    }

    /// Returns the self-description of this process at the latest known time.
    pub(super) fn sender_header(&self) -> SenderHeader {
        SenderHeader {
            node: self.record.node.clone(),
            version: self.version,
            is_leaving: self.own_state == MemberState::Leaving,
            load: self.load,
            config: self.config,
            view_hash: self.view_hash(),
            store_answer: self
                .store_answers
                .latest_answer(self.own_fingerprint(), self.latest_time),
        }
    }
}
