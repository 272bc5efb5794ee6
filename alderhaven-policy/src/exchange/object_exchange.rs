//! One node's part in the exchange.

use std::collections::BTreeMap;

use alderhaven_core::config_object::{ObjectKey, StoredObject};
use alderhaven_core::ids::NodeId;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimePoint;
use rand::Rng;
use smallvec::SmallVec;

use crate::exchange::exchange_message::{ExchangeMessage, ExchangeOutput, ObjectStamp};
use crate::exchange::exchange_options::ExchangeOptions;
use crate::exchange::object_index::{INDEX_BUCKETS, ObjectIndex};
use crate::exchange::peer_set::PeerSet;
use crate::membership::member_record::ConfigDigest;

/// Decides what to announce, what to fetch and what to put in force.
///
/// It stores only versions. The objects themselves stay with the caller, which looks them up when
/// a peer requests them.
#[derive(Clone, Debug)]
pub struct ObjectExchange {
    pub(super) options: ExchangeOptions,
    pub(super) index: ObjectIndex,
    pub(super) missing: BTreeMap<ObjectKey, MissingObject>,
    /// Peers with an open fetch, and the time of the request.
    pub(super) open_fetches: BTreeMap<NodeId, TimePoint>,
    pub(super) comparison: Option<OpenComparison>,
    /// Peer to compare with next, because its digest differs.
    differing_peer: Option<NodeId>,
    /// Time since which peers have reported a digest that this node lags behind.
    behind_since: Option<TimePoint>,
    next_compare_at: TimePoint,
    is_complete: bool,
    /// Whether the node held all that a peer held, at any time since the start.
    has_compared: bool,
}

/// A version that a peer holds and this node has requested.
#[derive(Clone, Debug)]
pub(super) struct MissingObject {
    pub(super) version: StoreVersion,
    pub(super) source: NodeId,
    pub(super) hops: u32,
    pub(super) asked_at: TimePoint,
    pub(super) tries: u32,
}

/// A comparison that waits for versions or for the objects that they list.
#[derive(Clone, Debug)]
pub(super) struct OpenComparison {
    peer: NodeId,
    asked_at: TimePoint,
    /// Whether the last chunk has arrived, from a peer that is complete.
    is_fully_listed: bool,
}

impl ObjectExchange {
    /// Creates the exchange of a node that holds no objects.
    #[must_use]
    pub fn new(options: ExchangeOptions) -> Self {
        Self {
            options,
            index: ObjectIndex::default(),
            missing: BTreeMap::new(),
            open_fetches: BTreeMap::new(),
            comparison: None,
            differing_peer: None,
            behind_since: None,
            next_compare_at: TimePoint::START,
            is_complete: false,
            has_compared: false,
        }
    }

    /// Returns the digest of all held versions.
    #[must_use]
    pub const fn digest(&self) -> ConfigDigest {
        self.index.digest()
    }

    /// Returns true once the node holds everything that the store or a complete peer held. Before
    /// that, it must not serve.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns true once the node has held all that a peer held, what nodes publish to each other and
    /// the store lacks included.
    #[must_use]
    pub const fn has_compared(&self) -> bool {
        self.has_compared
    }

    /// Marks the node as complete, after the store was listed and its objects were passed to
    /// [`announce_held`](Self::announce_held).
    pub const fn mark_complete(&mut self) {
        self.is_complete = true;
    }

    /// Returns true if nothing is missing and no comparison is open or due.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let is_comparing = self.comparison.is_some() || self.differing_peer.is_some();
        self.is_complete && self.missing.is_empty() && !is_comparing
    }

    /// Returns the number of known objects whose newest version is not held yet.
    #[must_use]
    pub fn missing_count(&self) -> usize {
        self.missing.len()
    }

    /// Records versions that the node has put in force itself, and returns announcements of the
    /// new ones.
    pub fn announce_held(
        &mut self,
        stamps: Vec<ObjectStamp>,
        peers: &PeerSet,
        rng: &mut impl Rng,
    ) -> ExchangeOutput {
        let mut output = ExchangeOutput::default();
        let is_new = |stamp: &ObjectStamp| self.record_held(stamp);
        let stamps: Vec<ObjectStamp> = stamps.into_iter().filter(is_new).collect();
        self.announce(
            &stamps,
            self.options.max_hops,
            None,
            peers,
            rng,
            &mut output,
        );
        output
    }

    /// Handles the digest of a peer.
    ///
    /// Of two nodes whose digests differ, the one with less progress asks for a
    /// comparison, and both do if it is equal. If the other one lacks versions too, its progress
    /// is the lower one afterwards, and it asks in turn. Peers in other failure domains are
    /// asked only at random, so that a change enters a domain in a few copies. A node that still
    /// lags after `own_domain_wait` asks any peer.
    pub fn handle_digest(
        &mut self,
        peer: &NodeId,
        digest: ConfigDigest,
        peers: &PeerSet,
        now: TimePoint,
        rng: &mut impl Rng,
    ) {
        let own = self.digest();
        if digest.hash == own.hash {
            self.behind_since = None;
            self.has_compared |= self.is_complete;
        } else if digest.progress >= own.progress {
            let since = *self.behind_since.get_or_insert(now);
            let is_waiting = now.since(since) < self.options.own_domain_wait;
            if !is_waiting || peers.should_compare_with(peer, rng) {
                self.differing_peer = Some(peer.clone());
            }
        }
    }

    /// Gives up the requests to a peer whose connection has gone silent, so that the next
    /// [`tick`](Self::tick) sends them to another peer.
    pub fn give_up_requests(&mut self, peer: &NodeId) {
        self.comparison
            .take_if(|comparison| comparison.peer == *peer && !comparison.is_fully_listed);
        self.open_fetches.remove(peer);
        let lost = self.missing.values_mut();
        for missing in lost.filter(|missing| missing.source == *peer) {
            missing.asked_at = TimePoint::START;
        }
    }

    /// Runs all tasks that are due; must be called several times a second.
    pub fn tick(&mut self, peers: &PeerSet, now: TimePoint, rng: &mut impl Rng) -> ExchangeOutput {
        let mut output = ExchangeOutput::default();
        self.retry_fetches(peers, now, rng, &mut output);
        let timeout = self.options.answer_timeout;
        // Once all versions are listed, the missing objects have their own timeouts.
        self.comparison.take_if(|comparison| {
            !comparison.is_fully_listed && now.since(comparison.asked_at) >= timeout
        });
        if self.comparison.is_some() || now < self.next_compare_at {
            return output;
        }
        let peer = match self.differing_peer.take() {
            Some(peer) if peers.contains(&peer) => Some(peer),
            _ if !self.is_complete => peers.pick(rng).cloned(),
            _ => None,
        };
        if let Some(peer) = peer {
            self.next_compare_at = now + self.options.compare_period;
            self.compare(peer, None, now, &mut output);
        }
        output
    }

    /// Handles a message from a peer. `look_up` returns an object that the node holds.
    pub fn receive(
        &mut self,
        from: &NodeId,
        message: ExchangeMessage,
        look_up: impl Fn(&ObjectKey) -> Option<StoredObject>,
        peers: &PeerSet,
        now: TimePoint,
        rng: &mut impl Rng,
    ) -> ExchangeOutput {
        let mut output = ExchangeOutput::default();
        match message {
            ExchangeMessage::Announce { stamps, hops } => {
                self.request_newer(from, &stamps, hops, now, &mut output);
            }
            ExchangeMessage::Compare { buckets, after } => {
                self.handle_compare(from, &buckets, after.as_ref(), &mut output);
            }
            ExchangeMessage::Stamps {
                stamps,
                continue_after,
                is_complete,
            } => {
                // Versions from another domain are new to the own domain, so they are announced
                // there.
                let hops = if peers.is_in_own_domain(from) {
                    0
                } else {
                    self.options.max_hops
                };
                self.request_newer(from, &stamps, hops, now, &mut output);
                self.handle_stamps(from, continue_after, is_complete, now, &mut output);
            }
            ExchangeMessage::Fetch { keys } => {
                let objects = self.take_within_limits(keys.iter().filter_map(look_up));
                output
                    .send
                    .push((from.clone(), ExchangeMessage::Objects { objects }));
            }
            ExchangeMessage::Objects { objects } => {
                self.handle_objects(from, objects, peers, now, rng, &mut output);
            }
        }
        self.finish_comparison();
        output
    }

    /// Accepts an object if it is newer than the held version.
    pub(super) fn accept_object(
        &mut self,
        object: StoredObject,
        output: &mut ExchangeOutput,
    ) -> Option<ObjectStamp> {
        let stamp = ObjectStamp::from(&object);
        if !self.record_held(&stamp) {
            return None;
        }
        output.accept.push(object);
        Some(stamp)
    }

    /// Records a held version; returns true if it is newer than the previous one.
    fn record_held(&mut self, stamp: &ObjectStamp) -> bool {
        if !is_configuration(&stamp.key) || !self.index.insert(&stamp.key, stamp.version) {
            return false;
        }
        self.behind_since = None;
        let is_satisfied = |missing: &MissingObject| missing.version <= stamp.version;
        if self.missing.get(&stamp.key).is_some_and(is_satisfied) {
            self.missing.remove(&stamp.key);
        }
        true
    }

    /// Announces versions to random peers, if any hops are left.
    pub(super) fn announce(
        &self,
        stamps: &[ObjectStamp],
        hops: u32,
        excluded: Option<&NodeId>,
        peers: &PeerSet,
        rng: &mut impl Rng,
        output: &mut ExchangeOutput,
    ) {
        if hops == 0 {
            return;
        }
        let mut recipients: SmallVec<[NodeId; 6]> = SmallVec::new();
        let mut add_recipient = |peer: Option<&NodeId>| {
            if let Some(peer) = peer
                && excluded != Some(peer)
                && !recipients.contains(peer)
            {
                recipients.push(peer.clone());
            }
        };
        for _ in 0..self.options.fanout {
            add_recipient(peers.pick(rng));
        }
        // A change from the store is new to all domains.
        let cross_domain_count = if excluded.is_none() {
            self.options.cross_domain_fanout
        } else {
            0
        };
        for _ in 0..cross_domain_count {
            add_recipient(peers.pick_cross_domain(rng));
        }
        for (peer, stamps) in recipients.iter().flat_map(|peer| {
            stamps
                .chunks(self.options.max_stamps)
                .map(move |chunk| (peer, chunk))
        }) {
            let message = ExchangeMessage::Announce {
                stamps: stamps.to_vec(),
                hops: hops - 1,
            };
            output.send.push((peer.clone(), message));
        }
    }

    /// Asks a peer for the versions that differ, after a key.
    fn compare(
        &mut self,
        peer: NodeId,
        after: Option<ObjectKey>,
        now: TimePoint,
        output: &mut ExchangeOutput,
    ) {
        let buckets = self.index.buckets().to_vec();
        output
            .send
            .push((peer.clone(), ExchangeMessage::Compare { buckets, after }));
        self.comparison = Some(OpenComparison {
            peer,
            asked_at: now,
            is_fully_listed: false,
        });
    }

    /// Sends the versions after `after` in the buckets that differ.
    fn handle_compare(
        &self,
        from: &NodeId,
        buckets: &[u64],
        after: Option<&ObjectKey>,
        output: &mut ExchangeOutput,
    ) {
        if buckets.len() != INDEX_BUCKETS {
            return;
        }
        let (stamps, continue_after) =
            self.index
                .differing_stamps(buckets, after, self.options.max_stamps);
        let message = ExchangeMessage::Stamps {
            stamps,
            continue_after,
            is_complete: self.is_complete,
        };
        output.send.push((from.clone(), message));
    }

    /// Requests the next chunk of the open comparison, or marks it as fully listed.
    fn handle_stamps(
        &mut self,
        from: &NodeId,
        continue_after: Option<ObjectKey>,
        is_complete: bool,
        now: TimePoint,
        output: &mut ExchangeOutput,
    ) {
        let Some(mut comparison) = self
            .comparison
            .take_if(|comparison| comparison.peer == *from)
        else {
            return;
        };
        if continue_after.is_some() {
            self.compare(comparison.peer, continue_after, now, output);
        } else if is_complete {
            comparison.is_fully_listed = true;
            comparison.asked_at = now;
            self.comparison = Some(comparison);
        }
    }

    /// Completes a comparison once all of its objects have arrived.
    ///
    /// Only a comparison with a complete peer makes a node complete. Otherwise two nodes that
    /// start while the store is down would take each other's empty index for the full
    /// configuration, and refuse every template.
    fn finish_comparison(&mut self) {
        let is_done = self
            .comparison
            .as_ref()
            .is_some_and(|comparison| comparison.is_fully_listed);
        if is_done && self.missing.is_empty() {
            self.comparison = None;
            self.is_complete = true;
            self.has_compared = true;
        }
    }
}

/// Returns true for kinds that are distributed by the exchange.
pub(super) fn is_configuration(key: &ObjectKey) -> bool {
    key.kind.is_exchanged()
}
