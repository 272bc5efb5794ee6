//! How messages are put together and whom news goes to.

use std::net::SocketAddr;

use alderhaven_core::time::TimePoint;
use rand::Rng;

use crate::membership::gossip_message::{
    ENVELOPE_BYTES, GossipBody, GossipMessage, MemberUpdate, OutgoingMessage, SenderHeader,
};
use crate::membership::group_membership::GroupMembership;
use crate::membership::member_record::MemberState;
use crate::membership::membership_options::MembershipOptions;

/// How many times as often as an update a report is told. An update that misses a member is noticed by
/// the view's hash and asked for; a report that misses one is not. With the tellings of an update one
/// change in three leaves a member of 32 uninformed until a direct message, with twice as many none in 30.
const REPORT_RETRANSMIT_FACTOR: u32 = 2;

impl GroupMembership {
    /// Sends news to a few random members, where there is news and it is time.
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

    /// Sends news on at once where it is urgent; in a burst it waits for the next tick.
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

    /// Sends news to many members at once.
    pub(super) fn broadcast(&mut self, now: TimePoint, rng: &mut impl Rng) -> Vec<OutgoingMessage> {
        self.gossiped_at = now;
        let fanout = MembershipOptions::leaving_fanout(self.live_member_count());
        let addresses = self.contacts.sample_uniform(fanout, None, rng);
        addresses
            .into_iter()
            .map(|address| self.message_to(address, GossipBody::Updates))
            .collect()
    }

    pub(super) fn message_to(&mut self, to: SocketAddr, body: GossipBody) -> OutgoingMessage {
        self.message_with_update(to, body, None)
    }

    /// Puts a message together: what the receiver must hear, then as much news as has room.
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

    /// Returns true for a probe or its answer to another domain, which carries no news along: probes go
    /// to all domains alike, and news would cross between them as often.
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
