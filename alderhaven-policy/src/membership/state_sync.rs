//! Anti-entropy: comparison of views and transfer of the differences in bounded chunks.
//!
//! Each message carries a hash of the sender's view. If two views still differ once updates have
//! settled, the process that notices asks for the members in the buckets that differ. A joining
//! process asks with an empty view and so receives all members.

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

/// Number of requests for one chunk before the sync is abandoned.
const MAX_SYNC_TRIES: u32 = 3;

/// Time without changes after which a difference between views is not explained by updates in
/// transit.
const VIEW_SETTLE_TIME: TimeSpan = TimeSpan::from_secs(1);

/// Time that a joining process waits for a reply before it asks another member; must exceed the
/// round-trip time between regions.
const JOIN_REPLY_TIMEOUT: TimeSpan = TimeSpan::from_millis(150);

/// Bytes of a chunk that are reserved for reports.
const RESERVED_REPORT_BYTES: usize = 100;

/// Times of the next syncs, and the one that is under way.
#[derive(Debug, Default)]
pub(super) struct SyncSchedule {
    pub(super) is_joined: bool,
    current: Option<CurrentSync>,
    differing_peer: Option<SocketAddr>,
    next_join_at: TimePoint,
    next_sync_at: TimePoint,
}

impl SyncSchedule {
    /// Returns true if the process has joined and no sync is under way.
    pub(super) const fn is_idle(&self) -> bool {
        self.is_joined && self.current.is_none()
    }
}

/// A sync that waits for its next chunk.
#[derive(Debug)]
struct CurrentSync {
    peer: SocketAddr,
    sequence: u32,
    after: Option<NodeId>,
    asked_at: TimePoint,
    tries: u32,
}

impl GroupMembership {
    /// Continues or repeats the current sync, or starts one to join or to resolve a difference.
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

    /// Starts a sync with a peer, unless one is under way.
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

    /// Records a sender whose view differs as the peer to sync with next.
    ///
    /// A process that has not joined yet joins through any member that contacts it. If all seeds
    /// are down, a restarted process is still probed by members that knew its address before.
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

    /// Sends the members after `after` in the buckets that differ, as far as they fit into one
    /// message.
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
            // The first chunk includes the replying process itself.
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

    /// Requests the next chunk, or completes the sync after the last one.
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

    /// Syncs with a random seed, once a join period; without seeds, the process counts as joined.
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

    /// Repeats a request whose reply is overdue; returns true while a sync is under way.
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
        // The first request introduces this process.
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
