//! How objects that are known of are got from peers, one message at a time.

use std::collections::{BTreeMap, BTreeSet};

use alderhaven_core::config_object::{ObjectKey, StoredObject};
use alderhaven_core::ids::NodeId;
use alderhaven_core::time::TimePoint;
use rand::Rng;

use crate::exchange::exchange_message::{ExchangeMessage, ExchangeOutput, ObjectStamp};
use crate::exchange::object_exchange::{self, MissingObject, ObjectExchange};
use crate::exchange::peer_set::PeerSet;

/// How often an object is asked for before it is left to the next comparison.
const MAX_FETCH_TRIES: u32 = 3;

impl ObjectExchange {
    /// Asks for what is newer than what the node holds.
    pub(super) fn request_newer(
        &mut self,
        from: &NodeId,
        stamps: &[ObjectStamp],
        hops: u32,
        now: TimePoint,
        output: &mut ExchangeOutput,
    ) {
        for stamp in stamps {
            let held_version = self.index.version(&stamp.key);
            let requested_version = self.missing.get(&stamp.key).map(|missing| missing.version);
            let is_known = held_version.max(requested_version) >= Some(stamp.version);
            if is_known || !object_exchange::is_configuration(&stamp.key) {
                continue;
            }
            let missing = MissingObject {
                version: stamp.version,
                source: from.clone(),
                hops,
                asked_at: now,
                tries: 1,
            };
            self.missing.insert(stamp.key.clone(), missing);
        }
        self.fetch(from, now, output);
    }

    /// Asks a peer for the next of what it is to give, one message at a time.
    fn fetch(&mut self, from: &NodeId, now: TimePoint, output: &mut ExchangeOutput) {
        if self.open_fetches.contains_key(from) {
            return;
        }
        let wanted = self
            .missing
            .iter_mut()
            .filter(|(_, missing)| missing.source == *from);
        let keys: Vec<ObjectKey> = wanted
            .take(self.options.max_stamps)
            .map(|(key, missing)| {
                missing.asked_at = now;
                key.clone()
            })
            .collect();
        if !keys.is_empty() {
            self.open_fetches.insert(from.clone(), now);
            output
                .send
                .push((from.clone(), ExchangeMessage::Fetch { keys }));
        }
    }

    pub(super) fn handle_objects(
        &mut self,
        from: &NodeId,
        objects: Vec<StoredObject>,
        peers: &PeerSet,
        now: TimePoint,
        rng: &mut impl Rng,
        output: &mut ExchangeOutput,
    ) {
        let mut by_hops: BTreeMap<u32, Vec<ObjectStamp>> = BTreeMap::new();
        let missing_before = self.missing.len();
        for object in objects {
            let hops = self
                .missing
                .get(&object.key)
                .map_or(0, |missing| missing.hops);
            if let Some(stamp) = self.accept_object(object, output) {
                by_hops.entry(hops).or_default().push(stamp);
            }
        }
        for (hops, stamps) in by_hops {
            self.announce(&stamps, hops, Some(from), peers, rng, output);
        }
        // A full message leaves some out; they are asked for again at once. Where none came, the
        // peer does not hold them, and they are asked for elsewhere in time.
        self.open_fetches.remove(from);
        if self.missing.len() < missing_before {
            self.fetch(from, now, output);
        }
    }

    /// Asks elsewhere for what was not answered.
    pub(super) fn retry_fetches(
        &mut self,
        peers: &PeerSet,
        now: TimePoint,
        rng: &mut impl Rng,
        output: &mut ExchangeOutput,
    ) {
        let timeout = self.options.answer_timeout;
        self.open_fetches
            .retain(|_, asked_at| now.since(*asked_at) < timeout);
        let mut sources: BTreeSet<NodeId> = BTreeSet::new();
        let missing_before = self.missing.len();
        self.missing.retain(|_, missing| {
            if now.since(missing.asked_at) < timeout {
                return true;
            }
            missing.tries += 1;
            missing.asked_at = now;
            let peer = peers.pick(rng).filter(|_| missing.tries <= MAX_FETCH_TRIES);
            let Some(peer) = peer.cloned() else {
                return false;
            };
            missing.source = peer.clone();
            sources.insert(peer);
            true
        });
        if self.missing.len() < missing_before {
            // Something was given up, so the open comparison must not count as complete.
            self.comparison = None;
        }
        for peer in sources {
            self.fetch(&peer, now, output);
        }
    }

    pub(super) fn take_within_limits(
        &self,
        objects: impl Iterator<Item = StoredObject>,
    ) -> Vec<StoredObject> {
        let mut bytes = 0;
        let mut selected = Vec::new();
        for object in objects.take(self.options.max_stamps) {
            bytes += object.body.as_ref().map_or(0, String::len);
            if bytes > self.options.max_object_bytes.as_bytes() && !selected.is_empty() {
                break;
            }
            selected.push(object);
        }
        selected
    }
}
