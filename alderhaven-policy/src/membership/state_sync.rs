//! Comparison of views and transfer of what differs, in bounded chunks.
//!
//! Each message carries a hash of its sender's view. Where two views differ although news has
//! settled, the one that notices asks for the members in the parts that differ. A process that
//! joins asks with an empty view and so gets everything.

use std::net::SocketAddr;
use std::ops::Bound;

use alderhaven_core::ids::NodeId;
use alderhaven_core::time::{TimePoint, TimeSpan};
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::membership::gossip_message::{
    ENVELOPE_BYTES, GossipBody, GossipMessage, MemberUpdate, OutgoingMessage, SenderHeader,
    VIEW_BUCKETS,
};
use crate::membership::group_membership::GroupMembership;
use crate::membership::maintenance;

/// How often a chunk is asked for before the sync is given up.
const MAX_SYNC_TRIES: u32 = 3;

/// The time without changes after which a difference of views is not just news under way.
const VIEW_SETTLE_TIME: TimeSpan = TimeSpan::from_secs(1);

/// The time that a joining process waits for one member's answer before it asks another that speaks
/// to it; above a round trip between two regions.
const JOIN_REPLY_TIMEOUT: TimeSpan = TimeSpan::from_millis(150);

/// The bytes of a chunk that are kept free for reports.
const RESERVED_REPORT_BYTES: usize = 100;

/// A `SyncSchedule` says when to compare next and what is awaited.
#[derive(Debug, Default)]
pub(super) struct SyncSchedule {
    pub(super) is_joined: bool,
    current: Option<CurrentSync>,
    differing_peer: Option<SocketAddr>,
    next_join_at: TimePoint,
    next_sync_at: TimePoint,
}

impl SyncSchedule {
    /// Returns true where the process has joined, and no comparison is under way.
    pub(super) const fn is_idle(&self) -> bool {
        self.is_joined && self.current.is_none()
    }
}

#[derive(Debug)]
struct CurrentSync {
    peer: SocketAddr,
    sequence: u32,
    after: Option<NodeId>,
    asked_at: TimePoint,
    tries: u32,
}

impl GroupMembership {
    pub(super) fn sync(
        &mut self,
        now: TimePoint,
        rng: &mut impl Rng,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        if self.retry_sync(now, outgoing) {
            return;
        }
        if !self.syncing.is_joined {
            self.join(now, rng, outgoing);
        } else if now >= self.syncing.next_sync_at
            && self.queue.is_empty()
            && let Some(peer) = self.syncing.differing_peer.take()
        {
            self.syncing.next_sync_at = now + maintenance::jittered(self.options.sync_period, rng);
            self.begin_sync(peer, now, outgoing);
        }
    }

    pub(super) fn begin_sync(
        &mut self,
        peer: SocketAddr,
        now: TimePoint,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        if self.syncing.current.is_none() {
            self.send_sync_request(peer, None, 0, now, outgoing);
        }
    }

    /// Notes a sender whose view differs.
    ///
    /// A process that has not joined yet joins through whoever speaks to it. This guards against
    /// the loss of all seeds: a restarted process then knows nobody, but those that knew it before
    /// still probe its address.
    pub(super) fn compare_views(
        &mut self,
        from: SocketAddr,
        sender: &SenderHeader,
        now: TimePoint,
        rng: &mut impl Rng,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        let is_settled = now.since(self.changed_at) >= VIEW_SETTLE_TIME;
        let is_differing = is_settled && sender.view_hash != self.view_hash();
        if is_differing && self.contacts.should_sync_with(&sender.node, rng) {
            self.syncing.differing_peer = Some(from);
        }
        let is_awaiting_reply = self.syncing.current.as_ref().is_some_and(|sync| {
            sync.after.is_some() || now.since(sync.asked_at) < JOIN_REPLY_TIMEOUT
        });
        if !self.syncing.is_joined && !is_awaiting_reply {
            self.send_sync_request(from, None, 0, now, outgoing);
        }
    }

    pub(super) fn handle_sync_request(
        &mut self,
        from: SocketAddr,
        sequence: u32,
        after: Option<&NodeId>,
        buckets: &[u64],
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        if buckets.len() != VIEW_BUCKETS {
            return;
        }
        let mut bytes_left = self
            .options
            .max_message_bytes
            .saturating_sub(ENVELOPE_BYTES + RESERVED_REPORT_BYTES);
        let mut updates: Vec<MemberUpdate> = Vec::new();
        let mut fingerprints = Vec::new();
        let mut continue_after = None;
        if after.is_none() {
            // The answering member itself is part of the first chunk.
            let own = self.own_update(true);
            bytes_left = bytes_left.saturating_sub(own.size_bound());
            updates.push(own);
            fingerprints.push(self.own_fingerprint());
        }
        let mut last_node: Option<NodeId> = None;
        let lower_bound = after.map_or(Bound::Unbounded, Bound::Excluded);
        for (node, member) in self
            .members
            .range::<NodeId, _>((lower_bound, Bound::Unbounded))
        {
            let bucket = member.bucket();
            if self.buckets[bucket] == buckets[bucket] {
                continue;
            }
            let update = member.update(true);
            let Some(remaining_bytes) = bytes_left.checked_sub(update.size_bound()) else {
                continue_after = last_node;
                break;
            };
            bytes_left = remaining_bytes;
            updates.push(update);
            fingerprints.push(member.fingerprint);
            last_node = Some(node.clone());
        }
        let reports = self
            .config_reports
            .groups_of(&fingerprints, bytes_left + RESERVED_REPORT_BYTES);
        let message = GossipMessage {
            sender: self.sender_header(),
            body: GossipBody::SyncReply {
                sequence,
                continue_after,
            },
            updates,
            reports,
        };
        outgoing.push(OutgoingMessage { to: from, message });
    }

    pub(super) fn handle_sync_reply(
        &mut self,
        sequence: u32,
        continue_after: Option<NodeId>,
        now: TimePoint,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        let Some(sync) = self
            .syncing
            .current
            .take_if(|sync| sync.sequence == sequence)
        else {
            return;
        };
        if continue_after.is_some() {
            self.send_sync_request(sync.peer, continue_after, 0, now, outgoing);
        } else {
            self.syncing.is_joined = true;
            self.syncing.differing_peer = None;
        }
    }

    fn join(&mut self, now: TimePoint, rng: &mut impl Rng, outgoing: &mut Vec<OutgoingMessage>) {
        let own_address = self.record.gossip_address;
        let seeds: SmallVec<[SocketAddr; 8]> = self
            .options
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != own_address)
            .collect();
        if seeds.is_empty() {
            self.syncing.is_joined = true;
            return;
        }
        if now >= self.syncing.next_join_at {
            self.syncing.next_join_at = now + maintenance::jittered(self.options.join_period, rng);
            let seed = seeds[rng.random_range(0..seeds.len())];
            self.begin_sync(seed, now, outgoing);
        }
    }

    /// Asks again for a chunk that did not come; returns true while a sync goes on.
    fn retry_sync(&mut self, now: TimePoint, outgoing: &mut Vec<OutgoingMessage>) -> bool {
        let join_period = self.options.join_period;
        let late = self
            .syncing
            .current
            .take_if(|sync| now.since(sync.asked_at) >= join_period);
        if let Some(sync) = late
            && sync.tries + 1 < MAX_SYNC_TRIES
            && (self.syncing.is_joined || sync.after.is_some())
        {
            self.send_sync_request(sync.peer, sync.after, sync.tries + 1, now, outgoing);
        }
        self.syncing.current.is_some()
    }

    fn send_sync_request(
        &mut self,
        peer: SocketAddr,
        after: Option<NodeId>,
        tries: u32,
        now: TimePoint,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        let sequence = self.probing.next_sequence();
        let body = GossipBody::SyncRequest {
            sequence,
            after: after.clone(),
            buckets: SmallVec::from_slice(&self.buckets),
        };
        // The first question introduces this process.
        let introduction = after.is_none().then(|| self.own_update(true));
        outgoing.push(self.message_with_update(peer, body, introduction));
        self.syncing.current = Some(CurrentSync {
            peer,
            sequence,
            after,
            asked_at: now,
            tries,
        });
    }
}
