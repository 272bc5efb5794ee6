//! Queue of updates to piggyback on outgoing messages.

use std::collections::BTreeMap;

use alderhaven_core::ids::NodeId;

use crate::membership::gossip_message::MemberUpdate;

/// Newest update of each member, with the number of messages that have carried it.
///
/// The least sent updates go first, so that each update of a burst reaches some member soon.
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
    /// Adds an update; it replaces an earlier one of the same member.
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

    /// Returns true if no update is waiting to be sent.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// Returns the number of members with a pending update.
    #[must_use]
    pub fn len(&self) -> usize {
        self.updates.len()
    }

    /// Takes updates for one message, at most `bytes` bytes in total. Updates that have been sent
    /// `retransmissions` times are removed.
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
