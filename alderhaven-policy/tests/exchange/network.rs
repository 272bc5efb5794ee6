//! In-memory network of nodes, and a store that some of them watch.

use std::collections::BTreeMap;
use std::rc::Rc;

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::{NodeId, StoreEra};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::config_registry::ConfigRegistry;
use alderhaven_policy::exchange::exchange_message::{ExchangeMessage, ExchangeOutput, ObjectStamp};
use alderhaven_policy::exchange::exchange_options::ExchangeOptions;
use alderhaven_policy::exchange::object_exchange::ObjectExchange;
use alderhaven_policy::exchange::peer_set::PeerSet;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const TICK_PERIOD: TimeSpan = TimeSpan::from_millis(50);

/// Mean number of ticks between two digests that a node receives by gossip.
const DIGEST_PERIOD_STEPS: u64 = 4;

/// Runs several nodes and delivers their messages.
pub struct ExchangeNetwork {
    pub nodes: Vec<FakeNode>,
    pub store: FakeStore,
    pub now: TimePoint,
    pub loss: f64,
    pub max_delay: TimeSpan,
    pub watcher_count: usize,
    domain_count: usize,
    peers: Vec<Rc<PeerSet>>,
    /// Bytes of object bodies sent between failure domains.
    pub cross_domain_bytes: usize,
    rng: StdRng,
    packets: BTreeMap<(TimePoint, u64), (usize, usize, ExchangeMessage)>,
    packet_count: u64,
}

/// A node that may be paused or isolated; a restart replaces it.
pub struct FakeNode {
    pub registry: ConfigRegistry,
    pub exchange: ObjectExchange,
    pub side: u8,
    pub is_paused: bool,
}

/// Store with conditional writes; it keeps all versions.
#[derive(Default)]
pub struct FakeStore {
    pub newest: BTreeMap<ObjectKey, StoredObject>,
    pub is_down: bool,
    history: Vec<StoredObject>,
    era: StoreEra,
}

impl FakeStore {
    /// Writes an object if its version is `expected`; returns whether it did.
    pub fn write(&mut self, key: &ObjectKey, expected: StoreVersion, body: Option<&str>) -> bool {
        let held = self.version(key);
        if self.is_down || held != expected {
            return false;
        }
        let revision = self.history.len() as u64 + 1;
        let version = StoreVersion::of_revision(revision).in_era(self.era);
        let object = StoredObject {
            key: key.clone(),
            version,
            write_id: version.to_string(),
            body: body.map(str::to_owned),
        };
        self.history.push(object.clone());
        self.newest.insert(key.clone(), object);
        true
    }

    /// Comes back in a new era with the first `writes` writes of the history alone.
    pub fn come_back(&mut self, writes: usize) {
        self.era = StoreEra(self.era.0 + 1);
        self.history.truncate(writes);
        for object in &mut self.history {
            object.version = object.version.in_era(self.era);
        }
        let newest = self.history.iter();
        self.newest = newest
            .map(|object| (object.key.clone(), object.clone()))
            .collect();
    }

    /// Returns the version of an object, 0 if it was never written.
    pub fn version(&self, key: &ObjectKey) -> StoreVersion {
        self.newest
            .get(key)
            .map_or(StoreVersion::default(), |object| object.version)
    }
}

/// Returns the key of a test object.
pub fn key(index: usize) -> ObjectKey {
    ObjectKey {
        kind: ObjectKind::Drain,
        name: format!("target-{index}"),
    }
}

fn node_id(index: usize) -> NodeId {
    format!("node-{index}").parse().expect("the id is valid")
}

fn index_of(node: &NodeId) -> usize {
    node.as_str()["node-".len()..]
        .parse()
        .expect("the id ends in the index")
}

fn peers_of(index: usize, count: usize, domains: usize) -> PeerSet {
    let others = (0..count).filter(|other| *other != index);
    let is_in_own_domain = |other: &usize| other % domains == index % domains;
    let (own_domain, other_domains): (Vec<usize>, Vec<usize>) = others.partition(is_in_own_domain);
    let ids = |indexes: Vec<usize>| indexes.into_iter().map(node_id).collect();
    PeerSet::new(ids(own_domain), ids(other_domains))
}

fn body_bytes(message: &ExchangeMessage) -> usize {
    let ExchangeMessage::Objects { objects } = message else {
        return 0;
    };
    let bodies = objects.iter().filter_map(|object| object.body.as_ref());
    bodies.map(String::len).sum()
}

fn new_node() -> FakeNode {
    FakeNode {
        registry: ConfigRegistry::default(),
        exchange: ObjectExchange::new(ExchangeOptions::default()),
        side: 0,
        is_paused: false,
    }
}

impl ExchangeNetwork {
    pub fn new(count: usize, seed: u64) -> Self {
        let mut network = Self {
            nodes: (0..count).map(|_| new_node()).collect(),
            store: FakeStore::default(),
            now: TimePoint::from_micros(1_000_000),
            loss: 0.0,
            max_delay: TimeSpan::from_millis(5),
            watcher_count: 2,
            domain_count: 1,
            peers: Vec::new(),
            cross_domain_bytes: 0,
            rng: StdRng::seed_from_u64(seed),
            packets: BTreeMap::new(),
            packet_count: 0,
        };
        network.split_into_domains(1);
        network
    }

    /// Restarts a node without state. It lists the store, if that is up.
    pub fn restart(&mut self, index: usize) {
        let side = self.nodes[index].side;
        self.nodes[index] = new_node();
        self.nodes[index].side = side;
        if !self.store.is_down {
            self.list_store(index);
        }
    }

    /// Lets a node list the store.
    pub fn list_store(&mut self, index: usize) {
        let objects = self.store.newest.values().cloned().collect();
        self.nodes[index].exchange.mark_complete();
        self.accept(index, objects);
    }

    /// Delivers old changes to a node again, as a watch does that is resumed too far back.
    pub fn replay(&mut self, index: usize) {
        let older = self.store.history.len() / 2;
        let objects = self.store.history[..older].to_vec();
        self.accept(index, objects);
    }

    /// Returns the version of an object that a node has in force.
    pub fn held_version(&self, index: usize, key: &ObjectKey) -> Option<StoreVersion> {
        let registry = &self.nodes[index].registry;
        registry
            .objects()
            .find(|object| object.key == *key)
            .map(|object| object.version)
    }

    /// Returns true if every node is complete and holds the same objects as the store.
    pub fn all_match_store(&self) -> bool {
        self.nodes.iter().all(|node| {
            node.registry.objects().eq(self.store.newest.values()) && node.exchange.is_complete()
        })
    }

    pub fn run_until(
        &mut self,
        span: TimeSpan,
        is_done: impl Fn(&Self) -> bool,
    ) -> Option<TimeSpan> {
        let start = self.now;
        while self.now.since(start) < span {
            if is_done(self) {
                return Some(self.now.since(start));
            }
            self.step();
        }
        is_done(self).then(|| self.now.since(start))
    }

    /// Assigns the nodes to failure domains in rotation.
    pub fn split_into_domains(&mut self, domains: usize) {
        self.domain_count = domains;
        let count = self.nodes.len();
        self.peers = (0..count)
            .map(|index| Rc::new(peers_of(index, count, domains)))
            .collect();
    }

    fn peers(&self, index: usize) -> Rc<PeerSet> {
        Rc::clone(&self.peers[index])
    }

    fn accept(&mut self, index: usize, objects: Vec<StoredObject>) {
        let peers = self.peers(index);
        let stamps = objects.iter().map(ObjectStamp::from).collect();
        let node = &mut self.nodes[index];
        for object in objects {
            node.registry.accept(object);
        }
        let output = node.exchange.announce_held(stamps, &peers, &mut self.rng);
        self.carry_out(index, output);
    }

    fn carry_out(&mut self, index: usize, output: ExchangeOutput) {
        for object in output.accept {
            self.nodes[index].registry.accept(object);
        }
        for (to, message) in output.send {
            let to = index_of(&to);
            let is_cut = self.nodes[index].side != self.nodes[to].side;
            if is_cut || self.rng.random_bool(self.loss) {
                continue;
            }
            if to % self.domain_count != index % self.domain_count {
                self.cross_domain_bytes += body_bytes(&message);
            }
            let delay = self.rng.random_range(200..=self.max_delay.as_micros());
            self.packet_count += 1;
            let at = self.now + TimeSpan::from_micros(delay);
            self.packets
                .insert((at, self.packet_count), (index, to, message));
        }
    }

    fn step(&mut self) {
        let end = self.now + TICK_PERIOD;
        while let Some((&(at, number), _)) = self.packets.first_key_value() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            if let Some((from, to, message)) = self.packets.remove(&(at, number)) {
                self.deliver(from, to, message);
            }
        }
        self.now = end;
        for index in 0..self.nodes.len() {
            if !self.nodes[index].is_paused {
                self.tick(index);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        if index < self.watcher_count && !self.store.is_down {
            self.list_store(index);
        }
        let is_digest_due = self.rng.random_range(0..DIGEST_PERIOD_STEPS) == 0;
        if is_digest_due && self.nodes.len() > 1 {
            let other = self.rng.random_range(0..self.nodes.len());
            let (digest, side) = (self.nodes[other].exchange.digest(), self.nodes[other].side);
            let is_received = side == self.nodes[index].side && !self.nodes[other].is_paused;
            if is_received {
                let peers = self.peers(index);
                self.nodes[index].exchange.handle_digest(
                    &node_id(other),
                    digest,
                    &peers,
                    self.now,
                    &mut self.rng,
                );
            }
        }
        let peers = self.peers(index);
        let output = self.nodes[index]
            .exchange
            .tick(&peers, self.now, &mut self.rng);
        self.carry_out(index, output);
    }

    fn deliver(&mut self, from: usize, to: usize, message: ExchangeMessage) {
        if self.nodes[to].is_paused {
            return;
        }
        let peers = self.peers(to);
        let node = &mut self.nodes[to];
        let registry = &node.registry;
        let look_up = |key: &ObjectKey| registry.object(key).cloned();
        let output = node.exchange.receive(
            &node_id(from),
            message,
            look_up,
            &peers,
            self.now,
            &mut self.rng,
        );
        self.carry_out(to, output);
    }
}
