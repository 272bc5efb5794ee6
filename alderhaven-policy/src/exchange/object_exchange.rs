//! The aggregate of one node's part in the exchange.

use std::collections::{BTreeMap, BTreeSet};

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::{NodeId, StoreVersion};
use alderhaven_core::time::TimePoint;
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::exchange::exchange_message::{ExchangeMessage, ExchangeStep, ObjectStamp};
use crate::exchange::exchange_options::ExchangeOptions;
use crate::exchange::object_index::{INDEX_BUCKETS, ObjectIndex};
use crate::membership::member_record::ConfigDigest;

/// How often an object is asked for before it is left to the next comparison.
const MAX_TRIES: u32 = 3;

/// An `ObjectExchange` decides what to announce, what to ask for and what to put in force.
///
/// It holds versions only; the objects themselves stay where they are in force, and are got by the
/// caller's look-up when a peer wants them.
#[derive(Clone, Debug)]
pub struct ObjectExchange {
    options: ExchangeOptions,
    index: ObjectIndex,
    missing: BTreeMap<ObjectKey, MissingObject>,
    /// The peers with a fetch under way, and since when.
    fetching: BTreeMap<NodeId, TimePoint>,
    comparison: Option<OpenComparison>,
    differing: Option<NodeId>,
    compare_at: TimePoint,
    is_complete: bool,
}

#[derive(Clone, Debug)]
struct MissingObject {
    version: StoreVersion,
    source: NodeId,
    hops: u32,
    asked_at: TimePoint,
    tries: u32,
}

#[derive(Clone, Debug)]
struct OpenComparison {
    peer: NodeId,
    asked_at: TimePoint,
    /// Whether the peer's answer ended with all that a complete node holds.
    is_listed: bool,
}

impl ObjectExchange {
    /// Returns the exchange of a node that holds nothing.
    #[must_use]
    pub fn new(options: ExchangeOptions) -> Self {
        Self {
            options,
            index: ObjectIndex::default(),
            missing: BTreeMap::new(),
            fetching: BTreeMap::new(),
            comparison: None,
            differing: None,
            compare_at: TimePoint::START,
            is_complete: false,
        }
    }

    /// Gets the digest of what the node holds.
    #[must_use]
    pub const fn digest(&self) -> ConfigDigest {
        self.index.digest()
    }

    /// Returns true once the node holds all that the store or a complete peer held; before, it must
    /// not serve.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Notes that the store was listed, so that all it holds was given to [`accept`](Self::accept).
    pub const fn complete(&mut self) {
        self.is_complete = true;
    }

    /// Gets the number of objects that are known of and not held yet.
    #[must_use]
    pub fn missing(&self) -> usize {
        self.missing.len()
    }

    /// Takes objects that came from the store; returns those that are new, and their
    /// announcements.
    pub fn accept(
        &mut self,
        objects: Vec<StoredObject>,
        peers: &[NodeId],
        rng: &mut impl Rng,
    ) -> ExchangeStep {
        let mut step = ExchangeStep::default();
        let mut stamps = Vec::new();
        for object in objects {
            if let Some(stamp) = self.take(object, &mut step) {
                stamps.push(stamp);
            }
        }
        self.announce(&stamps, self.options.max_hops, None, peers, rng, &mut step);
        step
    }

    /// Takes the digest that a peer says it holds.
    ///
    /// Only the one that is not ahead asks: it then is ahead in turn, and the other asks it.
    pub fn hear_digest(&mut self, peer: &NodeId, digest: ConfigDigest) {
        let own = self.digest();
        if digest.hash != own.hash && digest.progress >= own.progress {
            self.differing = Some(peer.clone());
        }
    }

    /// Does what is due; to be called several times a second.
    pub fn tick(&mut self, peers: &[NodeId], now: TimePoint, rng: &mut impl Rng) -> ExchangeStep {
        let mut step = ExchangeStep::default();
        self.retry(peers, now, rng, &mut step);
        let timeout = self.options.answer_timeout;
        // Once all is listed, the objects have time-outs of their own.
        self.comparison.take_if(|comparison| {
            !comparison.is_listed && now.since(comparison.asked_at) >= timeout
        });
        if self.comparison.is_some() || now < self.compare_at {
            return step;
        }
        let peer = match self.differing.take() {
            Some(peer) if peers.contains(&peer) => Some(peer),
            _ if !self.is_complete => pick(peers, None, rng),
            _ => None,
        };
        if let Some(peer) = peer {
            self.compare_at = now + self.options.compare_period;
            self.compare(peer, None, now, &mut step);
        }
        step
    }

    /// Takes a message from a peer; `look_up` gets an object that the node holds.
    pub fn receive(
        &mut self,
        from: &NodeId,
        message: ExchangeMessage,
        look_up: impl Fn(&ObjectKey) -> Option<StoredObject>,
        peers: &[NodeId],
        now: TimePoint,
        rng: &mut impl Rng,
    ) -> ExchangeStep {
        let mut step = ExchangeStep::default();
        match message {
            ExchangeMessage::Announce { stamps, hops } => {
                self.want(from, &stamps, hops, now, &mut step);
            }
            ExchangeMessage::Compare { buckets, after } => {
                self.answer_compare(from, &buckets, after.as_ref(), &mut step);
            }
            ExchangeMessage::Stamps {
                stamps,
                next,
                is_complete,
            } => {
                self.want(from, &stamps, 0, now, &mut step);
                self.hear_stamps(from, next, is_complete, now, &mut step);
            }
            ExchangeMessage::Fetch { keys } => {
                let objects = self.bounded(keys.iter().filter_map(look_up));
                step.send
                    .push((from.clone(), ExchangeMessage::Objects { objects }));
            }
            ExchangeMessage::Objects { objects } => {
                self.hear_objects(from, objects, peers, now, rng, &mut step);
            }
        }
        self.finish_comparison();
        step
    }

    /// Asks for what is newer than what the node holds.
    fn want(
        &mut self,
        from: &NodeId,
        stamps: &[ObjectStamp],
        hops: u32,
        now: TimePoint,
        step: &mut ExchangeStep,
    ) {
        for stamp in stamps {
            let held = self.index.version(&stamp.key);
            let asked = self.missing.get(&stamp.key).map(|missing| missing.version);
            let is_known = held.max(asked) >= Some(stamp.version);
            if is_known || !is_configuration(&stamp.key) {
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
        self.fetch(from, now, step);
    }

    /// Asks a peer for the next of what it is to give, one message at a time.
    fn fetch(&mut self, from: &NodeId, now: TimePoint, step: &mut ExchangeStep) {
        if self.fetching.contains_key(from) {
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
            self.fetching.insert(from.clone(), now);
            step.send
                .push((from.clone(), ExchangeMessage::Fetch { keys }));
        }
    }

    fn hear_objects(
        &mut self,
        from: &NodeId,
        objects: Vec<StoredObject>,
        peers: &[NodeId],
        now: TimePoint,
        rng: &mut impl Rng,
        step: &mut ExchangeStep,
    ) {
        let mut by_hops: BTreeMap<u32, Vec<ObjectStamp>> = BTreeMap::new();
        let missing_before = self.missing.len();
        for object in objects {
            let hops = self
                .missing
                .get(&object.key)
                .map_or(0, |missing| missing.hops);
            if let Some(stamp) = self.take(object, step) {
                by_hops.entry(hops).or_default().push(stamp);
            }
        }
        for (hops, stamps) in by_hops {
            self.announce(&stamps, hops, Some(from), peers, rng, step);
        }
        // A full message leaves some out; they are asked for again at once. Where none came, the
        // peer does not hold them, and they are asked for elsewhere in time.
        self.fetching.remove(from);
        if self.missing.len() < missing_before {
            self.fetch(from, now, step);
        }
    }

    /// Takes one object where it is newer than what is held.
    fn take(&mut self, object: StoredObject, step: &mut ExchangeStep) -> Option<ObjectStamp> {
        if !is_configuration(&object.key) || !self.index.insert(&object.key, object.version) {
            return None;
        }
        let is_found = |missing: &MissingObject| missing.version <= object.version;
        if self.missing.get(&object.key).is_some_and(is_found) {
            self.missing.remove(&object.key);
        }
        let stamp = ObjectStamp {
            key: object.key.clone(),
            version: object.version,
        };
        step.accept.push(object);
        Some(stamp)
    }

    fn announce(
        &self,
        stamps: &[ObjectStamp],
        hops: u32,
        without: Option<&NodeId>,
        peers: &[NodeId],
        rng: &mut impl Rng,
        step: &mut ExchangeStep,
    ) {
        if hops == 0 {
            return;
        }
        let mut told: SmallVec<[NodeId; 4]> = SmallVec::new();
        for _ in 0..self.options.fanout {
            if let Some(peer) = pick(peers, without, rng)
                && !told.contains(&peer)
            {
                told.push(peer);
            }
        }
        for (peer, stamps) in told.iter().flat_map(|peer| {
            stamps
                .chunks(self.options.max_stamps)
                .map(move |part| (peer, part))
        }) {
            let message = ExchangeMessage::Announce {
                stamps: stamps.to_vec(),
                hops: hops - 1,
            };
            step.send.push((peer.clone(), message));
        }
    }

    fn compare(
        &mut self,
        peer: NodeId,
        after: Option<ObjectKey>,
        now: TimePoint,
        step: &mut ExchangeStep,
    ) {
        let buckets = self.index.buckets().to_vec();
        step.send
            .push((peer.clone(), ExchangeMessage::Compare { buckets, after }));
        self.comparison = Some(OpenComparison {
            peer,
            asked_at: now,
            is_listed: false,
        });
    }

    fn answer_compare(
        &self,
        from: &NodeId,
        buckets: &[u64],
        after: Option<&ObjectKey>,
        step: &mut ExchangeStep,
    ) {
        if buckets.len() != INDEX_BUCKETS {
            return;
        }
        let (stamps, next) = self
            .index
            .differing(buckets, after, self.options.max_stamps);
        let message = ExchangeMessage::Stamps {
            stamps,
            next,
            is_complete: self.is_complete,
        };
        step.send.push((from.clone(), message));
    }

    fn hear_stamps(
        &mut self,
        from: &NodeId,
        next: Option<ObjectKey>,
        is_complete: bool,
        now: TimePoint,
        step: &mut ExchangeStep,
    ) {
        let Some(mut comparison) = self
            .comparison
            .take_if(|comparison| comparison.peer == *from)
        else {
            return;
        };
        if next.is_some() {
            self.compare(comparison.peer, next, now, step);
        } else if is_complete {
            comparison.is_listed = true;
            comparison.asked_at = now;
            self.comparison = Some(comparison);
        }
    }

    /// Ends a comparison whose objects have all come.
    ///
    /// Guards against a node that starts while the store is down and asks another that has just
    /// started too: it would hold nothing, believe that this is all, and refuse every template.
    /// Only the answer of a complete node makes a node complete.
    fn finish_comparison(&mut self) {
        let is_done = self
            .comparison
            .as_ref()
            .is_some_and(|comparison| comparison.is_listed);
        if is_done && self.missing.is_empty() {
            self.comparison = None;
            self.is_complete = true;
        }
    }

    /// Asks elsewhere for what was not answered.
    fn retry(
        &mut self,
        peers: &[NodeId],
        now: TimePoint,
        rng: &mut impl Rng,
        step: &mut ExchangeStep,
    ) {
        let timeout = self.options.answer_timeout;
        self.fetching
            .retain(|_, asked_at| now.since(*asked_at) < timeout);
        let mut sources: BTreeSet<NodeId> = BTreeSet::new();
        let missing_before = self.missing.len();
        self.missing.retain(|_, missing| {
            if now.since(missing.asked_at) < timeout {
                return true;
            }
            missing.tries += 1;
            missing.asked_at = now;
            let Some(peer) = pick(peers, None, rng).filter(|_| missing.tries <= MAX_TRIES) else {
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
            self.fetch(&peer, now, step);
        }
    }

    fn bounded(&self, objects: impl Iterator<Item = StoredObject>) -> Vec<StoredObject> {
        let mut bytes = 0;
        let mut taken = Vec::new();
        for object in objects.take(self.options.max_stamps) {
            bytes += object.body.as_ref().map_or(0, String::len);
            if bytes > self.options.max_object_bytes.as_bytes() && !taken.is_empty() {
                break;
            }
            taken.push(object);
        }
        taken
    }
}

fn is_configuration(key: &ObjectKey) -> bool {
    ObjectKind::CONFIGURATION.contains(&key.kind)
}

fn pick(peers: &[NodeId], without: Option<&NodeId>, rng: &mut impl Rng) -> Option<NodeId> {
    if peers.is_empty() {
        return None;
    }
    let peer = &peers[rng.random_range(0..peers.len())];
    (without != Some(peer)).then(|| peer.clone())
}
