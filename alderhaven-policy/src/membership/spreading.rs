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
const REPORT_FACTOR: u32 = 2;

impl GroupMembership {
    /// Sends news to a few random members, where there is news and it is time.
    pub(super) fn gossip(
        &mut self,
        now: TimePoint,
        rng: &mut impl Rng,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        let period = if self.is_urgent {
            self.options.urgent_period
        } else {
            self.options.gossip_period
        };
        if !self.has_news() || now.since(self.gossiped_at) < period {
            return;
        }
        self.gossiped_at = now;
        self.is_urgent = false;
        let addresses = self.contacts.draw_near(self.options.gossip_fanout, rng);
        for address in addresses {
            outgoing.push(self.outgoing(address, GossipBody::News));
        }
    }

    /// Sends news on at once where it is urgent; in a burst it waits for the next tick.
    pub(super) fn gossip_urgently(
        &mut self,
        now: TimePoint,
        rng: &mut impl Rng,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        if self.is_urgent {
            self.gossip(now, rng, outgoing);
        }
    }

    /// Sends news to many members at once.
    pub(super) fn broadcast(&mut self, now: TimePoint, rng: &mut impl Rng) -> Vec<OutgoingMessage> {
        self.gossiped_at = now;
        let fanout = MembershipOptions::leaving_fanout(self.size());
        let addresses = self.contacts.draw_any(fanout, None, rng);
        addresses
            .into_iter()
            .map(|address| self.outgoing(address, GossipBody::News))
            .collect()
    }

    pub(super) fn outgoing(&mut self, to: SocketAddr, body: GossipBody) -> OutgoingMessage {
        self.outgoing_with(to, body, None)
    }

    /// Puts a message together: what the receiver must hear, then as much news as has room.
    pub(super) fn outgoing_with(
        &mut self,
        to: SocketAddr,
        body: GossipBody,
        told: Option<MemberUpdate>,
    ) -> OutgoingMessage {
        let retransmissions = MembershipOptions::retransmissions(self.size());
        let mut left = self
            .options
            .max_message_bytes
            .saturating_sub(ENVELOPE_BYTES);
        left = left.saturating_sub(told.as_ref().map_or(0, MemberUpdate::size_bound));
        let mut updates: Vec<MemberUpdate> = told.into_iter().collect();
        let news = if self.is_bare_probe(to, &body) {
            Vec::new()
        } else {
            self.queue.take(left, retransmissions)
        };
        left -= news.iter().map(MemberUpdate::size_bound).sum::<usize>();
        updates.extend(news);
        let reports = self.board.take(left, retransmissions * REPORT_FACTOR);
        let message = GossipMessage {
            sender: self.header(),
            body,
            updates,
            reports,
        };
        OutgoingMessage { to, message }
    }

    /// Returns true for a probe or its answer to another domain, which carries no news along: probes go
    /// to all domains alike, and news would cross between them as often.
    fn is_bare_probe(&self, to: SocketAddr, body: &GossipBody) -> bool {
        let is_probe = match body {
            GossipBody::Ping { .. } | GossipBody::PingRequest { .. } | GossipBody::Ack { .. } => {
                true
            }
            GossipBody::News | GossipBody::SyncRequest { .. } | GossipBody::SyncReply { .. } => {
                false
            }
        };
        is_probe && !self.queue.is_empty() && self.contacts.is_far(to)
    }

    pub(super) fn header(&self) -> SenderHeader {
        SenderHeader {
            node: self.record.node.clone(),
            version: self.version,
            leaving: self.own_state == MemberState::Leaving,
            load: self.load,
            config: self.config,
            view: self.view_hash(),
            sighting: self.sightings.latest(self.own_fingerprint(), self.clock_at),
        }
    }
}
