//! Simulation of several entries, one store, and a network between them that loses, delays,
//! duplicates and reorders messages. It records which requests ran and asserts the ledger's
//! guarantees.

use std::collections::{BTreeMap, HashMap};

use alderhaven_core::config_object::StoredObject;
use alderhaven_core::ids::StoreEra;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::claim_batcher::ClaimBatcher;
use alderhaven_policy::claim_bucket::ClaimWriter;
use alderhaven_policy::claim_call::{ClaimAction, ClaimCall, ClaimReply};
use alderhaven_policy::claim_fingerprint::ClaimFingerprint;
use alderhaven_policy::claim_key::ClaimKey;
use alderhaven_policy::claim_options::ClaimOptions;
use alderhaven_policy::claim_slot::{ClaimSlot, KEY_SKEW, SLICE_MILLIS, SLOT_COUNT, slice_of};
use alderhaven_policy::claim_verdict::{ClaimTicket, ClaimVerdict};

/// The maximum number of rounds until a fault-free ledger is idle.
const MAX_SETTLE_ROUNDS: usize = 400;

/// One step of a simulation.
#[derive(Clone, Copy, Debug)]
pub enum LedgerOp {
    /// A caller sends a key to a node; `other` selects a different request.
    Send {
        node: usize,
        key: usize,
        other: bool,
    },
    /// A call reaches the store.
    Serve(usize),
    /// A call reaches the store, and is delivered once more later.
    ServeTwice(usize),
    /// A reply reaches its node.
    Reply(usize),
    /// A reply is lost.
    LoseReply(usize),
    /// A node gives up on a call that may still reach the store.
    Delay(usize),
    /// A call is lost.
    LoseCall(usize),
    /// A node dispatches a granted request, which runs or certainly does not.
    Dispatch { pick: usize, runs: bool },
    /// Time passes, in milliseconds.
    Advance(u64),
    /// A node restarts without any stored state.
    Crash(usize),
    /// The store goes out of service (`true`) or returns (`false`).
    Outage(bool),
    /// The store copies its objects.
    CopyStore,
    /// The store comes back from its last copy, in a new era.
    ComeBack,
}

struct PendingCall {
    node: usize,
    start: u64,
    call: ClaimCall,
    is_awaited: bool,
}

struct PendingReply {
    node: usize,
    start: u64,
    slot: ClaimSlot,
    content: ClaimReply,
}

struct SentClaim {
    start: u64,
    key: ClaimKey,
    other: bool,
    verdict: Option<ClaimVerdict>,
    dispatched: Option<bool>,
}

pub struct LedgerSimulation {
    now: TimePoint,
    start_count: u64,
    nodes: Vec<(u64, ClaimBatcher)>,
    store: BTreeMap<ClaimSlot, StoredObject>,
    version: u64,
    era: StoreEra,
    copy: (BTreeMap<ClaimSlot, StoredObject>, u64),
    is_store_down: bool,
    calls: Vec<PendingCall>,
    replies: Vec<PendingReply>,
    sent: HashMap<ClaimTicket, SentClaim>,
    order: Vec<ClaimTicket>,
    runs: HashMap<ClaimKey, usize>,
}

/// Returns one of five keys: 0 and 1 share a slice, and 2 and 3 share their slot one ring later.
pub fn sample_key(number: usize) -> ClaimKey {
    let round = SLICE_MILLIS * SLOT_COUNT;
    let millis = [0, 1, round, round + 1, SLICE_MILLIS][number];
    ClaimKey::new(round * 9 + millis, [u8::try_from(number).unwrap(); 10])
}

pub fn fingerprint(other: bool) -> ClaimFingerprint {
    ClaimFingerprint::from_bits(u64::from(other))
}

impl LedgerSimulation {
    pub fn new() -> Self {
        let mut simulation = Self {
            now: TimePoint::START,
            start_count: 0,
            nodes: Vec::new(),
            store: BTreeMap::new(),
            version: 0,
            era: StoreEra::default(),
            copy: (BTreeMap::new(), 0),
            is_store_down: false,
            calls: Vec::new(),
            replies: Vec::new(),
            sent: HashMap::new(),
            order: Vec::new(),
            runs: HashMap::new(),
        };
        for _ in 0..3 {
            let node = simulation.start_node();
            simulation.nodes.push(node);
        }
        simulation
    }

    fn start_node(&mut self) -> (u64, ClaimBatcher) {
        self.start_count += 1;
        let writer = ClaimWriter {
            node: "entry".parse().unwrap(),
            address: ([127, 0, 0, 1], 1).into(),
            origin: self.start_count,
        };
        let batcher =
            ClaimBatcher::new(writer, ClaimOptions::default(), self.start_count, self.now);
        (self.start_count, batcher)
    }

    pub fn apply(&mut self, op: LedgerOp) {
        match op {
            LedgerOp::Send { node, key, other } => {
                self.send(node, sample_key(key), other);
            }
            LedgerOp::Serve(pick) => self.serve(pick, false),
            LedgerOp::ServeTwice(pick) => self.serve(pick, true),
            LedgerOp::Reply(pick) => self.reply(pick, false),
            LedgerOp::LoseReply(pick) => self.reply(pick, true),
            LedgerOp::Delay(pick) => self.give_up_call(pick, false),
            LedgerOp::LoseCall(pick) => self.give_up_call(pick, true),
            LedgerOp::Dispatch { pick, runs } => self.dispatch(pick, runs),
            LedgerOp::Advance(millis) => self.now = self.now + TimeSpan::from_millis(millis),
            LedgerOp::Crash(node) => self.nodes[node] = self.start_node(),
            LedgerOp::Outage(outage) => self.is_store_down = outage,
            LedgerOp::CopyStore => self.copy = self.copy_store(),
            LedgerOp::ComeBack => self.come_back(),
        }
        self.step();
    }

    pub fn send(&mut self, node: usize, key: ClaimKey, other: bool) -> ClaimTicket {
        let deadline = self.now + TimeSpan::from_secs(3);
        let (start, batcher) = &mut self.nodes[node];
        let ticket = batcher.offer(key, fingerprint(other), deadline, self.now);
        let sent = SentClaim {
            start: *start,
            key,
            other,
            verdict: None,
            dispatched: None,
        };
        self.sent.insert(ticket, sent);
        self.order.push(ticket);
        ticket
    }

    pub fn verdict(&self, ticket: ClaimTicket) -> Option<&ClaimVerdict> {
        self.sent[&ticket].verdict.as_ref()
    }

    /// Returns a copy of the store for [`Self::restore_store`].
    pub fn copy_store(&self) -> (BTreeMap<ClaimSlot, StoredObject>, u64) {
        (self.store.clone(), self.version)
    }

    /// Replaces the store by its last copy, in a new era.
    pub fn come_back(&mut self) {
        self.era = StoreEra(self.era.0 + 1);
        self.restore_store(self.copy.clone());
    }

    /// Returns the wall clock of all nodes, past the timestamps of all sample keys.
    pub fn wall_millis(&self) -> u64 {
        let elapsed = self.now.since(TimePoint::START).as_millis();
        (0..5)
            .map(|number| sample_key(number).millis())
            .max()
            .unwrap()
            + elapsed
    }

    /// Replaces the store by an older copy.
    pub fn restore_store(&mut self, (store, version): (BTreeMap<ClaimSlot, StoredObject>, u64)) {
        self.store = store;
        self.version = version;
    }

    /// Lets every node make its calls, and checks the verdicts.
    pub fn step(&mut self) {
        for node in 0..self.nodes.len() {
            let (start, batcher) = &mut self.nodes[node];
            while let Some(call) = batcher.poll(self.now) {
                self.calls.push(PendingCall {
                    node,
                    start: *start,
                    call,
                    is_awaited: true,
                });
            }
            for (ticket, verdict) in batcher.take_verdicts() {
                self.check_verdict(ticket, verdict);
            }
        }
    }

    fn check_verdict(&mut self, ticket: ClaimTicket, verdict: ClaimVerdict) {
        let key = ticket.key;
        let other = self.sent[&ticket].other;
        let same_key = |sent: &&SentClaim| sent.key == key;
        let mut others = self.sent.values().filter(same_key);
        match &verdict {
            ClaimVerdict::Granted(granted) => assert_eq!(*granted, ticket),
            ClaimVerdict::Taken(_) => {
                assert!(others.filter(|sent| sent.other == other).count() > 1);
            }
            ClaimVerdict::Conflict => assert!(others.any(|sent| sent.other != other)),
            ClaimVerdict::TooOld => assert!(
                self.is_behind_horizon(key),
                "{key} is too old although no newer slice was claimed in its slot"
            ),
            ClaimVerdict::Refused { .. } => {}
        }
        let sent = self.sent.get_mut(&ticket).unwrap();
        assert!(sent.verdict.is_none(), "a second verdict for {ticket:?}");
        sent.verdict = Some(verdict);
    }

    fn is_behind_horizon(&self, key: ClaimKey) -> bool {
        self.sent.values().any(|sent| {
            ClaimSlot::of(&sent.key) == ClaimSlot::of(&key) && slice_of(&sent.key) > slice_of(&key)
        })
    }

    fn dispatch(&mut self, pick: usize, runs: bool) {
        let ready: Vec<ClaimTicket> = self.ready().collect();
        if ready.is_empty() {
            return;
        }
        let ticket = ready[pick % ready.len()];
        let sent = self.sent.get_mut(&ticket).unwrap();
        sent.dispatched = Some(runs);
        if runs {
            let count = self.runs.entry(sent.key).or_default();
            *count += 1;
            assert_eq!(*count, 1, "{} ran twice", sent.key);
        } else {
            let node = self.nodes.iter_mut().find(|node| node.0 == sent.start);
            node.unwrap().1.release(ticket);
        }
    }

    /// Returns the granted requests that live nodes have yet to dispatch.
    fn ready(&self) -> impl Iterator<Item = ClaimTicket> + '_ {
        self.order.iter().copied().filter(|ticket| {
            let sent = &self.sent[ticket];
            let is_up = self.nodes.iter().any(|node| node.0 == sent.start);
            let is_granted = matches!(sent.verdict, Some(ClaimVerdict::Granted(_)));
            is_up && is_granted && sent.dispatched.is_none()
        })
    }

    fn serve(&mut self, pick: usize, is_duplicated: bool) {
        if self.calls.is_empty() {
            return;
        }
        let index = pick % self.calls.len();
        let reply = self.store_reply(self.calls[index].call.clone());
        let pending = &mut self.calls[index];
        if pending.is_awaited {
            self.replies.push(PendingReply {
                node: pending.node,
                start: pending.start,
                slot: pending.call.slot,
                content: reply,
            });
        }
        pending.is_awaited = false;
        // A call that the store reported as not done must not take effect later.
        if !is_duplicated || self.is_store_down {
            self.calls.remove(index);
        }
    }

    fn store_reply(&mut self, call: ClaimCall) -> ClaimReply {
        if self.is_store_down {
            return ClaimReply::NotDone { retry_after: None };
        }
        let era = self.era;
        let current = self.store.get(&call.slot).cloned();
        let current = current.map(|object| StoredObject {
            version: object.version.in_era(era),
            ..object
        });
        // In later eras a client reads an absent object as deleted.
        let is_era_told = era > StoreEra::default();
        let current = current.or_else(|| {
            is_era_told.then(|| StoredObject {
                key: call.slot.object_key(),
                version: StoreVersion::default().in_era(era),
                write_id: String::new(),
                body: None,
            })
        });
        let ClaimAction::Write { expected, body } = call.action else {
            return ClaimReply::Bucket(current);
        };
        let version = current
            .as_ref()
            .map_or(StoreVersion::default(), |object| object.version);
        if version.revision != expected.revision {
            return ClaimReply::Conflict(current);
        }
        self.version += 1;
        let object = StoredObject {
            key: call.slot.object_key(),
            version: StoreVersion::of_revision(self.version),
            write_id: String::new(),
            body: Some(body),
        };
        self.store.insert(call.slot, object);
        if expected.revision > 0 && expected.era != era {
            // The store's client takes such a write for one of unknown outcome.
            return ClaimReply::Lost;
        }
        ClaimReply::Written(StoreVersion::of_revision(self.version).in_era(era))
    }

    fn reply(&mut self, pick: usize, is_lost: bool) {
        if self.replies.is_empty() {
            return;
        }
        let index = pick % self.replies.len();
        let reply = self.replies.remove(index);
        let delivered = if is_lost {
            ClaimReply::Lost
        } else {
            reply.content
        };
        self.deliver_reply(reply.node, reply.start, reply.slot, delivered);
    }

    fn give_up_call(&mut self, pick: usize, is_lost: bool) {
        if self.calls.is_empty() {
            return;
        }
        let index = pick % self.calls.len();
        let pending = &mut self.calls[index];
        let (node, start, slot) = (pending.node, pending.start, pending.call.slot);
        let was_awaited = std::mem::replace(&mut pending.is_awaited, false);
        if is_lost {
            self.calls.remove(index);
        }
        if was_awaited {
            self.deliver_reply(node, start, slot, ClaimReply::Lost);
        }
    }

    fn deliver_reply(&mut self, node: usize, start: u64, slot: ClaimSlot, reply: ClaimReply) {
        let wall_millis = self.wall_millis();
        let (current, batcher) = &mut self.nodes[node];
        if *current == start {
            batcher.handle_reply(slot, reply, self.now, wall_millis);
        }
    }

    /// Ends all faults, waits until the ledger is idle, and asserts that free keys can be claimed.
    pub fn recover_and_check(&mut self) {
        self.is_store_down = false;
        self.settle();
        // The ledger may refuse claims until its longest pause is over.
        self.now = self.now + ClaimOptions::default().longest_pause;
        let ready: Vec<ClaimTicket> = self.ready().collect();
        for ticket in ready {
            self.sent.get_mut(&ticket).unwrap().dispatched = Some(true);
            *self.runs.entry(ticket.key).or_default() += 1;
        }
        assert!(
            self.runs.values().all(|count| *count == 1),
            "a key ran twice"
        );
        if self.era > StoreEra::default() {
            self.check_new_keys_after_restore();
            return;
        }
        for key in (0..5).map(sample_key) {
            let is_held = self
                .sent
                .values()
                .any(|sent| sent.key == key && self.is_held(sent));
            if is_held || self.is_behind_horizon(key) {
                continue;
            }
            let ticket = self.send(0, key, false);
            self.settle();
            let verdict = self.verdict(ticket);
            assert!(
                matches!(verdict, Some(ClaimVerdict::Granted(_))),
                "free key {key} got the verdict {verdict:?}"
            );
        }
    }

    /// Asserts that every node grants keys that are newer than any that the store may have lost.
    pub fn check_new_keys_after_restore(&mut self) {
        for node in 0..self.nodes.len() {
            // The first claim may be what tells the node of the new era.
            let verdicts: Vec<bool> = (1..=2)
                .map(|number| {
                    let millis = self.wall_millis() + 2 * KEY_SKEW.as_millis();
                    let random = [u8::try_from(10 * node + number).unwrap(); 10];
                    let ticket = self.send(node, ClaimKey::new(millis, random), false);
                    self.settle();
                    self.now = self.now + ClaimOptions::default().longest_pause;
                    matches!(self.verdict(ticket), Some(ClaimVerdict::Granted(_)))
                })
                .collect();
            assert!(verdicts[1], "node {node} grants no new key: {verdicts:?}");
        }
    }

    /// Returns `true` if the claim of a send is in force, or may be since its node is gone.
    fn is_held(&self, sent: &SentClaim) -> bool {
        let is_up = self.nodes.iter().any(|node| node.0 == sent.start);
        let is_granted = matches!(sent.verdict, Some(ClaimVerdict::Granted(_)));
        !is_up || (is_granted && sent.dispatched != Some(false))
    }

    /// Serves all calls until the ledger is idle.
    pub fn settle(&mut self) {
        for _ in 0..MAX_SETTLE_ROUNDS {
            self.now = self.now + TimeSpan::from_millis(50);
            self.step();
            while !self.calls.is_empty() {
                self.serve(0, false);
            }
            while !self.replies.is_empty() {
                self.reply(0, false);
            }
            self.step();
            let is_idle = |node: &(u64, ClaimBatcher)| {
                node.1.waiting_count() == 0 && node.1.release_count() == 0
            };
            if self.calls.is_empty() && self.nodes.iter().all(is_idle) {
                return;
            }
        }
        panic!("the ledger is not idle after {MAX_SETTLE_ROUNDS} rounds");
    }
}
