//! Fetching of missing objects from peers, with one open request per peer.

use std::collections::{BTreeMap, BTreeSet};

use alderhaven_core::config_object::{ObjectKey, StoredObject};
use alderhaven_core::ids::NodeId;
use alderhaven_core::time::TimePoint;
use rand::Rng;

use crate::exchange::exchange_message::{ExchangeMessage, ExchangeOutput, ObjectStamp};
use crate::exchange::object_exchange::{self, MissingObject, ObjectExchange};
use crate::exchange::peer_set::PeerSet;

/// Number of requests for an object before it is left to the next comparison.
const MAX_FETCH_TRIES: u32 = 3;

impl ObjectExchange {
    /// Marks versions newer than the held ones as missing, and fetches them from the peer that has
    /// them.
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

    /// Requests the next missing objects from a peer, unless a request to it is open.
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

    /// Accepts fetched objects, announces them to other peers and requests the next ones.
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
        // Objects that did not fit into the message are requested again immediately. If none
        // arrived, the peer does not hold them, and another peer is asked after the timeout.
        self.open_fetches.remove(from);
        if self.missing.len() < missing_before {
            self.fetch(from, now, output);
        }
    }

    /// Requests objects that did not arrive in time from another peer.
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
            // An object was abandoned, so the comparison must not make this node complete.
            self.comparison = None;
        }
        for peer in sources {
            self.fetch(&peer, now, output);
        }
    }

    /// Returns as many objects as fit into one message, at least one.
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
