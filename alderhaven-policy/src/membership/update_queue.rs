//! News that is still to be passed on.

use std::collections::BTreeMap;

use alderhaven_core::ids::NodeId;

use crate::membership::gossip_message::MemberUpdate;

/// An `UpdateQueue` holds the newest news of each member and how often it has been sent.
///
/// What was sent least goes first, so that in a burst each piece is soon known to somebody.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    updates: BTreeMap<NodeId, QueuedUpdate>,
}

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: MemberUpdate,
    send_count: u32,
}

impl UpdateQueue {
    /// Adds news, which replaces older news of the same member.
    pub fn push(&mut self, update: MemberUpdate) {
        let node = update.node.clone();
        self.updates.insert(
            node,
            QueuedUpdate {
                update,
                send_count: 0,
            },
        );
    }

    /// Returns true where nothing is to be sent.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// Gets the number of members of whom there is news.
    #[must_use]
    pub fn len(&self) -> usize {
        self.updates.len()
    }

    /// Takes news for one message of at most `bytes` bytes, and drops what has now been sent
    /// `retransmissions` times.
    pub fn take(&mut self, bytes: usize, retransmissions: u32) -> Vec<MemberUpdate> {
        if self.updates.is_empty() {
            return Vec::new();
        }
        let mut send_order: Vec<&mut QueuedUpdate> = self.updates.values_mut().collect();
        send_order.sort_by_key(|queued| queued.send_count);
        let mut bytes_left = bytes;
        let mut taken = Vec::new();
        for queued in send_order {
            let size = queued.update.size_bound();
            if size <= bytes_left {
                bytes_left -= size;
                queued.send_count += 1;
                taken.push(queued.update.clone());
            }
        }
        self.updates
            .retain(|_, queued| queued.send_count < retransmissions);
        taken
    }
}
